// Package scenarios runs scripted scenarios: entries as real processes, stand-ins beside them, and
// commands that an operator can read. Each file begins with what must hold.
package scenarios

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/settings"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"
)

// programName is the name under which the test binary runs as an entry.
const programName = "azurebarrow"

// drainNotice is short, since no balancer stands before the entries here.
const drainNotice = 50 * time.Millisecond

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){programName: entryMain})
}

// entryMain is "azurebarrow run --settings FILE …" as the cluster calls it.
func entryMain() {
	const settingsArgument = 3
	if len(os.Args) <= settingsArgument {
		fail("want run --settings FILE")
	}
	loaded, findings, err := settings.Load(os.Args[settingsArgument])
	if err != nil || len(findings) > 0 {
		fail("settings: %v %v", err, findings)
	}
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	invariant.SetReporter(func(v *invariant.Violation) { log.WithField("entry", loaded.Name).Error(v) })
	entry, err := azurebarrow.New(loaded, azurebarrow.Options{Log: log, DrainNotice: drainNotice})
	if err != nil {
		fail("%v", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := entry.Run(ctx); err != nil {
		fail("%v", err)
	}
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(1)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, params("*.txtar"))
}

package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow"
	"github.com/azurebarrow/azurebarrow/adapters/callerlimit"
	"github.com/azurebarrow/azurebarrow/adapters/eventlog"
	"github.com/azurebarrow/azurebarrow/entry"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/settings"
)

// errFindings is returned after the findings in the settings have been printed.
var errFindings = merry.New("the settings have faults")

type settingsOptions struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"the YAML file with the entry's settings"`
}

// load reads the settings file. It prints the findings to standard error and returns errFindings if
// there are any.
func (o settingsOptions) load() (settings.Settings, error) {
	loaded, findings, err := settings.Load(o.Settings)
	if err != nil {
		return settings.Settings{}, err
	}
	for _, finding := range findings {
		fmt.Fprintln(os.Stderr, finding)
	}
	if len(findings) > 0 {
		return settings.Settings{}, errFindings
	}
	return loaded, nil
}

type runCommand struct {
	settingsOptions
	Name             string        `long:"name" description:"overrides name"`
	AvailabilityZone string        `long:"availability-zone" description:"overrides availabilityZone"`
	CallerAddress    string        `long:"caller-address" value-name:"IP:PORT" description:"overrides callerAddress"`
	PeerAddress      string        `long:"peer-address" value-name:"IP:PORT" description:"overrides peerAddress"`
	AdminAddress     string        `long:"admin-address" value-name:"IP:PORT" description:"overrides adminAddress"`
	PlatformURL      string        `long:"platform-url" value-name:"URL" description:"overrides platform.url"`
	LogLevel         string        `long:"log-level" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"overrides log.level"`
	DrainNotice      time.Duration `long:"drain-notice" default:"2s" description:"how long to show not-ready before no more is accepted"`
	rolloutOptions
	addressReuseOption
}

// Execute implements flags.Commander. It runs an entry until a signal stops it.
func (c *runCommand) Execute([]string) error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	limitMemory()
	c.override(&loaded)
	findings := append(c.rolloutOptions.override(&loaded.Passthrough.Rollouts), c.addressReuseOption.override(&loaded.Passthrough)...)
	if findings = append(findings, settings.Check("flags", loaded)...); len(findings) > 0 {
		for _, finding := range findings {
			fmt.Fprintln(os.Stderr, finding)
		}
		return errFindings
	}
	if loaded.Interface == settings.InterfacePassthrough {
		return c.runPassthrough(loaded)
	}
	log := newLogger(loaded.Log)
	invariant.SetReporter(func(v *invariant.Violation) {
		log.WithFields(logrus.Fields{"entry": loaded.Name, "invariant": v.Invariant, "detail": v.Detail}).Error("invariant violated")
	})
	nativeEntry, err := azurebarrow.New(loaded, azurebarrow.Options{Log: log, DrainNotice: c.DrainNotice, DialTarget: dialTarget})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// After the first signal, stop restores the default handling, so that a second signal ends the
	// process at once.
	context.AfterFunc(ctx, stop)
	return nativeEntry.Run(ctx)
}

// memoryLimitShare is the share of the memory that the process sees from which on the garbage collector works harder. What callers hold is
// limited by less; see docs/design/caller-limits.md.
const memoryLimitShare = 0.8

// limitMemory sets the memory limit of the Go runtime, unless GOMEMLIMIT has set one.
func limitMemory() {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(callerlimit.MemoryOfProcess())))
	}
}

// dialTarget opens the connections to targets; nil except in builds with the tag "linkfault".
var dialTarget func(ctx context.Context, network, address string) (net.Conn, error)

// logFlushTimeout limits the wait at the end of the process until the last log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// runPassthrough runs an entry with the passthrough interface. SIGHUP makes it check the settings file
// again; see reload.
func (c *runCommand) runPassthrough(loaded settings.Settings) error {
	log := eventlog.New(os.Stdout, loaded.Log.Level)
	defer log.Flush(logFlushTimeout)
	passthroughEntry, err := entry.New(loaded, entry.Options{Log: log.Event, DialTarget: dialTarget})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			c.reload(loaded, log.Event)
		}
	}()
	return passthroughEntry.Run(ctx)
}

// reload reads the settings file again and logs whether it differs from the settings in use. It
// applies nothing: addresses and limits are fixed at the start of the process.
func (c *runCommand) reload(inUse settings.Settings, log func(string, ...generation.Field)) {
	loaded, findings, err := settings.Load(c.Settings)
	if err != nil || len(findings) > 0 {
		log("settings-refused", generation.Field{Key: "error", Value: err}, generation.Field{Key: "findings", Value: findings})
		return
	}
	c.override(&loaded)
	// Execute has reported the findings.
	_ = c.rolloutOptions.override(&loaded.Passthrough.Rollouts)
	_ = c.addressReuseOption.override(&loaded.Passthrough)
	log("settings-reloaded", generation.Field{Key: "changed", Value: !reflect.DeepEqual(inUse, loaded)})
}

// override replaces settings with the values of the flags that are set.
func (c *runCommand) override(s *settings.Settings) {
	for _, override := range []struct {
		flag    string
		setting *string
	}{
		{c.Name, &s.Name},
		{c.AvailabilityZone, &s.AvailabilityZone},
		{c.CallerAddress, &s.CallerAddress},
		{c.PeerAddress, &s.PeerAddress},
		{c.AdminAddress, &s.AdminAddress},
		{c.PlatformURL, &s.Platform.URL},
		{c.LogLevel, &s.Log.Level},
	} {
		if override.flag != "" {
			*override.setting = override.flag
		}
	}
}

func newLogger(options settings.Log) *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(options.Level)
	if err == nil {
		logger.SetLevel(level)
	}
	return logger
}

type checkCommand struct {
	settingsOptions
}

// Execute implements flags.Commander. It validates a settings file.
func (c *checkCommand) Execute([]string) error {
	if _, err := c.load(); err != nil {
		return err
	}
	fmt.Println(c.Settings + ": no findings")
	return nil
}

type versionCommand struct{}

// Execute implements flags.Commander. It prints the version of the build.
func (*versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("azurebarrow " + version)
	return nil
}

package command

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/objects"
)

func arguments() []string { return os.Args[1:] }

func exit(code int) { os.Exit(code) }

// exits runs a program and checks its exit code.
func exits(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND [ARGUMENT...]")
	}
	wanted, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	code := 0
	if failed := (*exec.ExitError)(nil); errors.As(err, &failed) {
		code = failed.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != wanted {
		ts.Fatalf("exit code %d, want %d", code, wanted)
	}
}

// operator is a program for the scripts. "operator KIND NAME FILE" stores the content of a file over the
// present revision of the object; "operator fault JSON" injects a fault into the platform.
func operator(args []string) int {
	url := os.Getenv("AZUREBARROW_PLATFORM_URL")
	if args[0] == "fault" {
		response, err := http.Post(url+"/faults", "application/json", strings.NewReader(args[1]))
		if err != nil || response.StatusCode >= http.StatusBadRequest {
			return ExitFailed
		}
		return ExitOK
	}
	client := platformhttp.New(url, platformhttp.Options{})
	value, err := os.ReadFile(args[2])
	if err != nil {
		return ExitFailed
	}
	present, err := client.Get(context.Background(), args[0], args[1])
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return ExitFailed
	}
	if _, err := client.Put(context.Background(), args[0], args[1], present.Revision, value); err != nil {
		return ExitFailed
	}
	return ExitOK
}

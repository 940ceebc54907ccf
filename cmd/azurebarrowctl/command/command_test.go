package command

import (
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/azurebarrow/azurebarrow/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"azurebarrowctl": func() { exit(Main(arguments())) },
		"operator":       func() { exit(operator(arguments())) },
	})
}

// TestScripts runs each script against its own platform. In a script, "exits CODE COMMAND…" runs a command
// and checks its exit code, and "operator KIND NAME FILE" stores a value as another operator would.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(platform.New(platform.DefaultOptions()))
			env.Defer(server.Close)
			env.Setenv("AZUREBARROW_PLATFORM_URL", server.URL)
			env.Setenv("EXAMPLES", examples)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

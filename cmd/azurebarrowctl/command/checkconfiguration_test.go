package command

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/platform"
)

// Guards against exit codes with which a script would send a faulty configuration, and against errors without their place.
func TestCheckConfiguration(t *testing.T) {
	is := is.New(t)
	const route = `{"version":8,
 "routes":[{"name":"a","hostname":"h.example","path_prefix":"/a/","kind":"idempotent","timeout_ms":800,"service":"desk"}],
 "services":[{"name":"desk"}]}`
	store := platform.New(platform.Options{})
	server := httptest.NewServer(store.UsersAPIHandler())
	defer server.Close()
	run := func(text, name, url string) (string, error) {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		var out bytes.Buffer
		command := checkConfigurationCommand{globals: &globalOptions{PlatformURL: url, Output: outputTable, out: &out, ctx: context.Background()}}
		command.Args.File = path
		err := command.Execute(nil)
		return out.String(), err
	}
	out, err := run(route, "c.json", "")
	is.NoErr(err)
	is.Equal(out, "no findings\n")

	_, err = run(route, "c.json", server.URL)
	is.NoErr(err) // the store holds no configuration yet

	store.Put("config", "main", []byte(strings.Replace(route, `"version":8`, `"version":7`, 1)))
	out, err = run(strings.Replace(route, "800", "900", 1), "c.json", server.URL)
	is.NoErr(err)
	is.True(strings.Contains(out, "change: route a: timeout: 900ms, in force 800ms"))

	out, err = run(strings.Replace(route, `"service":"desk"`, `"service":"dsek"`, 1), "c.json", server.URL)
	is.Equal(err, exitError{ExitFindings})
	is.True(strings.Contains(out, "c.json: routes[0] (a): error: service dsek is not among the services"))

	out, err = run(strings.Replace(route, "800", `"800"`, 1), "c.json", "")
	is.Equal(err, exitError{ExitFindings})
	is.True(strings.Contains(out, "c.json:2: error: ")) // the line of the field

	out, err = run("version: 8\nroutes: []\nservices:\n- name: desk\n", "c.yaml", "")
	is.NoErr(err) // a service without a route is a warning
	is.True(strings.Contains(out, "services[0] (desk): warning: no route leads to it"))

	store.Put("config", "main", []byte(strings.Replace(route, `"version":8`, `"version":9`, 1)))
	out, err = run(route, "c.json", server.URL)
	is.Equal(err, exitError{ExitFindings})
	is.True(strings.Contains(out, "version: error: 8 is not newer than 9, which is in force"))
	is.True(strings.Contains(out, "no difference from the configuration in force"))
}

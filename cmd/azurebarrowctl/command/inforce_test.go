package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/platform"
)

// metricsServer serves text as the metrics of an entry and returns its address.
func metricsServer(t *testing.T, text string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestInForceComparesEntriesWithStore(t *testing.T) {
	is := is.New(t)
	store := platform.New(platform.Options{})
	server := httptest.NewServer(store.UsersAPIHandler())
	defer server.Close()
	current := metricsServer(t, "# HELP x\nazurebarrow_configuration_version 7\nazurebarrow_entries_live 2\n")
	outdated := metricsServer(t, "azurebarrow_configuration_version 5\nazurebarrow_entries_live 2\n")
	withoutVersion := metricsServer(t, "go_goroutines 3\n")
	run := func(entries ...string) (inForceReport, error) {
		var out bytes.Buffer
		command := inForceCommand{Entry: entries, globals: &globalOptions{
			PlatformURL: server.URL, Output: outputJSON, out: &out, ctx: context.Background(),
		}}
		err := command.Execute(nil)
		var compared inForceReport
		if out.Len() > 0 {
			is.NoErr(json.Unmarshal(out.Bytes(), &compared))
		}
		return compared, err
	}
	_, err := run(current)
	is.True(errors.Is(err, errNoConfiguration))

	store.Put("config", "main", []byte(`{"version":7,"routes":[],"services":[]}`))
	compared, err := run(current)
	is.NoErr(err)
	is.Equal(compared.Stored, int64(7))
	is.Equal(compared.Entries, []entryInForce{{Entry: current, Version: 7, Live: 2}})

	compared, err = run(current, outdated)
	is.Equal(err, exitError{ExitNotInForce})
	is.Equal(compared.Entries[1].Version, int64(5))

	compared, err = run(withoutVersion)
	is.Equal(err, exitError{ExitNotInForce})
	is.True(strings.Contains(compared.Entries[0].Error, "no metric azurebarrow_configuration_version"))

	store.Apply(fault.Fault{Kind: fault.Outage})
	_, err = run(current)
	is.True(errors.Is(err, objects.ErrUnavailable)) // exit code 6
}

package command

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/slo"
	"github.com/azurebarrow/azurebarrow/slo/page"
)

// TestBurnAsksNextEntryAndWritesPage passes an unreachable entry before one that answers.
func TestBurnAsksNextEntryAndWritesPage(t *testing.T) {
	is := is.New(t)
	report := page.Report{Overall: slo.Summary{Reported: []string{"e1"}, Burns: []slo.Burn{{
		Deployment: "drafting", Kind: v1.ObjectiveAnswered, Share: 0.99, Rates: []float64{20, 1, 15, 2}, Alert: slo.AlertFast,
	}}}}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer entry.Close()
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	address := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

	var out strings.Builder
	file := filepath.Join(t.TempDir(), "burn.html")
	command := burnCommand{
		globals: &globalOptions{Output: outputTable, out: &out, ctx: context.Background()},
		Entry:   []string{address(dead), address(entry)},
		HTML:    file,
	}
	is.NoErr(command.Execute(nil))
	is.True(strings.Contains(out.String(), "fast"))
	written, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(written), "drafting"))

	command.Entry = command.Entry[:1]
	is.True(command.Execute(nil) != nil)
}

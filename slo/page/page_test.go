package page

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/slo"
)

func testReport() Report {
	burn := slo.Burn{Deployment: "<drafting>", Kind: v1.ObjectiveResumeLatency, Share: 0.99,
		Rates: []float64{20, 8, 15, 0.5}, BudgetLeft: 0.5, Latency: &slo.Quantiles{P50: 40, P95: 90, P99: 210}, Alert: slo.AlertFast}
	return Report{
		Overall: slo.Summary{Partial: true, Missing: []string{"e7"}, Burns: []slo.Burn{burn}},
		Zones:   []slo.Summary{{AvailabilityZone: "a", Burns: []slo.Burn{burn}}},
	}
}

func TestTableShowsEveryObjectiveAndMissingEntries(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(Table(&out, testReport()))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	is.Equal(strings.Fields(lines[2]), []string{"a", "<drafting>", "resumeLatency", "0.99", "20.00", "8.00", "15.00", "0.50", "50.0%", "40", "ms", "210", "ms", "fast"})
	is.Equal(lines[3], "partial: no report from e7")
}

func TestHTMLEscapesNamesAndIsSelfContained(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(HTML(&out, testReport(), time.Unix(0, 0)))
	is.True(strings.Contains(out.String(), "&lt;drafting&gt;"))
	is.Equal(strings.Count(out.String(), "<svg"), 2)
	is.True(!strings.Contains(out.String(), "src=") && !strings.Contains(out.String(), "href="))
}

// Package page renders burn rate reports as a text table for terminals and as a self-contained HTML
// page with bar charts.
package page

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	_ "embed"

	"github.com/azurebarrow/azurebarrow/slo"
)

// Report is the response of GET /burn: the burn rates over all availability zones and of each zone.
type Report struct {
	Overall slo.Summary   `json:"whole"`
	Zones   []slo.Summary `json:"zones"`
}

// Summaries returns the summary over all availability zones, then that of each zone.
func (r Report) Summaries() []slo.Summary {
	return append([]slo.Summary{r.Overall}, r.Zones...)
}

// Table writes the report as a text table with aligned columns.
func Table(out io.Writer, report Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := []string{"ZONE", "DEPLOYMENT", "OBJECTIVE", "WANTED"}
	for _, window := range slo.Windows() {
		header = append(header, "BURN "+formatWindow(window))
	}
	header = append(header, "BUDGET LEFT", "P50", "P99", "ALERT")
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, summary := range report.Summaries() {
		for _, burn := range summary.Burns {
			fmt.Fprintln(table, strings.Join(tableRow(summary, burn), "\t"))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if report.Overall.Partial {
		_, err := fmt.Fprintf(out, "partial: no report from %s\n", strings.Join(report.Overall.Missing, ", "))
		return err
	}
	return nil
}

func tableRow(summary slo.Summary, burn slo.Burn) []string {
	cells := []string{zoneName(summary), burn.Deployment, string(burn.Kind), fmt.Sprintf("%.4g", burn.Share)}
	for _, rate := range burn.Rates {
		cells = append(cells, fmt.Sprintf("%.2f", rate))
	}
	cells = append(cells, fmt.Sprintf("%.1f%%", 100*burn.BudgetLeft))
	if burn.Latency == nil {
		cells = append(cells, "-", "-")
	} else {
		cells = append(cells, fmt.Sprintf("%d ms", burn.Latency.P50), fmt.Sprintf("%d ms", burn.Latency.P99))
	}
	return append(cells, string(burn.Alert))
}

func zoneName(summary slo.Summary) string {
	if summary.AvailabilityZone == "" {
		return "(whole)"
	}
	return summary.AvailabilityZone
}

// formatWindow formats a window in hours or minutes, such as 5m or 1h.
func formatWindow(window time.Duration) string {
	if window%time.Hour == 0 {
		return fmt.Sprintf("%dh", window/time.Hour)
	}
	return fmt.Sprintf("%dm", window/time.Minute)
}

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"zone":    zoneName,
	"windows": slo.Windows,
	"short":   formatWindow,
	"percent": func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
	"bars":    barChart,
}).Parse(pageSource))

// HTML writes the report as an HTML page that loads no other resources.
func HTML(out io.Writer, report Report, at time.Time) error {
	return pageTemplate.Execute(out, struct {
		Report
		At string
	}{report, at.UTC().Format(time.RFC3339)})
}

package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/slo/page"
)

// burnTimeout limits the request to one entry. That entry collects the reports of the others, and its answer
// names those that did not report.
const burnTimeout = 5 * time.Second

type burnCommand struct {
	globals *globalOptions
	Entry   []string `long:"entry" required:"true" value-name:"IP:PORT" description:"the admin address of an entry; repeat it for others to ask when one does not answer"`
	HTML    string   `long:"html" value-name:"FILE" description:"write one self-contained page with plots"`
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	report, err := c.fetchReport()
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := c.writePage(report); err != nil {
			return err
		}
	}
	return c.print(report)
}

// fetchReport returns the report of the first entry that answers.
func (c *burnCommand) fetchReport() (page.Report, error) {
	var failures []error
	for _, entry := range c.Entry {
		report, err := fetchEntryReport(c.globals.ctx, entry)
		if err == nil {
			return report, nil
		}
		failures = append(failures, err)
	}
	return page.Report{}, errors.Join(failures...)
}

func fetchEntryReport(ctx context.Context, entry string) (page.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var report page.Report
	if err := jsonhttp.Get(ctx, http.DefaultClient, "http://"+entry+"/burn", &report); err != nil {
		return page.Report{}, fmt.Errorf("entry %s: %w", entry, err)
	}
	return report, nil
}

func (c *burnCommand) writePage(report page.Report) error {
	var text strings.Builder
	if err := page.HTML(&text, report, time.Now()); err != nil {
		return err
	}
	return os.WriteFile(c.HTML, []byte(text.String()), 0o644)
}

func (c *burnCommand) print(report page.Report) error {
	if c.globals.Output == outputTable {
		return page.Table(c.globals.out, report)
	}
	return c.globals.printValue(report)
}

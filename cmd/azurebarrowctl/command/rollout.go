package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/rollout"
	"github.com/azurebarrow/azurebarrow/rolloutcontrol"
)

// rolloutTimeout limits the request to one entry.
const rolloutTimeout = 5 * time.Second

type rolloutCommand struct {
	globals *globalOptions
	Entry   []string `long:"entry" required:"true" value-name:"IP:PORT" description:"the admin address of an entry; repeat it for others: the coordinator has the evidence"`
}

// rolloutsOfEntry is what one entry reports of the rollouts.
type rolloutsOfEntry struct {
	Entry  string `json:"entry"`
	Orders []struct {
		Service     string         `json:"service"`
		To          string         `json:"to"`
		Ordered     string         `json:"ordered"`
		DurationS   float64        `json:"duration_s"`
		Status      rollout.Status `json:"status"`
		Coordinator string         `json:"coordinator"`
	} `json:"orders"`
	Coordinated []rolloutcontrol.Status `json:"coordinated"`
}

// Execute implements flags.Commander. It fails only if no entry answers.
func (c *rolloutCommand) Execute([]string) error {
	var views []rolloutsOfEntry
	var failures []error
	for _, entry := range c.Entry {
		view, err := fetchRollouts(c.globals.ctx, entry)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		views = append(views, view)
	}
	if len(views) == 0 {
		return errors.Join(failures...)
	}
	if c.globals.Output != outputTable {
		return c.globals.printValue(views)
	}
	return c.globals.printTable(
		[]string{"ENTRY", "SERVICE", "TO", "STATE", "STAGE", "SHARE", "COORDINATOR", "VERDICT", "OLD", "NEW", "AT-OLD"}, rolloutRows(views))
}

func fetchRollouts(ctx context.Context, entry string) (rolloutsOfEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	var view rolloutsOfEntry
	if err := jsonhttp.Get(ctx, http.DefaultClient, "http://"+entry+"/rollouts", &view); err != nil {
		return view, fmt.Errorf("entry %s: %w", entry, err)
	}
	return view, nil
}

// rolloutRows returns a row for each order that an entry knows. Only the coordinator's has a verdict and evidence.
func rolloutRows(views []rolloutsOfEntry) [][]string {
	var rows [][]string
	for _, view := range views {
		for _, order := range view.Orders {
			row := []string{
				view.Entry, order.Service, order.To, cmp.Or(string(order.Status.State), "(none)"), string(order.Status.Stage),
				formatShare(order.Status.Share), order.Coordinator, order.Status.Reason, "", "", "",
			}
			for _, status := range view.Coordinated {
				if status.Service != order.Service || status.To != order.To {
					continue
				}
				row[4], row[5] = string(status.Stage), formatShare(status.Share)
				row[7] = status.Decision
				if status.Reason != "" {
					row[7] += ": " + status.Reason
				}
				row[8], row[9], row[10] = formatEvidence(status.Old), formatEvidence(status.New), strconv.Itoa(status.OldInProgress)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func formatShare(share float64) string { return strconv.FormatFloat(share, 'g', 3, 64) }

// formatEvidence returns the requests sent, and those that failed and that broke.
func formatEvidence(evidence rollout.Evidence) string {
	var failures, broken int64
	for _, route := range evidence.Routes {
		failures += route.Failures
		broken += route.Broken
	}
	return fmt.Sprintf("%d sent, %d failed, %d broken", evidence.Started, failures, broken)
}

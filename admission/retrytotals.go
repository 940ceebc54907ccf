package admission

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

// RetryUse is the use of a service's retry budget within a window.
type RetryUse struct {
	Service string
	// Requests counts the requests of callers, Retries the attempts beyond the first of a request.
	Requests, Retries int
}

// RetryAggregator sends reports to the aggregator, the entry that adds up the uses.
type RetryAggregator interface {
	// Report sends an entry's use to a peer and returns the totals.
	Report(ctx context.Context, peer membership.Peer, entry string, uses []RetryUse) ([]RetryUse, error)
}

// RetryTotals adds up the uses that entries report. It is safe for concurrent use.
type RetryTotals struct {
	mu      sync.Mutex
	reports map[string]retryReport
}

type retryReport struct {
	uses []RetryUse
	at   time.Time
}

// maxReportAge is how long a report counts: an entry that has sent none for that long has used
// nothing lately, or reports to another aggregator.
const maxReportAge = 10 * time.Second

// NewRetryTotals returns totals without reports.
func NewRetryTotals() *RetryTotals { return &RetryTotals{reports: map[string]retryReport{}} }

// Report records an entry's use and returns the totals.
func (t *RetryTotals) Report(entry string, uses []RetryUse, now time.Time) []RetryUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[entry] = retryReport{uses: uses, at: now}
	totals := map[string]RetryUse{}
	for name, report := range t.reports {
		if now.Sub(report.at) > maxReportAge {
			delete(t.reports, name)
			continue
		}
		for _, use := range report.uses {
			total := totals[use.Service]
			totals[use.Service] = RetryUse{use.Service, total.Requests + use.Requests, total.Retries + use.Retries}
		}
	}
	list := make([]RetryUse, 0, len(totals))
	for _, total := range totals {
		list = append(list, total)
	}
	return list
}

const (
	// reportInterval is the minimum time between two reports of an entry. With many live entries it is
	// reportIntervalPerEntry for each of them, so that the aggregator receives a constant number of
	// reports per second.
	reportInterval         = 400 * time.Millisecond
	reportIntervalPerEntry = 5 * time.Millisecond
	// reportTimeout limits one report.
	reportTimeout = 300 * time.Millisecond
)

// ExchangeTotals exchanges reports with the aggregator until ctx ends, so that the budget knows the totals of
// all entries. observe is called with an error when the aggregator becomes unreachable, and with nil
// when it answers again.
func (s *SharedRetryBudget) ExchangeTotals(ctx context.Context, peers RetryAggregator, members Members, observe func(aggregator string, err error)) error {
	lost := false
	for {
		live := members.Live()
		if wait.For(ctx, max(reportInterval, time.Duration(len(live))*reportIntervalPerEntry)) != nil {
			return nil
		}
		aggregator := membership.Rank(live, "retries")[0]
		err := s.report(ctx, peers, aggregator, members.Self().Name)
		if (err != nil) != lost {
			lost = err != nil
			observe(aggregator.Name, err)
		}
	}
}

// report sends this entry's use. Without an answer the totals become too old to be used, and the
// entry keeps to its own part.
func (s *SharedRetryBudget) report(ctx context.Context, peers RetryAggregator, aggregator membership.Peer, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	totals, err := peers.Report(ctx, aggregator, entry, s.windowUses())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, total := range totals {
		window := s.window(total.Service)
		window.total, window.totalAt, window.retriesSinceTotal = total, now, 0
	}
	return nil
}

// windowUses returns this entry's use within the last window.
func (s *SharedRetryBudget) windowUses() []RetryUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := make([]RetryUse, 0, len(s.services))
	for service, window := range s.services {
		window.advance(s.now())
		requests, retries := window.sums()
		uses = append(uses, RetryUse{Service: service, Requests: requests, Retries: retries})
	}
	return uses
}

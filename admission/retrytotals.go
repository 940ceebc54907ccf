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
	// Requests are those of callers, Sends those beyond the first of a request.
	Requests, Sends int
}

// RetryPeers is the port to the entry that adds the uses up.
type RetryPeers interface {
	// Report tells an entry's use and returns the totals.
	Report(ctx context.Context, peer membership.Peer, entry string, uses []RetryUse) ([]RetryUse, error)
}

// RetryTotals adds up what entries report. It is safe for concurrent use.
type RetryTotals struct {
	mu      sync.Mutex
	reports map[string]retryReport
}

type retryReport struct {
	uses []RetryUse
	at   time.Time
}

// reportAge is how long a report counts: an entry that says nothing for that long has used nothing
// lately, or adds its use up elsewhere.
const reportAge = 10 * time.Second

// NewRetryTotals returns totals without reports.
func NewRetryTotals() *RetryTotals { return &RetryTotals{reports: map[string]retryReport{}} }

// Report takes an entry's use and returns the totals.
func (t *RetryTotals) Report(entry string, uses []RetryUse, now time.Time) []RetryUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[entry] = retryReport{uses: uses, at: now}
	totals := map[string]RetryUse{}
	for name, report := range t.reports {
		if now.Sub(report.at) > reportAge {
			delete(t.reports, name)
			continue
		}
		for _, use := range report.uses {
			total := totals[use.Service]
			totals[use.Service] = RetryUse{use.Service, total.Requests + use.Requests, total.Sends + use.Sends}
		}
	}
	list := make([]RetryUse, 0, len(totals))
	for _, total := range totals {
		list = append(list, total)
	}
	return list
}

const (
	// reportInterval is the least time between two reports, and reportSpacing the time for each live
	// entry, so that the entry which adds up takes a constant number of reports a second.
	reportInterval = 400 * time.Millisecond
	reportSpacing  = 5 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 300 * time.Millisecond
)

// Share keeps the totals of all entries known to the budget until ctx ends. observe is told when the
// entry that adds up is lost, with the error, and when it answers again, with nil.
func (s *SharedRetries) Share(ctx context.Context, peers RetryPeers, members Members, observe func(adder string, err error)) error {
	lost := false
	for {
		live := members.Live()
		if wait.For(ctx, max(reportInterval, time.Duration(len(live))*reportSpacing)) != nil {
			return nil
		}
		adder := membership.Rank(live, "retries")[0]
		err := s.report(ctx, peers, adder, members.Self().Name)
		if (err != nil) != lost {
			lost = err != nil
			observe(adder.Name, err)
		}
	}
}

// report tells this entry's use. Without an answer the totals grow old, and the entry keeps to its
// even part.
func (s *SharedRetries) report(ctx context.Context, peers RetryPeers, adder membership.Peer, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	totals, err := peers.Report(ctx, adder, entry, s.uses())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, total := range totals {
		window := s.window(total.Service)
		window.total, window.totalAt, window.sinceTotal = total, now, 0
	}
	return nil
}

// uses returns this entry's use of the last window.
func (s *SharedRetries) uses() []RetryUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := make([]RetryUse, 0, len(s.services))
	for service, window := range s.services {
		window.at(s.now())
		requests, sends := window.sums()
		uses = append(uses, RetryUse{Service: service, Requests: requests, Sends: sends})
	}
	return uses
}

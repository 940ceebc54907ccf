package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/azurebarrow/azurebarrow/bench/caller"
)

// Range and precision of the histograms.
const (
	minMicroseconds    = 1
	maxMicroseconds    = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures)
}

// Report collects the results of a load.
type Report struct {
	mu sync.Mutex
	// Sent counts requests, Complete those whose whole answer arrived.
	Sent     int
	Complete int
	NotRun   int
	// Failed counts requests with any other status. Wrong holds what violates the guarantees to callers,
	// of all answers.
	Failed     int
	Violations []string
	Tokens     int64
	Reconnects int
	// FirstToken and Whole are the latencies of the first token and of the whole answer, from the planned
	// start. BetweenTokens is the time between consecutive tokens.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	WholeAnswer   *hdrhistogram.Histogram
	// Lateness is the delay of the actual start of a request after the planned one.
	Lateness *hdrhistogram.Histogram
	Results  []*caller.Result
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{FirstToken: newHistogram(), BetweenTokens: newHistogram(), WholeAnswer: newHistogram(), Lateness: newHistogram()}
}

// Run sends the planned requests at their times and waits for all answers.
func Run(ctx context.Context, client *caller.Caller, plan []Arrival) *Report {
	report := NewReport()
	started := time.Now()
	var answers sync.WaitGroup
	for _, arrival := range plan {
		if !sleepUntil(ctx, started.Add(arrival.At)) {
			break
		}
		late := time.Since(started) - arrival.At
		answers.Go(func() {
			report.add(client.Generate(ctx, arrival.Request), late)
		})
	}
	answers.Wait()
	return report
}

// sleepUntil waits until the deadline and reports whether it was reached before the context ended.
func sleepUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// add records the result of a request that started by the duration late after its planned start.
func (r *Report) add(result *caller.Result, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.Tokens += int64(len(result.Tokens))
	r.Reconnects += len(result.Reconnects)
	r.Violations = append(r.Violations, result.Violations...)
	r.Results = append(r.Results, result)
	record(r.Lateness, late)
	switch result.Status {
	case caller.Complete:
		r.Complete++
		record(r.WholeAnswer, late+result.Ended)
	case caller.NotRun:
		r.NotRun++
	default:
		r.Failed++
	}
	for i, arrival := range result.Arrivals {
		if i == 0 {
			record(r.FirstToken, late+arrival)
			continue
		}
		record(r.BetweenTokens, arrival-result.Arrivals[i-1])
	}
}

// record adds a duration to a histogram. Durations outside the histogram's range are clamped to it.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// QuantileMs returns a quantile, given as a number from 0 to 1, in milliseconds.
func QuantileMs(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	const percent = 100
	return float64(histogram.ValueAtQuantile(quantile*percent)) / float64(time.Millisecond/time.Microsecond)
}

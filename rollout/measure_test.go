package rollout

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"time"
)

// runs is the number of rollouts of each kind that the tests play. The bounds are parts of 100.
var runs = flag.Int("runs", defaultRuns, "modelled rollouts of each kind")

// figures are what the rollouts of one kind came to.
type figures struct {
	runs, succeeded, rolledBack, undecided int
	reasons                                map[string]int
	// foundBad counts the rollouts with the verdict Bad, lateVerdicts those in which it was missing 3 s after the
	// 50th bad response.
	foundBad, lateVerdicts int
	// overExposed counts the rollouts with more requests at the new version than the share and the slack, sentLate
	// those with requests after Bounds.RollbackAfter, and overBeforeShift those beyond the bound before Shift.
	overExposed, sentLate, overBeforeShift int
	// excess holds the requests at the new version beyond the share, decided and verdicts the times from the order
	// to the end and to the verdict Bad, badSeen the bad responses.
	excess            []float64
	decided, verdicts []time.Duration
	badSeen           []int
}

// measured holds the figures of the rollouts that were played, since several tests look at the same ones.
var measured = map[string]figures{}

func measure(m traffic) figures {
	key := fmt.Sprintf("%+v", m)
	f, ok := measured[key]
	if !ok {
		f = play(m)
		measured[key] = f
	}
	return f
}

func play(m traffic) figures {
	results := make([]result, *runs)
	var group sync.WaitGroup
	next := make(chan int)
	for range 4 {
		group.Go(func() {
			for i := range next {
				results[i] = m.run(uint64(i))
			}
		})
	}
	for i := range results {
		next <- i
	}
	close(next)
	group.Wait()
	f := figures{runs: len(results), reasons: map[string]int{}}
	for _, r := range results {
		switch r.output.Stage {
		case Succeeded:
			f.succeeded++
		case RolledBack:
			f.rolledBack++
			reason := r.output.Verdict.Reason
			if reason == "" {
				reason = "deadline"
			}
			f.reasons[reason]++
		default:
			f.undecided++
		}
		if r.verdictAt > 0 {
			f.foundBad++
			f.verdicts = append(f.verdicts, r.verdictAt)
		}
		if r.fiftieth > 0 && (r.verdictAt == 0 || r.verdictAt > r.fiftieth+3*time.Second) {
			f.lateVerdicts++
		}
		excess := float64(r.sent) - testBounds.Share*float64(r.all)
		if excess > float64(testBounds.Slack) {
			f.overExposed++
		}
		if float64(r.sentBeforeShift) > testBounds.Share*float64(r.allBeforeShift)+float64(testBounds.Slack) {
			f.overBeforeShift++
		}
		if r.sentLate > 0 {
			f.sentLate++
		}
		f.excess = append(f.excess, excess)
		f.decided = append(f.decided, r.decided)
		f.badSeen = append(f.badSeen, r.bad)
	}
	slices.Sort(f.excess)
	slices.Sort(f.decided)
	slices.Sort(f.verdicts)
	slices.Sort(f.badSeen)
	return f
}

func median[T any](sorted []T) (value T) {
	if len(sorted) > 0 {
		value = sorted[len(sorted)/2]
	}
	return value
}

func last[T any](sorted []T) (value T) {
	if len(sorted) > 0 {
		value = sorted[len(sorted)-1]
	}
	return value
}

// percent returns the part of the runs in 100.
func (f figures) percent(count int) float64 { return 100 * float64(count) / float64(f.runs) }

// exceeds reports whether more than the given number in 100 runs are counted. With fewer than 100 runs, one alone
// may exceed a bound that holds: the race detector's runs check no such bounds, those without it do.
func (f figures) exceeds(count int, most float64) bool {
	return f.runs >= 100 && f.percent(count) > most
}

func (f figures) String() string {
	reasons := 0
	for reason, count := range f.reasons {
		if reason != "deadline" {
			reasons += count
		}
	}
	return fmt.Sprintf("%d succeeded, %d rolled back (%d without the verdict bad); verdict after %.1f s, at most %.1f s, %d late; end after %.1f s, at most %.1f s; bad responses %d, at most %d; requests beyond the share at most %.0f, %d over the slack",
		f.succeeded, f.rolledBack, f.rolledBack-reasons, median(f.verdicts).Seconds(), last(f.verdicts).Seconds(), f.lateVerdicts,
		median(f.decided).Seconds(), last(f.decided).Seconds(), median(f.badSeen), last(f.badSeen), last(f.excess), f.overExposed)
}

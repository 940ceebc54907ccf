package engine

import (
	"slices"
	"time"
)

// Stats holds the counters of an engine since New; a simulated crash does not reset them.
type Stats struct {
	Name string `json:"name"`
	// PrefillTokens counts uncached tokens of prompts, and the tokens of outputs to continue.
	PrefillTokens int64 `json:"prefillTokens"`
	// RecoveryPrefillTokens is the part of PrefillTokens from requests with an output to continue.
	RecoveryPrefillTokens int64 `json:"recoveryPrefillTokens"`
	CachedTokens          int64 `json:"cachedTokens"`
	DecodeTokens          int64 `json:"decodeTokens"`
	Streams               int64 `json:"streams"`
	Resumes               int64 `json:"resumes"`
	// RepeatedAttempts counts requests for an attempt that the engine had already accepted.
	RepeatedAttempts int64 `json:"repeatedAttempts"`
	Refused          int64 `json:"refused"`
	Cancels          int64 `json:"cancels"`
	// Expired counts unfinished streams that were cancelled after HoldTime without a reader.
	Expired        int64 `json:"expired"`
	Commands       int64 `json:"orders"`
	FencedCommands int64 `json:"ordersFenced"`
	// StaleOrders counts commands executed despite a stale fencing token, OrdersFenced those refused.
	StaleCommands int64 `json:"staleOrders"`
	WeightLoads   int64 `json:"weightLoads"`
	Kills         int64 `json:"kills"`
	// AcceptedWhileLeaving counts streams accepted while draining, that is after Leave.
	// LastAcceptedLeavingMs is the time from Leave to the last of them.
	AcceptedWhileDraining       int64 `json:"acceptedWhileLeaving"`
	LastAcceptedWhileDrainingMs int64 `json:"lastAcceptedLeavingMs"`
	Running                     int   `json:"running"`
	Queued                      int   `json:"queued"`
	// PeakInFlight is the max number of streams that were running or queued at the same time.
	PeakInFlight int `json:"peakInFlight"`
	// BusyMs is the total duration of all planned steps.
	BusyMs float64 `json:"busyMs"`
	// WorkMs is the engine time of the work done: the prefill of each uncached token, and for each
	// decoded token its share of a step with a full batch.
	WorkMs float64 `json:"workMs"`
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Name = e.options.Name
	stats.Running = len(e.running)
	stats.Queued = len(e.queue)
	stats.WorkMs = WorkMs(e.options, stats.PrefillTokens, stats.DecodeTokens)
	return stats
}

// LostStream is a stream that had not ended when its engine died.
type LostStream struct {
	RequestID string
	Attempt   int
	// Tokens is the number of tokens of the answer so far.
	Tokens int
	At     time.Time
}

// Lost returns the streams lost when the engine died, in order of time.
func (e *Engine) LostStreams() []LostStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.lostStreams)
}

// Attempts returns the numbers of the attempts of a request that the engine holds, in ascending order.
func (e *Engine) Attempts(requestID string) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []int
	for key := range e.streams {
		if key.requestID == requestID {
			list = append(list, key.attempt)
		}
	}
	slices.Sort(list)
	return list
}

func (e *Engine) recordLostStream(s *stream) {
	if s.ended() || e.closed {
		return
	}
	e.lostStreams = append(e.lostStreams, LostStream{s.key.requestID, s.key.attempt, len(s.tokens), time.Now()})
}

// WorkMs returns the engine time of prefilling and decoding the given numbers of tokens.
func WorkMs(o Options, prefillTokens, decodeTokens int64) float64 {
	perToken := toMilliseconds(stepTime(o, o.Concurrency)) / float64(o.Concurrency)
	return float64(prefillTokens)*toMilliseconds(o.PrefillPerToken) + float64(decodeTokens)*perToken
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package health

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCrashesToIsolate is the number of recorded crashes from which a fingerprint runs isolated.
	minCrashesToIsolate = 2
	// MinCrashesToRefuse is the number of distinct crashed targets from which a fingerprint is refused.
	MinCrashesToRefuse = 3
	// Crashes of massFailureTargets targets within massFailureWindow are a mass failure: a single poison
	// request crashes one target at a time.
	massFailureWindow  = 2 * time.Second
	massFailureTargets = 3
	// crashTTL is how long crashes that led to no refusal are kept.
	crashTTL = 10 * time.Minute
	// refusalTTL is how long a refusal is kept.
	refusalTTL = 24 * time.Hour
	// answerClearance is how long after an answer crashes are not recorded against a request: it was merely there.
	answerClearance = time.Minute
	// maxAnswered limits the answered fingerprints that are remembered; the oldest are dropped.
	maxAnswered = 4096
)

// Restriction is how requests with a fingerprint may run.
type Restriction int

// Values of Restriction.
const (
	// RestrictionNone: without restriction.
	RestrictionNone Restriction = iota
	// RestrictionIsolated: one at a time, on the target with the least other work.
	RestrictionIsolated
	// RestrictionRefused: not at all.
	RestrictionRefused
)

// Crashes records the crashes of targets against the fingerprints of the requests that ran on them, to find
// poison requests. It is safe for concurrent use.
type Crashes struct {
	mu            sync.Mutex
	crashes       map[string][]crash
	recentCrashes []crash
	// answered holds when a request with the fingerprint was last answered as a whole.
	answered *simplelru.LRU[string, time.Time]
	// refused holds the refusals of whole requests, by key.
	refused *simplelru.LRU[string, *RefusedParts]
	parts   *partRecords
}

// crash is the crash of one target.
type crash struct {
	target string
	at     time.Time
	// massFailure reports that the crash was part of a mass failure.
	massFailure bool
}

// NewCrashes returns Crashes without crashes.
func NewCrashes() *Crashes {
	return &Crashes{
		crashes: map[string][]crash{}, answered: newLRU[time.Time](maxAnswered),
		refused: newLRU[*RefusedParts](maxRefusedRequests), parts: newPartRecords(),
	}
}

// Record records a crash against the fingerprint: the target crashed while it ran a request with it. It returns
// the number of fingerprints whose only crash it excused as a part of a mass failure. A crash shortly after an answer
// to the same request is not recorded.
func (r *Crashes) Record(fingerprint, target string, now time.Time) (excused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredLately(fingerprint, now) {
		return 0
	}
	r.removeIfExpired(fingerprint, now)
	added := crash{target: target, at: now}
	r.crashes[fingerprint] = addCrash(r.crashes[fingerprint], added)
	r.recentCrashes = slices.DeleteFunc(r.recentCrashes, func(c crash) bool {
		return now.Sub(c.at) > massFailureWindow
	})
	r.recentCrashes = addCrash(r.recentCrashes, added)
	if len(r.recentCrashes) >= massFailureTargets {
		excused = r.excuseMassFailure(now)
	}
	return excused
}

// RefuseIfProven refuses the request as a whole if enough crashes are recorded against it. It reports whether it did now.
func (r *Crashes) RefuseIfProven(fingerprint string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes := len(r.counted(fingerprint, now))
	return crashes >= MinCrashesToRefuse && r.refuse([]string{RequestPart(fingerprint)}, crashes, now)
}

// excuseMassFailure marks the crashes of a mass failure. They are kept: a mass failure hits each stream once, so
// that a second crash shows that the first one was none, however many other targets crashed beside it.
func (r *Crashes) excuseMassFailure(now time.Time) (excused int) {
	for _, crashes := range r.crashes {
		if len(crashes) == 1 && !crashes[0].massFailure && now.Sub(crashes[0].at) <= massFailureWindow {
			crashes[0].massFailure = true
			excused++
		}
	}
	return excused
}

// counted returns the crashes that count against the fingerprint.
func (r *Crashes) counted(fingerprint string, now time.Time) []crash {
	r.removeIfExpired(fingerprint, now)
	crashes := r.crashes[fingerprint]
	if len(crashes) == 1 && crashes[0].massFailure {
		return nil
	}
	return crashes
}

func addCrash(crashes []crash, added crash) []crash {
	if slices.ContainsFunc(crashes, func(c crash) bool { return isSameCrash(c.target, added.target, added.at.Sub(c.at)) }) {
		return crashes
	}
	return append(crashes, added)
}

// Discard discards the crashes recorded against the fingerprint, because a request with it completed on a
// target, which shows that it is harmless. It reports whether there were any.
func (r *Crashes) Discard(fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, found := r.crashes[fingerprint]
	delete(r.crashes, fingerprint)
	return found
}

// RecordAnswered records that a request with the fingerprint was answered as a whole, and discards its crashes. It
// reports whether there were any.
func (r *Crashes) RecordAnswered(fingerprint string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered.Add(fingerprint, now)
	_, found := r.crashes[fingerprint]
	delete(r.crashes, fingerprint)
	return found
}

// AnsweredLately reports whether crashes are not recorded against the fingerprint now, because it was answered.
func (r *Crashes) AnsweredLately(fingerprint string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredLately(fingerprint, now)
}

func (r *Crashes) answeredLately(fingerprint string, now time.Time) bool {
	answered, found := r.answered.Peek(fingerprint)
	return found && now.Sub(answered) <= answerClearance
}

// Count returns the number of distinct targets whose crashes are recorded against the fingerprint.
func (r *Crashes) Count(fingerprint string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.counted(fingerprint, now))
}

// RecordParts records that a target crashed at a time before it began to answer a request. It reports whether
// further parts of prompts are refused from now on.
func (r *Crashes) RecordParts(work Work, target string, at, now time.Time) (refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts.record(partCrash{target: target, fingerprint: work.Fingerprint, parts: work.SharedParts, at: at}, now)
	return r.parts.decide(now)
}

// ClearParts records that a target began to answer a request with the parts. It returns those that were suspected.
func (r *Crashes) ClearParts(parts []string, now time.Time) (suspected []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.clear(parts, now)
}

// Suspects returns which of the parts a crash now accuses, because no target survived them lately.
func (r *Crashes) Suspects(parts []string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.suspects(partCrash{parts: parts, at: now})
}

// RefuseParts adds a refusal that another entry decided, of parts or of a whole request. It returns false if it was
// known.
func (r *Crashes) RefuseParts(parts []string, targets int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refuse(parts, targets, now)
}

func (r *Crashes) refuse(parts []string, targets int, now time.Time) bool {
	if _, isRequest := requestOf(parts); !isRequest {
		return r.parts.refuse(parts, targets, now)
	}
	added := newRefusedParts(parts, targets, now)
	if r.refused.Contains(added.Key()) {
		return false
	}
	r.refused.Add(added.Key(), added)
	return true
}

// AllowParts ends a refusal, of parts or of a whole request, and drops the evidence for it.
func (r *Crashes) AllowParts(parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fingerprint, isRequest := requestOf(parts)
	if !isRequest {
		r.parts.allow(parts)
		return
	}
	r.refused.Remove(RequestPart(fingerprint))
	delete(r.crashes, fingerprint)
}

// AllRefusedParts returns the refusals in force, those of whole requests last.
func (r *Crashes) AllRefusedParts() []RefusedParts {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]RefusedParts, 0, r.parts.refused.Len()+r.refused.Len())
	for _, refused := range append(r.parts.refused.Values(), r.refused.Values()...) {
		all = append(all, *refused)
	}
	return all
}

// RefusedCounts returns the number of whole requests, and of parts of prompts, that are refused.
func (r *Crashes) RefusedCounts() (requests, parts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused.Len(), r.parts.refused.Len()
}

// RefusesRequest reports whether the request with the fingerprint is refused as a whole.
func (r *Crashes) RefusesRequest(fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused.Len() > 0 && r.refused.Contains(RequestPart(fingerprint))
}

// Refusal returns the refusal that applies to the work.
func (r *Crashes) Refusal(work Work) (refused RefusedParts, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused.Len() > 0 {
		if refusal, found := r.refused.Get(RequestPart(work.Fingerprint)); found {
			return *refusal, true
		}
	}
	if refusal := r.parts.refusal(work.SharedParts); refusal != nil {
		return *refusal, true
	}
	return RefusedParts{}, false
}

// ClaimTrial reports whether a request may try refused parts again now, and counts it as the trial.
func (r *Crashes) ClaimTrial(refused RefusedParts, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, found := r.refused.Get(refused.Key()); found {
		return current.claimTrial(requestTrialBackoff, now) && current.trials <= maxRequestTrials
	}
	current, found := r.parts.refused.Get(refused.Key())
	return found && current.claimTrial(partTrialBackoff, now)
}

// Targets returns the targets whose crashes are recorded against the fingerprint.
func (r *Crashes) Targets(fingerprint string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, c := range r.counted(fingerprint, now) {
		names = append(names, c.target)
	}
	return names
}

// Sweep removes the crashes that have expired.
func (r *Crashes) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for fingerprint := range r.crashes {
		r.removeIfExpired(fingerprint, now)
	}
}

func (r *Crashes) removeIfExpired(fingerprint string, now time.Time) {
	crashes := r.crashes[fingerprint]
	if len(crashes) == 0 {
		return
	}
	expiry := crashTTL
	if len(crashes) >= MinCrashesToRefuse {
		expiry = refusalTTL
	}
	if now.Sub(crashes[len(crashes)-1].at) > expiry {
		delete(r.crashes, fingerprint)
	}
}

// RestrictionFor returns how requests with a fingerprint may run, given its number of crashed targets.
func RestrictionFor(crashes int) Restriction {
	switch {
	case crashes >= MinCrashesToRefuse:
		return RestrictionRefused
	case crashes >= minCrashesToIsolate:
		return RestrictionIsolated
	}
	return RestrictionNone
}

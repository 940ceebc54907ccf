package generation

import (
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
)

// RelayCrashRecords is the port to what is known of requests, and of parts of their prompts, that crash targets.
// All entries share it. No method waits for other entries.
type RelayCrashRecords interface {
	// RecordCrash records that target crashed before it began to answer.
	RecordCrash(work health.Work, target health.CrashedTarget)
	// RecordAnswer records that a target began to answer, which shows that the work is harmless.
	RecordAnswer(work health.Work)
	// Judge returns whether the work may be sent to a target.
	Judge(work health.Work) WorkJudgement
	// Changed returns a channel that is closed once more work is refused than now.
	Changed() <-chan struct{}
}

// WorkJudgement is the answer of RelayCrashRecords.Judge.
type WorkJudgement struct {
	Refused bool
	// Targets is the number of targets that crashed. Parts are the parts of the prompt that crashed them; empty
	// when it is the request as a whole.
	Targets int
	Parts   []string
	// Trial reports that the work is let through to find out whether its refusal still holds.
	Trial bool
}

// Changed implements RelayCrashRecords; nothing changes it from outside.
func (s *relayLocalRecords) Changed() <-chan struct{} { return nil }

// relayLocalRecords keeps the crashes known to one entry.
type relayLocalRecords struct{ crashes *health.Crashes }

// RecordCrash implements RelayCrashRecords.
func (s *relayLocalRecords) RecordCrash(work health.Work, target health.CrashedTarget) {
	now := time.Now()
	s.crashes.Record(work.Fingerprint, target.Incarnation(), now)
	s.crashes.RecordParts(work, target.Incarnation(), now, now)
}

// RecordAnswer implements RelayCrashRecords.
func (s *relayLocalRecords) RecordAnswer(work health.Work) {
	s.crashes.Discard(work.Fingerprint)
	s.crashes.ClearParts(work.SharedParts, time.Now())
}

// Judge implements RelayCrashRecords.
func (s *relayLocalRecords) Judge(work health.Work) WorkJudgement {
	return JudgeWork(s.crashes, work, time.Now(), func(health.RefusedParts) bool { return true })
}

// JudgeWork judges work by the crashes that are recorded. mayTry reports whether this entry is the one that tries
// refused parts again.
func JudgeWork(crashes *health.Crashes, work health.Work, now time.Time, mayTry func(health.RefusedParts) bool) WorkJudgement {
	refused, found := crashes.Refusal(work)
	if !found {
		count := crashes.Count(work.Fingerprint, now)
		return WorkJudgement{Refused: health.RestrictionFor(count) == health.RestrictionRefused, Targets: count}
	}
	trial := mayTry(refused) && crashes.ClaimTrial(refused, now)
	judgement := WorkJudgement{Refused: !trial, Targets: refused.Targets, Trial: trial}
	if _, isRequest := refused.Request(); !isRequest {
		judgement.Parts = refused.Parts
	}
	return judgement
}

func (run *relayRun) work() health.Work {
	return health.Work{Request: run.request.ID, Fingerprint: run.request.Fingerprint, SharedParts: run.request.SharedParts}
}

// rejectPoison returns a *PoisonError if the request, or parts of its prompt, crashed too many targets.
func (run *relayRun) rejectPoison() error {
	judgement := run.relay.options.CrashRecords.Judge(run.work())
	run.onTrial = judgement.Trial
	return run.poisonError(judgement)
}

// rejectPoisonSince is rejectPoison once more work is refused: a stream may have waited for its target for seconds.
func (run *relayRun) rejectPoisonSince(changed <-chan struct{}) error {
	if run.onTrial {
		return nil
	}
	select {
	case <-changed:
		return run.rejectPoison()
	default:
		return nil
	}
}

// poisonError returns the error of a refused request; nil if it is not refused.
func (run *relayRun) poisonError(judgement WorkJudgement) error {
	if !judgement.Refused {
		return nil
	}
	run.relay.stats.PoisonRefused.Add(1)
	return &PoisonError{Key: Key{ID: run.request.ID}, Targets: judgement.Targets, Parts: judgement.Parts}
}

func (run *relayRun) recordCrash(target *directory.Target) {
	run.relay.options.CrashRecords.RecordCrash(run.work(), health.CrashedTarget{ID: target.ID, Address: target.Address, StartedMs: target.StartedMs})
}

// checkWaiting returns a *PoisonError if the request was refused since the attempt was sent. An attempt without an
// event has not crashed its target yet, and ends before it does.
func (a *activeAttempt) checkWaiting() error {
	if a.eventCount > 0 || a.run.onTrial {
		return nil
	}
	judgement := a.run.relay.options.CrashRecords.Judge(a.run.work())
	a.run.onTrial = judgement.Trial
	return a.run.poisonError(judgement)
}

package service

import (
	"context"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// CrashRecords is the port to what is known of calls that crash targets. All entries share it, with the records of
// streams. No method waits for other entries.
type CrashRecords interface {
	// RecordCrash records that the target's connection ended before its answer was whole.
	RecordCrash(work health.Work, target health.CrashedTarget)
	// RecordWholeAnswer records that a target answered the call, which shows that it is harmless.
	RecordWholeAnswer(work health.Work)
	// Judge returns whether the call may be sent to a target.
	Judge(work health.Work) generation.WorkJudgement
	// Changed returns a channel that is closed once more work is refused than now.
	Changed() <-chan struct{}
}

// noCrashRecords is CrashRecords that know nothing.
type noCrashRecords struct{}

func (noCrashRecords) RecordCrash(health.Work, health.CrashedTarget) {}
func (noCrashRecords) RecordWholeAnswer(health.Work)                 {}
func (noCrashRecords) Judge(health.Work) generation.WorkJudgement    { return generation.WorkJudgement{} }
func (noCrashRecords) Changed() <-chan struct{}                      { return nil }

func (w *forwardRun) work() health.Work {
	return health.Work{Request: w.call.ID, Fingerprint: w.call.Fingerprint, Call: true}
}

// checkPoison returns a *generation.PoisonError if the call crashed too many targets. A call on trial is sent once, and
// was judged before.
func (w *forwardRun) checkPoison() error {
	if w.onTrial {
		return nil
	}
	judgement := w.forwarder.options.CrashRecords.Judge(w.work())
	w.onTrial = judgement.Trial
	if !judgement.Refused {
		return nil
	}
	w.forwarder.poisonRefused.Add(1)
	return &generation.PoisonError{Key: generation.Key{ID: w.call.ID}, Targets: judgement.Targets}
}

// recordEvidence tells the crash records how an attempt ended. A connection that this entry closed shows nothing.
func (w *forwardRun) recordEvidence(ctx context.Context, result forwardResult) {
	if defect.Enabled(defect.CallCrashesIgnored) {
		return
	}
	records := w.forwarder.options.CrashRecords
	switch {
	case result.sent.Verdict == SendAnswered, result.sent.Verdict == SendFailed:
		records.RecordWholeAnswer(w.work())
	case result.sent.ConnectionLost && ctx.Err() == nil:
		target := result.lease.target
		records.RecordCrash(w.work(), health.CrashedTarget{ID: target.Name, Address: target.Address, StartedMs: target.StartedMs})
	}
}

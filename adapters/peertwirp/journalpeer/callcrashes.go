package journalpeer

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

// callReportTimeout limits what the records of a call's end tell other entries; no caller waits for it.
const callReportTimeout = time.Second

// CallCrashRecords shares the crashes of targets under plain calls by the records of generations. It implements
// service.CrashRecords.
type CallCrashRecords struct{ records *CrashRecords }

// NewCallCrashRecords returns CallCrashRecords that use the records.
func NewCallCrashRecords(records *CrashRecords) CallCrashRecords { return CallCrashRecords{records} }

// RecordCrash implements service.CrashRecords.
func (c CallCrashRecords) RecordCrash(work health.Work, target health.CrashedTarget) {
	if c.records.crashes.AnsweredLately(work.Fingerprint, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callReportTimeout)
		defer cancel()
		c.records.RecordCrash(ctx, work.Fingerprint, target.Incarnation())
	}()
}

// RecordWholeAnswer implements service.CrashRecords.
func (c CallCrashRecords) RecordWholeAnswer(work health.Work) {
	refused := c.records.crashes.RefusesRequest(work.Fingerprint)
	if !c.records.crashes.RecordAnswered(work.Fingerprint, time.Now()) && !refused {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callReportTimeout)
		defer cancel()
		c.records.ClearCrashes(ctx, work.Fingerprint)
	}()
}

// Judge implements service.CrashRecords. One entry of the fleet tries a refused call again.
func (c CallCrashRecords) Judge(work health.Work) generation.WorkJudgement {
	view, now := c.records.client.view, time.Now()
	c.records.crashes.RefuseIfProven(work.Fingerprint, now)
	return generation.JudgeWork(c.records.crashes, work, now, func(refused health.RefusedParts) bool {
		ranked := membership.Rank(view.Live(), refused.Key())
		return len(ranked) == 0 || ranked[0].Name == view.Self().Name
	})
}

// Changed implements service.CrashRecords. Calls in progress are not stopped: the records don't tell when one is refused.
func (CallCrashRecords) Changed() <-chan struct{} { return nil }

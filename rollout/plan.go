package rollout

import (
	"time"

	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// Input is what a plan learns at one step.
type Input struct {
	// Order is the order in force, nil when it was withdrawn.
	Order *Order
	// OldRegistered counts the targets of other versions than Order.To that are registered, ready or not; NewReady
	// the targets of Order.To that are ready for requests.
	OldRegistered, NewReady int
	// Old and New are what all entries reported since the step before: each report is given to one step only.
	Old, New Evidence
	// OldInProgress counts the requests and streams in progress at the old version, by the last report of each
	// entry.
	OldInProgress int
	// Unconfirmed counts the live entries that may still send new requests to the old version: those whose last
	// report is older than MaxShareAge or was sent before the entry knew of the stage Drain.
	Unconfirmed int
	// ReportInterval is the time between two reports of an entry.
	ReportInterval time.Duration
}

// Output is what a plan decides at one step.
type Output struct {
	Stage Stage
	// Share is the share of new requests that may go to the new version.
	Share float64
	// Write is the status to write to the store, nil if the last one written still holds.
	Write *Status
	// Verdict is what the judge says of the new version.
	Verdict Verdict
	// Invalid says why the order is ignored.
	Invalid error
}

const (
	// The shares of the stage Canary are parts of Bounds.Share: below it, so that retries and rounding stay within
	// the bound too.
	firstCanaryPart  = 0.4
	secondCanaryPart = 0.8
	// undecidedCanaryTime is the part of the time of the stage Canary after which the second share is taken although
	// the version is neither found good nor bad yet: at low rates the first one gives too little evidence.
	undecidedCanaryTime = 0.15
	// canaryTime is the part of the time to the deadline that the stage Canary lasts, unless the version has
	// enoughGoodResponses before. repeatedCanaryTime is that part for a version that was found good before the
	// coordinator changed.
	canaryTime          = 0.6
	repeatedCanaryTime  = 0.2
	enoughGoodResponses = 300

	// minStepTime is the shortest step of the stage Shift. A step also waits for one report of each entry, and for
	// stepResponses as long as there is time: until drainTime of the duration is left.
	minStepTime = time.Second
	drainTime   = 0.1
	// detectionTime is the time in which a fault that begins with a step is found, without the time that reports
	// and their answers take.
	detectionTime = 1500 * time.Millisecond
)

// shiftShares are the shares of the stage Shift.
var shiftShares = [...]float64{0.25, 0.5, 1}

// stepResponses is the number of responses that each step waits for. Most of what the bound leaves goes to the last
// step, since a fault that shows under load shows there.
var stepResponses = [...]int64{8, 16, 60}

// Plan runs the rollout of one service. One entry, the coordinator, has it.
type Plan struct {
	bounds  Bounds
	order   Order
	ordered bool
	stage   Stage
	share   float64
	reason  string
	written Status
	judge   *Judge
	// goodBefore reports whether an earlier coordinator found the version good.
	goodBefore bool
	// answered counts the responses of the new version that are no failures, startedNew the requests sent there and
	// started those sent to both versions, since began.
	answered, startedNew, started int64
	began                         time.Time
	// begun is the time at which the stage began, stepBegun that at which the share was set.
	begun, stepBegun time.Time
	// answeredBefore is answered when the share was set.
	answeredBefore int64
}

// NewPlan returns a plan without an order.
func NewPlan(bounds Bounds) *Plan { return &Plan{bounds: bounds} }

// Resume continues a rollout from the status that the store holds: a final one stays, a running one continues with
// the stage Canary, or waits for a target. A status of another version is that of an earlier order and starts the
// order again. It is called by an entry that becomes the coordinator, or that finds its write refused.
func (p *Plan) Resume(now time.Time, order Order, status Status) {
	p.begin(now, order)
	if status.To != order.To {
		return
	}
	p.written = status
	switch status.State {
	case StateSucceeded:
		p.enter(now, Succeeded, 1)
		p.reason = status.Reason
	case StateRolledBack:
		p.enter(now, RolledBack, 0)
		p.reason = status.Reason
	default:
		p.goodBefore = status.Stage == Shift || status.Stage == Drain
	}
}

// Step takes in what is known and returns what to do. An order that differs from that of the step before starts a
// new rollout; one that is withdrawn ends without a status.
func (p *Plan) Step(now time.Time, in Input) Output {
	if in.Order == nil {
		*p = Plan{bounds: p.bounds}
		return Output{}
	}
	if err := in.Order.Validate(); err != nil {
		*p = Plan{bounds: p.bounds}
		return Output{Invalid: err}
	}
	if !p.ordered || p.order != *in.Order {
		p.begin(now, *in.Order)
	}
	if !p.stage.Final() {
		p.judge.Add(now, in.Old, in.judged())
		for i := range in.New.Routes {
			p.answered += in.New.Routes[i].answered()
		}
		p.startedNew += in.New.Started
		p.started += in.New.Started + in.Old.Started
		p.advance(now, in)
	}
	output := Output{Stage: p.stage, Share: p.share, Verdict: p.judge.Verdict()}
	if status := p.status(); status != p.written {
		output.Write = &status
	}
	return output
}

// Written records that the store holds the status. Until then each step returns it again.
func (p *Plan) Written(status Status) { p.written = status }

// judged returns the evidence by which the new version is judged.
func (in Input) judged() Evidence {
	if defect.Enabled(defect.NewVersionUnjudged) {
		return in.Old
	}
	return in.New
}

func (p *Plan) begin(now time.Time, order Order) {
	*p = Plan{bounds: p.bounds, order: order, ordered: true, judge: NewJudge(), began: now}
	p.enter(now, Waiting, 0)
}

func (p *Plan) enter(now time.Time, stage Stage, share float64) {
	p.stage, p.begun = stage, now
	p.setShare(now, share)
}

func (p *Plan) setShare(now time.Time, share float64) {
	p.share, p.stepBegun, p.answeredBefore = share, now, p.answered
}

func (p *Plan) end(now time.Time, stage Stage, reason string) {
	share := 0.0
	if stage == Succeeded {
		share = 1
	}
	p.enter(now, stage, share)
	p.reason = reason
}

func (p *Plan) status() Status {
	status := Status{State: StateRunning, To: p.order.To, Stage: p.stage, Share: p.share, Reason: p.reason}
	switch p.stage {
	case Succeeded:
		status.State = StateSucceeded
	case RolledBack:
		status.State = StateRolledBack
	}
	return status
}

func (p *Plan) advance(now time.Time, in Input) {
	verdict := p.judge.Verdict()
	switch {
	case verdict.Decision == Bad:
		p.end(now, RolledBack, verdict.Reason)
		return
	case p.stage == Waiting && in.OldRegistered == 0 && in.NewReady > 0:
		p.end(now, Succeeded, "all targets are of the version")
		return
	case p.stage != Drain && !now.Before(p.order.Deadline()):
		p.end(now, RolledBack, "deadline")
		return
	}
	switch p.stage {
	case Waiting:
		if in.NewReady > 0 {
			p.enter(now, Canary, firstCanaryPart*p.bounds.Share)
		}
	case Canary:
		p.advanceCanary(now, in, verdict.Decision)
	case Shift:
		p.advanceShift(now, in, verdict.Decision)
	case Drain:
		if in.OldInProgress == 0 && in.Unconfirmed == 0 {
			p.end(now, Succeeded, "")
		}
	}
}

func (p *Plan) advanceCanary(now time.Time, in Input, decision Decision) {
	elapsed, available := now.Sub(p.begun), p.order.Deadline().Sub(p.begun)
	part := canaryTime
	if p.goodBefore {
		part = repeatedCanaryTime
	}
	canary := time.Duration(part * float64(available))
	if decision == Good && (elapsed >= canary || p.answered >= enoughGoodResponses) {
		p.enter(now, Shift, shiftShares[0])
		p.judge.beginShift()
		return
	}
	second := secondCanaryPart * p.bounds.Share
	if p.share >= second {
		return
	}
	waited := float64(elapsed) >= undecidedCanaryTime*float64(canary)
	if (decision == Good || waited) && p.leavesRoomForShift(now, in, second, canary-elapsed) {
		p.setShare(now, second)
	}
}

// leavesRoomForShift reports whether the requests that the new version gets with the share for the time given leave
// enough of the bound to find a fault that shows only in the last step of the stage Shift.
func (p *Plan) leavesRoomForShift(now time.Time, in Input, share float64, remaining time.Duration) bool {
	rate := p.rate(now)
	canary := min(rate*share*remaining.Seconds(), float64(enoughGoodResponses-p.answered))
	step := (minStepTime + in.ReportInterval).Seconds()
	shift := rate * (shiftShares[0]*step + shiftShares[1]*step + (detectionTime + 2*in.ReportInterval).Seconds())
	// At low rates the steps last longer, since they wait for responses.
	responses := int64(0)
	for _, step := range stepResponses {
		responses += step
	}
	shift = max(shift, float64(responses))
	return canary+shift <= p.exposureLeft(now)
}

// rate returns the requests of the service per second.
func (p *Plan) rate(now time.Time) float64 {
	elapsed := now.Sub(p.began).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(p.started) / elapsed
}

// exposureLeft returns how many more requests the new version may get if it is bad.
func (p *Plan) exposureLeft(now time.Time) float64 {
	all := float64(p.started) + p.rate(now)*max(p.order.Deadline().Sub(now), 0).Seconds()
	return p.bounds.Share*all + float64(p.bounds.Slack) - float64(p.startedNew)
}

func (p *Plan) advanceShift(now time.Time, in Input, decision Decision) {
	suspicious := p.judge.suspicious()
	step := 0
	for step < len(shiftShares)-1 && p.share > shiftShares[step] {
		step++
	}
	last := step == len(shiftShares)-1
	acceptable := p.judge.acceptable()
	elapsed := now.Sub(p.stepBegun)
	// tested reports whether one of the last two steps gave enough evidence to decide on.
	tested := step >= len(shiftShares)-2 && elapsed >= minStepTime+2*in.ReportInterval && p.answered-p.answeredBefore >= stepResponses[1]
	// The requests that the new version gets until a lower share is known everywhere. Going on with a lower share
	// instead would clear a version whose fault shows under load only. Broken connections alone are no reason before a
	// step is tested: a zone that crashes breaks as many.
	suspected := p.judge.suspiciousOf(failures) || p.judge.suspiciousOf(latency) || tested && !acceptable && (last || decision != Good)
	underway := p.rate(now) * p.share * (minStepTime/2 + 2*in.ReportInterval).Seconds()
	if suspected && p.exposureLeft(now) < underway {
		p.end(now, RolledBack, "suspected, and no more requests may go to a bad version")
		return
	}
	drainBegin := p.order.Deadline().Add(-time.Duration(drainTime * float64(p.order.Duration)))
	// The time that is left is divided among this step and the ones after it.
	available := drainBegin.Sub(p.stepBegun) / time.Duration(len(shiftShares)-step)
	shortest := minStepTime + in.ReportInterval
	if last {
		shortest = detectionTime + 2*in.ReportInterval
	}
	shortest = max(minStepTime, min(shortest, available))
	// An acceptable version continues while the bound still leaves room for the requests that it gets until the stage Drain
	// ends, which takes a further report: a bad version may be acceptable too.
	draining := underway + p.rate(now)*p.share*in.ReportInterval.Seconds()
	if last && tested && acceptable && !suspected && p.exposureLeft(now) < draining {
		p.enter(now, Drain, 1)
		return
	}
	enough := decision == Good && p.answered-p.answeredBefore >= stepResponses[step]
	if elapsed < shortest || suspicious || !enough && elapsed < available {
		return
	}
	if last {
		if acceptable {
			p.enter(now, Drain, 1)
		}
		return
	}
	next := shiftShares[step+1]
	// A version that is neither good nor acceptable needs the evidence of the last step: it goes there only if the bound
	// leaves room for that.
	if step+1 == len(shiftShares)-1 && decision != Good && !acceptable && p.exposureLeft(now) < p.rate(now)*next*(minStepTime+3*in.ReportInterval).Seconds() {
		p.end(now, RolledBack, "suspected, and no more requests may go to a bad version")
		return
	}
	p.setShare(now, next)
}

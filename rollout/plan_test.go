package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against good versions that are rolled back and bad ones that succeed or get too many requests, in all stages
// together: share, gate, reports, judge and stages, with faults from the start, later, on one route, and under load.
func TestRolloutsOfModelledTraffic(t *testing.T) {
	for _, rate := range modelledRates {
		t.Run(fmt.Sprintf("rate-%.0f", rate), func(t *testing.T) {
			for _, entries := range modelledEntries {
				for _, fault := range []fault{noFault, failing, slow, routeFails, crashing, laterFails, underLoad} {
					got := measure(traffic{entries: entries, rate: rate, duration: time.Minute, fault: fault, baseFailures: 0.01})
					t.Logf("%d entries, %.0f/s, %s: %v", entries, rate, fault.name, got)
					name := fmt.Sprintf("%d entries, %.0f/s, %s", entries, rate, fault.name)
					if got.undecided > 0 {
						t.Errorf("%s: %d undecided", name, got.undecided)
					}
					if got.overBeforeShift > 0 {
						t.Errorf("%s: over the share and the slack before the stage Shift in %d", name, got.overBeforeShift)
					}
					if fault.name == noFault.name {
						if got.exceeds(got.rolledBack, mostFalseAlarms) {
							t.Errorf("%s: %.1f in 100 rolled back", name, got.percent(got.rolledBack))
						}
						continue
					}
					if missed := max(got.succeeded, got.lateVerdicts); got.exceeds(missed, mostMisses) {
						t.Errorf("%s: %.1f in 100 found late or not at all", name, got.percent(missed))
					}
					if got.sentLate > 0 {
						t.Errorf("%s: requests too long after the 50th bad response in %d", name, got.sentLate)
					}
				}
			}
		})
	}
}

// Guards against bad versions that get more requests than the share of all plus the slack until the deadline. The
// bound has no exceptions.
func TestBadVersionsStayWithinTheExposure(t *testing.T) {
	for _, rate := range modelledRates {
		t.Run(fmt.Sprintf("rate-%.0f", rate), func(t *testing.T) {
			for _, entries := range modelledEntries {
				for _, fault := range []fault{failing, slow, routeFails, crashing, laterFails, underLoad, underLoad45} {
					got := measure(traffic{entries: entries, rate: rate, duration: time.Minute, fault: fault, baseFailures: 0.01})
					t.Logf("%d entries, %.0f/s, %s: at most %.0f requests beyond the share, %d of %d over the slack", entries, rate, fault.name, last(got.excess), got.overExposed, got.runs)
					if got.overExposed > 0 {
						t.Errorf("%d entries, %.0f/s, %s: %d of %d over the slack", entries, rate, fault.name, got.overExposed, got.runs)
					}
				}
			}
		})
	}
}

// Guards against a rollout that is lost, or a bad version that succeeds, as coordinators are lost in any stage: each
// new one begins with the stage Canary and without evidence.
func TestRolloutsOutliveTheirCoordinators(t *testing.T) {
	for _, lost := range [][]time.Duration{{5 * time.Second}, {20 * time.Second}, {37 * time.Second}, {10 * time.Second, 25 * time.Second}} {
		for _, entries := range modelledEntries {
			for _, fault := range []fault{noFault, failing, slow} {
				got := measure(traffic{entries: entries, rate: 60, duration: time.Minute, fault: fault, baseFailures: 0.01, coordinatorLost: lost})
				t.Logf("lost at %v, %d entries, %s: %v", lost, entries, fault.name, got)
				if fault.name == noFault.name && got.exceeds(got.rolledBack, mostFalseAlarms) {
					t.Errorf("lost at %v, %d entries: %.1f in 100 good versions rolled back", lost, entries, got.percent(got.rolledBack))
				}
				if fault.name != noFault.name && (got.exceeds(got.succeeded, mostMisses) || got.overExposed > 0) {
					t.Errorf("lost at %v, %d entries, %s: %d succeeded, %d over the exposure", lost, entries, fault.name, got.succeeded, got.overExposed)
				}
			}
		}
	}
}

// planTest drives one plan by hand: 100 requests per step of 400 ms at the old version, and the share of it at the
// new one.
type planTest struct {
	is   *is.I
	plan *Plan
	now  time.Time
	in   Input
	out  Output
}

func newPlanTest(t *testing.T, duration time.Duration) *planTest {
	order := testOrder("v2", duration)
	return &planTest{is: is.New(t), plan: NewPlan(testBounds), now: testStart,
		in: Input{Order: &order, OldRegistered: 4, NewReady: 4, OldInProgress: 7, ReportInterval: 400 * time.Millisecond}}
}

// step plays one step in which the given part of the new version's responses fail.
func (p *planTest) step(failing float64) {
	sent := int(100 * p.out.Share)
	failed := int(failing * float64(sent))
	p.in.Old = evidenceOf("chat", 100-sent, 0, 0, 50*time.Millisecond)
	p.in.New = evidenceOf("chat", sent-failed, failed, 0, 50*time.Millisecond)
	p.in.Old.Started, p.in.New.Started = int64(100-sent), int64(sent)
	p.now = p.now.Add(400 * time.Millisecond)
	p.out = p.plan.Step(p.now, p.in)
	if p.out.Write != nil {
		p.plan.Written(*p.out.Write)
	}
}

// reach steps until the stage, and fails if it isn't reached within the duration.
func (p *planTest) reach(stage Stage, failing float64) {
	for range 10_000 {
		if p.step(failing); p.out.Stage == stage {
			return
		}
	}
	p.is.Equal(p.out.Stage, stage)
}

// Guards against stages that are left out, steps shorter than a second, and a success while requests are in progress
// at the old version or an entry may still send some there.
func TestGoodVersionPassesAllStages(t *testing.T) {
	p := newPlanTest(t, time.Minute)
	p.in.NewReady = 0
	p.step(0)
	p.is.Equal(p.out.Stage, Waiting)
	p.is.Equal(p.out.Share, 0.0)
	p.in.NewReady = 1
	shares, since := []float64{}, p.now
	for p.out.Stage != Drain {
		before := p.out.Share
		p.step(0)
		if p.out.Share != before {
			p.is.True(len(shares) == 0 || p.now.Sub(since) >= time.Second)
			shares, since = append(shares, p.out.Share), p.now
		}
		p.is.True(p.now.Before(testStart.Add(time.Minute)))
	}
	p.is.Equal(fmt.Sprint(shares), "[0.04000000000000001 0.08000000000000002 0.25 0.5 1]")
	p.in.Unconfirmed = 1
	for range 300 { // past the deadline
		p.step(0)
		p.is.Equal(p.out.Stage, Drain)
		p.is.Equal(p.out.Share, 1.0)
	}
	p.in.OldInProgress = 0
	p.step(0)
	p.is.Equal(p.out.Stage, Drain)
	p.in.Unconfirmed, p.in.OldInProgress = 0, 1
	p.step(0)
	p.is.Equal(p.out.Stage, Drain)
	p.in.OldInProgress = 0
	p.step(0)
	p.is.Equal(*p.out.Write, Status{State: StateSucceeded, To: "v2", Stage: Succeeded, Share: 1})
	p.step(1)
	p.is.Equal(p.out.Stage, Succeeded)
	p.is.True(p.out.Write == nil)
}

// Guards against a version that becomes bad after the judge found it good and is kept: in each stage before the end.
func TestBadVersionIsRolledBackInAnyStage(t *testing.T) {
	for _, stage := range []Stage{Canary, Shift, Drain} {
		p := newPlanTest(t, time.Minute)
		p.reach(stage, 0)
		p.reach(RolledBack, 0.5)
		p.is.Equal(p.out.Share, 0.0)
		p.is.Equal(p.out.Write.State, StateRolledBack)
		p.is.Equal(p.out.Write.Reason, "failures")
		for range 200 {
			p.step(0)
			p.is.Equal(p.out.Stage, RolledBack)
		}
	}
}

// Guards against a rollout that stays undecided after its deadline: no target of the version gets ready, no requests
// come, or the order was learned of after its deadline.
func TestUndecidedRolloutIsRolledBackAtItsDeadline(t *testing.T) {
	p := newPlanTest(t, 10*time.Second)
	p.in.NewReady = 0
	for p.now.Before(testStart.Add(10*time.Second - 400*time.Millisecond)) {
		p.step(0)
		p.is.Equal(p.out.Stage, Waiting)
	}
	p.step(0)
	p.is.Equal(p.out.Stage, RolledBack)

	idle := newPlanTest(t, 10*time.Second)
	for second := range 10 {
		idle.out = idle.plan.Step(testStart.Add(time.Duration(second)*time.Second), idle.in)
		idle.is.Equal(idle.out.Stage == Waiting || idle.out.Stage == Canary, true)
	}
	idle.out = idle.plan.Step(testStart.Add(10*time.Second), idle.in)
	idle.is.Equal(idle.out.Write.State, StateRolledBack)

	late := newPlanTest(t, 10*time.Second)
	late.out = late.plan.Step(testStart.Add(time.Hour), late.in)
	late.is.Equal(late.out.Write.Reason, "deadline")
}

// Guards against a short rollout whose good version doesn't get through all steps in time.
func TestShortRolloutOfGoodVersionSucceedsInTime(t *testing.T) {
	for _, duration := range []time.Duration{15 * time.Second, 20 * time.Second, 30 * time.Second} {
		p := newPlanTest(t, duration)
		p.in.OldInProgress = 0
		p.reach(Succeeded, 0)
		p.is.True(!p.now.After(testStart.Add(duration)))
	}
}

// Guards against a status that is written once and lost: it is returned until the store holds it, and the verdict
// stays what it was.
func TestStatusIsReturnedUntilItIsWritten(t *testing.T) {
	p := newPlanTest(t, time.Minute)
	p.is.Equal(*p.plan.Step(testStart, p.in).Write, Status{State: StateRunning, To: "v2", Stage: Canary, Share: 0.04000000000000001})
	p.reach(Shift, 0)
	p.in.Order.Duration = time.Nanosecond // another order: past its deadline
	for range 3 {
		out := p.plan.Step(p.now, p.in)
		p.is.Equal(*out.Write, Status{State: StateRolledBack, To: "v2", Stage: RolledBack, Reason: "deadline"})
	}
	p.plan.Written(Status{State: StateRolledBack, To: "v2", Stage: RolledBack, Reason: "deadline"})
	p.is.True(p.plan.Step(p.now, p.in).Write == nil)
}

// Guards against orders that are mixed up: a second order must not continue with the evidence and the stage of the
// first, a withdrawn one must leave nothing, not even a status, and an invalid one must be ignored.
func TestOrdersFollowEachOther(t *testing.T) {
	p := newPlanTest(t, time.Minute)
	p.reach(Shift, 0)
	other := testOrder("v3", time.Minute)
	other.Ordered = p.now
	p.in.Order = &other
	p.step(0)
	p.is.Equal(p.out.Stage, Canary)
	p.is.Equal(p.out.Write.To, "v3")
	p.is.Equal(p.out.Verdict, Verdict{})

	p.in.Order = nil
	p.step(0)
	p.is.Equal(p.out, Output{})

	for _, invalid := range []Order{{Service: "desk", Duration: time.Minute}, {Service: "desk", To: "v2"}, {Service: "desk", To: "v2", Duration: -1}, {To: "v2", Duration: 1}} {
		p.in.Order = &invalid
		p.step(0)
		p.is.True(p.out.Invalid != nil)
		p.is.Equal(p.out.Stage, NoRollout)
		p.is.True(p.out.Write == nil)
	}
	p.is.Equal(p.plan.Step(p.now, Input{Order: &Order{Service: "desk", To: "v2"}}).Invalid, ErrNoDuration)
}

// Guards against an order to the version that already serves and waits for its deadline, to be rolled back.
func TestOrderToTheServingVersionSucceedsAtOnce(t *testing.T) {
	p := newPlanTest(t, time.Minute)
	p.in.OldRegistered = 0
	p.step(0)
	p.is.Equal(p.out.Write.State, StateSucceeded)
}

// Guards against rollouts of two services that share anything: one is bad, the other one succeeds.
func TestRolloutsOfTwoServicesAreIndependent(t *testing.T) {
	good, bad := newPlanTest(t, time.Minute), newPlanTest(t, time.Minute)
	bad.in.Order.Service = "search"
	good.in.OldInProgress = 0
	for range 150 {
		good.step(0)
		bad.step(0.5)
	}
	good.is.Equal(good.out.Stage, Succeeded)
	good.is.Equal(bad.out.Stage, RolledBack)
}

// Guards against an entry that becomes coordinator and changes what is written, or continues without evidence
// for.
func TestNewCoordinatorContinuesFromTheStatus(t *testing.T) {
	for state, want := range map[State]Stage{StateSucceeded: Succeeded, StateRolledBack: RolledBack, StateRunning: Canary} {
		p := newPlanTest(t, time.Minute)
		p.plan.Resume(testStart, *p.in.Order, Status{State: state, To: "v2", Stage: Shift, Share: 0.5})
		p.step(1)
		p.is.Equal(p.out.Stage, want)
	}
	p := newPlanTest(t, time.Minute)
	p.plan.Resume(testStart, *p.in.Order, Status{State: StateSucceeded, To: "v1"}) // of the order before
	p.step(0)
	p.is.Equal(p.out.Stage, Canary)
	p.is.Equal(p.out.Write.To, "v2")
}

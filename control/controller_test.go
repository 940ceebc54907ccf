package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/matryer/is"
)

func TestRolloutLoadsOneCopyFirstWithinRateAndKeepsUsedWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newTestEnvironment(v1.FencingEnforced, "t1", "t2", "t3", "t4")
		go w.controller(0).Run(ctx)
		time.Sleep(2 * time.Minute)
		is.True(w.holds("v1"))

		w.engines.update(func() { w.engines.used = []Weights{{"m", "v1", ""}}; w.engines.loadStarts = nil })
		w.configuration.declare("v2", v1.FencingEnforced, "t1", "t2", "t3", "t4")
		time.Sleep(2 * time.Minute)
		is.True(!w.holds("v2")) // a stream still uses v1, so it must not be unloaded
		w.engines.update(func() { w.engines.used = nil })
		time.Sleep(2 * time.Minute)
		is.True(w.holds("v2"))

		times := w.engines.loadStarts
		is.Equal(len(times), 8)                                   // no load was repeated
		is.True(times[1].Sub(times[0]) >= w.engines.loadDuration) // the others waited for the first copy
		for i := 1; i < len(times); i++ {                         // at most one load per second
			is.True(times[i].Sub(times[i-1]) >= time.Second)
		}
	})
}

// TestPausedHolderDoesNotPreventConvergence: a lease holder pauses between planning and sending a
// command while another entry takes the lease over. The late command must not change the final state,
// whether the targets check fencing tokens or not.
func TestPausedHolderDoesNotPreventConvergence(t *testing.T) {
	for _, fencing := range []v1.FencingMode{v1.FencingEnforced, v1.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { pausedHolder(t, fencing) })
		})
	}
}

// pausedHolder runs the test for targets with one fencing mode.
func pausedHolder(t *testing.T, fencing v1.FencingMode) {
	is := is.New(t)
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newTestEnvironment(fencing, "t1", "t2")
	paused := w.controller(0)
	is.NoErr(paused.options.Lease.Step(ctx))
	paused.Reconcile(ctx) // the plan contains a load of v1
	action := Action{Target: "t2", Kind: CommandLoad, Weights: Weights{Model: "m", Version: "v1"}}
	states := paused.States()

	go w.controller(1).Run(ctx)
	w.configuration.declare("v2", fencing, "t1", "t2")
	time.Sleep(3 * time.Minute)
	is.True(w.holds("v2"))

	_, err := paused.sendCommand(ctx, action, findState(states, "t2"))
	is.Equal(err, ErrLeaseExpired)
	// Worst case: the pause is between the lease check and the call, so the command is still sent.
	late := Command{Kind: CommandLoad, Weights: action.Weights, Fence: paused.term.token}
	err = w.engines.Send(ctx, "t2", late)
	if fencing == v1.FencingEnforced {
		is.Equal(err, ErrFenced)
	}
	time.Sleep(time.Minute)
	is.True(w.holds("v2"))
}

func TestNewHolderWaitsForFormerCommandsToTargetsThatIgnoreTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestEnvironment(v1.FencingIgnored, "t1")
		former, next := w.controller(0), w.controller(1)
		is.NoErr(former.options.Lease.Step(t.Context()))
		is.NoErr(next.options.Lease.Step(t.Context()))
		time.Sleep(LeaseDuration + time.Millisecond)
		is.NoErr(next.options.Lease.Step(t.Context()))
		grant, held := next.options.Lease.Held()
		is.True(held)
		next.startTerm(grant.Token)
		_, err := next.checkLease(v1.FencingIgnored)
		is.Equal(err, ErrFormerHolder)
		_, err = next.checkLease(v1.FencingEnforced)
		is.NoErr(err)
		time.Sleep(MaxCommandDuration)
		_, err = next.checkLease(v1.FencingIgnored)
		is.NoErr(err)
		time.Sleep(LeaseDuration - 2*MaxCommandDuration + time.Millisecond)
		_, err = next.checkLease(v1.FencingIgnored)
		is.Equal(err, ErrLeaseExpired) // a command might take effect after the lease expired
		_, err = next.checkLease(v1.FencingEnforced)
		is.NoErr(err)
	})
}

func TestDrainingAndUnobservedTargetsGetNoCommands(t *testing.T) {
	is := is.New(t)
	desired := []Weights{{Model: "m", Version: "v1"}}
	never := func(string, Weights) time.Duration { return 0 }
	target := func(name string) v1.Target { return v1.Target{Metadata: v1.Metadata{Name: name}} }
	actions := Plan([]TargetState{
		{Target: target("draining"), Desired: desired, Observed: true, Draining: true, Inventory: Inventory{Role: RoleServe}},
		{Target: target("unobserved"), Desired: desired},
		{Target: target("good"), Desired: desired, Observed: true, Inventory: Inventory{Role: RoleServe}},
	}, never)
	is.Equal(actions, []Action{{Target: "good", Kind: CommandLoad, Weights: desired[0]}})
}

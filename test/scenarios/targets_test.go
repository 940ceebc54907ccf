package scenarios

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/vmlist"
)

// platformCommand: platform start [prefer=latency|cost] | outage [for=D] | hang [for=D] |
// lose-answer [count=N] [match=PATH] | remember | stale | gone | heal | kill | return.
func platformCommand(_ context.Context, w *world, a arguments) error {
	if a.verb == "start" {
		return w.start(v1.RecoveryPreference(a.text("prefer", string(v1.PreferLatency))))
	}
	if err := w.started(); err != nil {
		return err
	}
	f, err := faultOf(a)
	if err != nil {
		return err
	}
	switch a.verb {
	case "outage":
		f.Kind = fault.Outage
	case "hang":
		f.Kind = fault.Hang
	case "lose-answer":
		f.Kind = fault.LostWriteResponse
	case "remember":
		f.Kind = fault.RememberState
	case "stale":
		f.Kind = fault.StaleReads
	case "gone":
		f.Kind = fault.RevisionTooOld
	case "heal":
		w.cluster.Platform.Faults().Clear()
		return nil
	case "kill":
		w.cluster.PlatformServer.Kill(0)
		return nil
	case "return":
		return w.cluster.PlatformServer.Start()
	default:
		return fmt.Errorf("%w: platform %s", errUsage, a.verb)
	}
	w.cluster.Platform.Apply(f)
	return nil
}

// faultOf reads the parameters of a fault.
func faultOf(a arguments) (fault.Fault, error) {
	f := fault.Fault{Kind: fault.Kind(a.text("kind", "")), Match: a.text("match", "")}
	var err error
	if f.After, err = a.number("after", 0); err != nil {
		return f, err
	}
	if f.Count, err = a.number("count", 0); err != nil {
		return f, err
	}
	length, err := a.duration("for", 0)
	if err != nil {
		return f, err
	}
	delay, err := a.duration("delay", 0)
	f.Duration, f.Delay = v1.Duration(length), v1.Duration(delay)
	return f, err
}

// engineCommand: engine start NAME [zone=Z] [interval=D] [tokens=N] [hold=N] | kill | return | pause |
// continue | release | leave | fault kind=K … NAME | no-new-work NAME [after=D] | expect …; NAME may be "serving".
func engineCommand(ctx context.Context, w *world, a arguments) error {
	if a.verb == "start" {
		return startEngine(w, a)
	}
	if a.verb == "expect" {
		return engineExpect(ctx, w, a)
	}
	name, err := a.only()
	if err != nil {
		return err
	}
	t, err := w.target(name)
	if err != nil {
		return err
	}
	if a.verb == "no-new-work" {
		bound, err := a.duration("after", leavingBound)
		if err != nil {
			return err
		}
		return getsNoNewWork(ctx, w, t, bound)
	}
	return actOnTarget(t, a)
}

// leavingBound is when a leaving target must have stopped to get new work.
const leavingBound = 2 * time.Second

func startEngine(w *world, a arguments) error {
	if err := w.started(); err != nil {
		return err
	}
	d := w.generation
	var err error
	if d.Engine.TokenInterval, err = a.duration("interval", d.Engine.TokenInterval); err != nil {
		return err
	}
	if d.Engine.FixedLength, err = a.number("tokens", d.Engine.FixedLength); err != nil {
		return err
	}
	if d.Engine.HoldAt, err = a.number("hold", d.Engine.HoldAt); err != nil {
		return err
	}
	for _, name := range a.names {
		if _, err := w.cluster.AddTarget(d, name, a.text("zone", "a")); err != nil {
			return err
		}
	}
	return w.redeclare()
}

func actOnTarget(t *cluster.Target, a arguments) error {
	switch a.verb {
	case "kill":
		t.Kill()
	case "return":
		return t.Restart()
	case "pause":
		t.Pause()
	case "continue":
		t.Continue()
	case "release":
		if t.Engine() == nil {
			return fmt.Errorf("%w: %s is no engine", errUsage, t.Name)
		}
		t.Engine().Release()
	case "leave":
		ahead, err := a.duration("in", time.Minute)
		if err != nil {
			return err
		}
		t.Apply(fault.Fault{Kind: fault.Drain, Delay: v1.Duration(ahead)})
	case "fault":
		f, err := faultOf(a)
		if err != nil || !fault.IsKnown(f.Kind) {
			return fmt.Errorf("%w: fault %q: %v", errUsage, f.Kind, err)
		}
		t.Apply(f)
	default:
		return fmt.Errorf("%w: unknown verb %s", errUsage, a.verb)
	}
	return nil
}

// engineExpect: engine expect [streams=N] [decoded=N] [running=N]: the sums over all engines.
func engineExpect(ctx context.Context, w *world, a arguments) error {
	return eventually(ctx, func() error {
		stats := w.cluster.EngineStats()
		for name, seen := range map[string]int64{
			"streams": stats.Streams,
			"decoded": stats.DecodeTokens,
			"kills":   stats.Kills,
			"cancels": stats.Cancels,
		} {
			want, err := a.number(name, int(seen))
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if int64(want) != seen {
				return fmt.Errorf("%s is %d, want %d", name, seen, want)
			}
		}
		return nil
	})
}

// serviceCommand: service start NAME [zone=Z] [latency=D] [deduplicates=true] | kill | return |
// pause | continue | fault … NAME | expect CALL runs=N | await CALL runs=N.
func serviceCommand(ctx context.Context, w *world, a arguments) error {
	if a.verb == "start" {
		return startService(w, a)
	}
	name, err := a.only()
	if err != nil {
		return err
	}
	switch a.verb {
	case "expect":
		return serviceExpect(w, a, name)
	case "await":
		return eventually(ctx, func() error { return serviceExpect(w, a, name) })
	}
	t, err := w.target(name)
	if err != nil {
		return err
	}
	return actOnTarget(t, a)
}

func startService(w *world, a arguments) error {
	if err := w.started(); err != nil {
		return err
	}
	d := w.service
	var err error
	if d.Service.Latency, err = a.duration("latency", 0); err != nil {
		return err
	}
	d.Service.Deduplicate = a.text("deduplicates", "") == "true"
	for _, name := range a.names {
		if _, err := w.cluster.AddTarget(d, name, a.text("zone", "a")); err != nil {
			return err
		}
	}
	return w.redeclare()
}

// serviceExpect compares how often a call's key was executed.
func serviceExpect(w *world, a arguments, name string) error {
	least, err := a.number("least", 0)
	if err != nil {
		return err
	}
	most, err := a.number("most", least)
	if err != nil {
		return err
	}
	if runs, given := a.values["runs"]; given {
		if _, err := fmt.Sscan(runs, &least); err != nil {
			return err
		}
		most = least
	}
	record := w.calls[name]
	if record == nil {
		return fmt.Errorf("%w: no call %q", errUsage, name)
	}
	seen := w.cluster.Executions(record.targetKey(w))
	if seen < least || seen > most {
		return fmt.Errorf("call %s ran %d times, want %d to %d", name, seen, least, most)
	}
	return nil
}

// vmCommand: vm leave TARGET | gone TARGET: what the VM list says.
func vmCommand(_ context.Context, w *world, a arguments) error {
	name, err := a.only()
	if err != nil {
		return err
	}
	t, err := w.target(name)
	if err != nil {
		return err
	}
	states := map[string]vmlist.State{"leave": vmlist.Leaving, "gone": vmlist.Gone, "live": vmlist.Live}
	state, known := states[a.verb]
	if !known {
		return fmt.Errorf("%w: vm %s", errUsage, a.verb)
	}
	w.cluster.VMList.Set(vmlist.VM{
		Address:          t.Address(),
		AvailabilityZone: t.Zone,
		State:            state,
		LeaveAtMs:        time.Minute.Milliseconds(),
	})
	return nil
}

// linkCommand: link cut|heal|reset TARGET or ENTRY; an entry's link is the one to the platform.
func linkCommand(_ context.Context, w *world, a arguments) error {
	name, err := a.only()
	if err != nil {
		return err
	}
	link, err := w.link(name)
	if err != nil {
		return err
	}
	switch a.verb {
	case "cut":
		link.Cut()
	case "heal":
		link.Heal()
	case "reset":
		link.Reset()
	default:
		return fmt.Errorf("%w: link %s", errUsage, a.verb)
	}
	return nil
}

func (w *world) link(name string) (*cluster.Forwarder, error) {
	if err := w.started(); err != nil {
		return nil, err
	}
	if e := w.cluster.Entry(name); e != nil {
		return e.PlatformLink, nil
	}
	t, err := w.target(name)
	if err != nil {
		return nil, err
	}
	return t.Link, nil
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// Theme is what a phase of a run disturbs.
type Theme string

// Themes. Planned work alone comes in a phase of its own, since some promises hold only there.
const (
	Planned    Theme = "planned"
	Entries    Theme = "entries"
	Targets    Theme = "targets"
	Links      Theme = "links"
	Store      Theme = "store"
	Everything Theme = "everything"
)

// Shape of a schedule.
const (
	phaseLength = 5 * time.Second
	// phasePause lets promises hold that need calm before.
	phasePause     = 4 * time.Second
	meanPause      = 450 * time.Millisecond
	leastFault     = 200 * time.Millisecond
	faultRange     = 2500 * time.Millisecond
	seriesShare    = 0.25
	seriesPause    = 350 * time.Millisecond
	slowBy         = 150 * time.Millisecond
	linkDelay      = 80 * time.Millisecond
	fewRequestsHit = 6
	faultDrain     = "drain"
	faultReload    = "reload"
)

// Step is one planned fault.
type Step struct {
	At   time.Duration
	Kind string
	// Index chooses what is hit, Way a variant.
	Index, Way int
	For        time.Duration
}

// kinds are the faults of each theme.
var kinds = map[Theme][]string{
	Planned: {"stop entry", "stop entry", "reload", "configure", "drain target"},
	Entries: {"kill entry", "kill entry", "pause entry", "kill entries", "stop entry"},
	Targets: {"kill target", "kill target", "pause target", "target fault", "target fault", "drain target"},
	Links:   {"cut callers", "cut store", "cut target", "reset callers", "reset target", "reset store", "delay callers", "delay target"},
	Store:   {"store fault", "store fault", "pause store", "configure", "drain target"},
}

func init() {
	for _, theme := range []Theme{Planned, Entries, Targets, Links, Store} {
		kinds[Everything] = append(kinds[Everything], kinds[theme]...)
	}
}

var themes = []Theme{Planned, Entries, Targets, Links, Store, Everything}

// DrawThemes draws the themes of a run's phases, all different as far as there are enough.
func DrawThemes(seed int64, phases int) []Theme {
	random := rand.New(rand.NewPCG(uint64(seed), 6))
	order := random.Perm(len(themes))
	drawn := make([]Theme, phases)
	for i := range drawn {
		drawn[i] = themes[order[i%len(order)]]
	}
	return drawn
}

// Schedule draws the steps of a run with a phase for each theme; it is a function of its arguments alone.
func Schedule(seed int64, phases []Theme) []Step {
	random := rand.New(rand.NewPCG(uint64(seed), 7))
	var steps []Step
	at := phasePause
	for _, theme := range phases {
		end := at + phaseLength
		for ; at < end; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
			step := Step{
				At: at, Kind: kinds[theme][random.IntN(len(kinds[theme]))], Index: random.IntN(1 << 16), Way: random.IntN(1 << 16),
				For: leastFault + time.Duration(random.Int64N(int64(faultRange))),
			}
			steps = append(steps, step)
			if random.Float64() < seriesShare {
				step.At += seriesPause
				steps = append(steps, step)
			}
		}
		at = end + phasePause
	}
	return steps
}

// play carries the steps out, and returns when all faults are over and every process runs again.
func (w *world) play(ctx context.Context, steps []Step) {
	started := time.Now()
	var faults sync.WaitGroup
	for _, step := range steps {
		if wait.For(ctx, time.Until(started.Add(step.At))) != nil {
			break
		}
		faults.Go(func() { w.carryOut(ctx, step) })
	}
	faults.Wait()
}

// disturb notes a fault while act runs.
func (w *world) disturb(subject, kind string, planned bool, act func()) {
	from := time.Now()
	w.options.Say("%s: %s", subject, kind)
	act()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbances = append(w.disturbances, Disturbance{Subject: subject, Fault: kind, Planned: planned, From: from, To: time.Now()})
}

func (w *world) carryOut(ctx context.Context, step Step) {
	e := w.entries[step.Index%len(w.entries)]
	t := w.targets[step.Index%len(w.targets)]
	length := func() { _ = wait.For(ctx, step.For) }
	switch step.Kind {
	case "stop entry":
		w.stopEntry(ctx, e)
	case "reload":
		w.disturb(e.name, faultReload, true, func() { _ = e.signal(syscall.SIGHUP) })
	case "configure":
		if err := w.configure(ctx, fmt.Sprintf("key-%d-%d", step.At.Milliseconds(), step.Way)); err != nil {
			w.options.Say("configure: %v", err)
		}
	case "drain target":
		w.drainTarget(ctx, t)
	case "kill entry":
		w.killEntry(e, length)
	case "kill entries":
		var all sync.WaitGroup
		for _, each := range w.entries {
			all.Go(func() { w.killEntry(each, length) })
		}
		all.Wait()
	case "pause entry":
		pause(w, &e.program, &e.busy, length)
	case "kill target":
		w.killTarget(t, length)
	case "pause target":
		pause(w, &t.program, &t.busy, length)
	case "target fault":
		w.disturbTarget(ctx, t, step, length)
	case "store fault":
		w.disturbStore(ctx, step, length)
	case "pause store":
		w.disturb(subjectStore, step.Kind, false, func() {
			_ = w.store.signal(syscall.SIGSTOP)
			length()
			_ = w.store.signal(syscall.SIGCONT)
		})
	default:
		w.disturbLink(step, e, t, length)
	}
}

// stopEntry ends an entry as the platform does, and starts it again.
func (w *world) stopEntry(ctx context.Context, e *entry) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	w.disturb(e.name, "stop", true, func() {
		_ = e.signal(syscall.SIGTERM)
		grace, cancel := context.WithTimeout(ctx, stopGrace)
		defer cancel()
		if e.ended(grace) != nil {
			e.kill()
		}
		w.restart(&e.program)
	})
}

func (w *world) restart(p *program) {
	if err := p.start(); err != nil {
		w.options.Say("%s does not start: %v", p.name, err)
	}
}

func (w *world) killEntry(e *entry, length func()) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	w.disturb(e.name, "kill", false, func() {
		e.kill()
		length()
		w.restart(&e.program)
	})
}

func (w *world) killTarget(t *backEnd, length func()) {
	if !t.busy.TryLock() {
		return
	}
	defer t.busy.Unlock()
	w.disturb(t.name, "kill", false, func() {
		t.kill()
		length()
		w.restart(&t.program)
	})
}

// drainTarget has a target leave, and starts its successor at the same address.
func (w *world) drainTarget(ctx context.Context, t *backEnd) {
	if !t.busy.TryLock() {
		return
	}
	defer t.busy.Unlock()
	w.disturb(t.name, faultDrain, true, func() {
		_ = t.signal(syscall.SIGTERM)
		_ = t.ended(ctx)
		w.restart(&t.program)
	})
}

func pause(w *world, p *program, busy *sync.Mutex, length func()) {
	if !busy.TryLock() {
		return
	}
	defer busy.Unlock()
	w.disturb(p.name, "pause", false, func() {
		_ = p.signal(syscall.SIGSTOP)
		length()
		_ = p.signal(syscall.SIGCONT)
	})
}

func (w *world) disturbTarget(ctx context.Context, t *backEnd, step Step, length func()) {
	faults := []fault.Fault{
		{Kind: fault.Overload, Count: fewRequestsHit},
		{Kind: fault.ResetBefore, Count: fewRequestsHit},
		{Kind: fault.ResetAfter, Count: fewRequestsHit},
		{Kind: fault.Reset, Count: fewRequestsHit, After: step.Way % streamEvents},
		{Kind: fault.Close, Count: fewRequestsHit, After: step.Way % streamEvents},
		{Kind: fault.Slow, Delay: v1.Duration(slowBy)},
	}
	chosen := faults[step.Way%len(faults)]
	chosen.For = v1.Duration(step.For)
	w.disturb(t.name, string(chosen.Kind), false, func() {
		if err := switchFault(ctx, "http://"+t.listen, chosen); err != nil {
			return // the target is down
		}
		length()
	})
}

func (w *world) disturbStore(ctx context.Context, step Step, length func()) {
	faults := []fault.Fault{
		{Kind: fault.Outage}, {Kind: fault.Hang}, {Kind: fault.Slow, Delay: v1.Duration(slowBy)},
		{Kind: fault.LostAnswer, Count: fewRequestsHit}, {Kind: fault.Gone},
	}
	chosen := faults[step.Way%len(faults)]
	chosen.For = v1.Duration(step.For)
	w.disturb(subjectStore, string(chosen.Kind), false, func() {
		if err := switchFault(ctx, w.options.store, chosen); err != nil {
			return // the store is paused
		}
		length()
	})
}

// disturbLink cuts, resets or delays one of the links.
func (w *world) disturbLink(step Step, e *entry, t *backEnd, length func()) {
	links := map[string]struct {
		link    *cluster.Forwarder
		subject string
	}{
		"callers": {e.callers, e.name}, "store": {e.toStore, e.name}, "target": {t.link, t.name},
	}
	var verb, where string
	_, _ = fmt.Sscan(step.Kind, &verb, &where)
	chosen := links[where]
	w.disturb(chosen.subject, step.Kind, false, func() {
		switch verb {
		case "reset":
			chosen.link.Reset()
		case "delay":
			chosen.link.SetDelay(linkDelay)
			length()
			chosen.link.SetDelay(0)
		default:
			cut(chosen.link, step.Way)
			length()
			chosen.link.Heal()
		}
	})
}

// cut silences a link one way or both.
func cut(link *cluster.Forwarder, way int) {
	switch way % 3 {
	case 0:
		link.CutOneWay(cluster.ToTarget)
	case 1:
		link.CutOneWay(cluster.FromTarget)
	default:
		link.Cut()
	}
}

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

// Shape of a schedule: faults overlap, since most last longer than the pause between two.
const (
	phaseLength = 5 * time.Second
	// phasePause is longer than stableWindow, so that promises which need calm before hold in a phase of
	// planned work.
	phasePause = 4 * time.Second
	meanPause  = 450 * time.Millisecond
	leastFault = 200 * time.Millisecond
	faultRange = 2500 * time.Millisecond
	// seriesShare is the part of the faults that come twice, seriesPause apart.
	seriesShare = 0.25
	seriesPause = 350 * time.Millisecond
	// slowBy is what a slow target or store adds; linkDelay what a slow link adds one way.
	slowBy    = 150 * time.Millisecond
	linkDelay = 80 * time.Millisecond
	// fewRequestsHit bounds the requests that one fault of a target or the store hits.
	fewRequestsHit = 6
)

// Kind names a fault of a schedule.
type Kind string

// Kinds of faults.
const (
	StopEntry    Kind = "stop entry"
	Reload       Kind = "reload"
	Configure    Kind = "configure"
	DrainTarget  Kind = "drain target"
	KillEntry    Kind = "kill entry"
	KillEntries  Kind = "kill entries"
	PauseEntry   Kind = "pause entry"
	KillTarget   Kind = "kill target"
	PauseTarget  Kind = "pause target"
	TargetFault  Kind = "target fault"
	StoreFault   Kind = "store fault"
	PauseStore   Kind = "pause store"
	CutCallers   Kind = "cut callers"
	CutStore     Kind = "cut store"
	CutTarget    Kind = "cut target"
	ResetCallers Kind = "reset callers"
	ResetTarget  Kind = "reset target"
	ResetStore   Kind = "reset store"
	DelayCallers Kind = "delay callers"
	DelayTarget  Kind = "delay target"
)

// Step is one planned fault.
type Step struct {
	At   time.Duration
	Kind Kind
	// Index chooses what is hit, Way a variant.
	Index, Way int
	For        time.Duration
}

// kinds are the faults of each theme.
var kinds = map[Theme][]Kind{
	Planned: {StopEntry, StopEntry, Reload, Configure, DrainTarget},
	Entries: {KillEntry, KillEntry, PauseEntry, KillEntries, StopEntry},
	Targets: {KillTarget, KillTarget, PauseTarget, TargetFault, TargetFault, DrainTarget},
	Links:   {CutCallers, CutStore, CutTarget, ResetCallers, ResetTarget, ResetStore, DelayCallers, DelayTarget},
	Store:   {StoreFault, StoreFault, PauseStore, Configure, DrainTarget},
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
func (w *world) disturb(subject string, kind Kind, planned bool, act func()) {
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
	case StopEntry:
		w.stopEntry(ctx, e)
	case Reload:
		w.disturb(e.name, Reload, true, func() { _ = e.signal(syscall.SIGHUP) })
	case Configure:
		if err := w.configure(ctx, fmt.Sprintf("key-%d-%d", step.At.Milliseconds(), step.Way)); err != nil {
			w.options.Say("configure: %v", err)
		}
	case DrainTarget:
		w.drainTarget(ctx, t)
	case KillEntry:
		w.killEntry(e, length)
	case KillEntries:
		var all sync.WaitGroup
		for _, each := range w.entries {
			all.Go(func() { w.killEntry(each, length) })
		}
		all.Wait()
	case PauseEntry:
		pause(w, step.Kind, &e.program, &e.busy, length)
	case KillTarget:
		w.killTarget(t, length)
	case PauseTarget:
		pause(w, step.Kind, &t.program, &t.busy, length)
	case TargetFault:
		w.disturbTarget(ctx, t, step, length)
	case StoreFault:
		w.disturbStore(ctx, step, length)
	case PauseStore:
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
	w.disturb(e.name, StopEntry, true, func() {
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
	w.disturb(e.name, KillEntry, false, func() {
		e.kill()
		length()
		w.restart(&e.program)
	})
}

func (w *world) killTarget(t *soakTarget, length func()) {
	if !t.busy.TryLock() {
		return
	}
	defer t.busy.Unlock()
	w.disturb(t.name, KillTarget, false, func() {
		t.kill()
		length()
		w.restart(&t.program)
	})
}

// drainTarget has a target leave, and starts its successor at the same address.
func (w *world) drainTarget(ctx context.Context, t *soakTarget) {
	if !t.busy.TryLock() {
		return
	}
	defer t.busy.Unlock()
	w.disturb(t.name, DrainTarget, true, func() {
		_ = t.signal(syscall.SIGTERM)
		_ = t.ended(ctx)
		w.restart(&t.program)
	})
}

func pause(w *world, kind Kind, p *program, busy *sync.Mutex, length func()) {
	if !busy.TryLock() {
		return
	}
	defer busy.Unlock()
	w.disturb(p.name, kind, false, func() {
		_ = p.signal(syscall.SIGSTOP)
		length()
		_ = p.signal(syscall.SIGCONT)
	})
}

func (w *world) disturbTarget(ctx context.Context, t *soakTarget, step Step, length func()) {
	faults := []fault.Fault{
		{Kind: fault.Overload, Count: fewRequestsHit},
		{Kind: fault.ResetBefore, Count: fewRequestsHit},
		{Kind: fault.ResetAfter, Count: fewRequestsHit},
		{Kind: fault.ResetStream, Count: fewRequestsHit, After: step.Way % streamEvents},
		{Kind: fault.CloseStream, Count: fewRequestsHit, After: step.Way % streamEvents},
		{Kind: fault.Slow, Delay: v1.Duration(slowBy)},
	}
	chosen := faults[step.Way%len(faults)]
	chosen.Duration = v1.Duration(step.For)
	w.disturb(t.name, Kind(chosen.Kind), false, func() {
		if err := switchFault(ctx, "http://"+t.listen, chosen); err != nil {
			return // the target is down
		}
		length()
	})
}

func (w *world) disturbStore(ctx context.Context, step Step, length func()) {
	faults := []fault.Fault{
		{Kind: fault.Outage}, {Kind: fault.Hang}, {Kind: fault.Slow, Delay: v1.Duration(slowBy)},
		{Kind: fault.LostWriteResponse, Count: fewRequestsHit}, {Kind: fault.RevisionTooOld},
	}
	chosen := faults[step.Way%len(faults)]
	chosen.Duration = v1.Duration(step.For)
	w.disturb(subjectStore, Kind(chosen.Kind), false, func() {
		if err := switchFault(ctx, w.options.store, chosen); err != nil {
			return // the store is paused
		}
		length()
	})
}

// disturbLink cuts, resets or delays one of the links.
func (w *world) disturbLink(step Step, e *entry, t *soakTarget, length func()) {
	link, subject := t.link, t.name
	switch step.Kind {
	case CutCallers, ResetCallers, DelayCallers:
		link, subject = e.callers, e.name
	case CutStore, ResetStore:
		link, subject = e.toStore, e.name
	}
	w.disturb(subject, step.Kind, false, func() {
		switch step.Kind {
		case ResetCallers, ResetTarget, ResetStore:
			link.Reset()
		case DelayCallers, DelayTarget:
			link.SetDelay(linkDelay)
			length()
			link.SetDelay(0)
		default:
			cut(link, step.Way)
			length()
			link.Heal()
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

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

// Theme is the kind of disturbance in a phase of a run.
type Theme string

// Themes. Planned work has a phase without other faults, since some guarantees hold only there.
const (
	Planned    Theme = "planned"
	Entries    Theme = "entries"
	Targets    Theme = "targets"
	Links      Theme = "links"
	Store      Theme = "store"
	Verdicts   Theme = "verdicts"
	Partitions Theme = "partitions"
	Losses     Theme = "losses"
	Everything Theme = "everything"
	Crowds     Theme = "crowds"
	Rollouts   Theme = "rollouts"
)

// Settings of a schedule. Faults overlap, since most last longer than the pause between two.
const (
	phaseLength = 5 * time.Second
	// phasePause is longer than stableWindow, so that guarantees which need a time without unplanned faults
	// apply in a phase of planned work.
	phasePause         = 4 * time.Second
	meanPause          = 450 * time.Millisecond
	minFaultDuration   = 200 * time.Millisecond
	faultDurationRange = 2500 * time.Millisecond
	// seriesShare is the share of faults that are injected twice, seriesPause apart.
	seriesShare = 0.25
	seriesPause = 350 * time.Millisecond
	// slowDelay is the added latency of a slow target or store; linkDelay that of a slow link, in each direction.
	slowDelay = 150 * time.Millisecond
	linkDelay = 80 * time.Millisecond
	// largeConfigurationEvery: one in so many changes of the configuration makes it large.
	largeConfigurationEvery = 3
	// maxRequestsHit limits the requests that one fault of a target or the store affects.
	maxRequestsHit = 6
)

// Kind names a fault of a schedule.
type Kind string

// Kinds of faults.
const (
	StopEntry       Kind = "stop entry"
	Reload          Kind = "reload"
	Configure       Kind = "configure"
	DrainTarget     Kind = "drain target"
	KillEntry       Kind = "kill entry"
	KillEntries     Kind = "kill entries"
	PauseEntry      Kind = "pause entry"
	KillTarget      Kind = "kill target"
	PauseTarget     Kind = "pause target"
	TargetFault     Kind = "target fault"
	StoreFault      Kind = "store fault"
	PauseStore      Kind = "pause store"
	CutCallers      Kind = "cut callers"
	CutStore        Kind = "cut store"
	CutTarget       Kind = "cut target"
	ResetCallers    Kind = "reset callers"
	ResetTarget     Kind = "reset target"
	ResetStore      Kind = "reset store"
	DelayCallers    Kind = "delay callers"
	DelayTarget     Kind = "delay target"
	BadRequests     Kind = "requests with a part that crashes engines"
	BadCalls        Kind = "calls that crash targets"
	LimitTarget     Kind = "limit target"
	AskPause        Kind = "ask for a pause"
	CutLinks        Kind = "cut an entry's links to targets"
	LoseEntries     Kind = "lose all entries beside releases"
	CutBodies       Kind = "bodies cut short"
	ManyFields      Kind = "heads of many short fields"
	UnreadPipelines Kind = "pipelined requests, nothing read"
	SlowReaders     Kind = "slow readers"
	Rollout         Kind = "rollout"
	// StopVersion is no step: it is the stop of the old version's targets after a rollout.
	StopVersion Kind = "stop old version"
	// Crash is no step: it is the crash of a target by a request.
	Crash Kind = "crash"
)

// Step is one scheduled fault.
type Step struct {
	At   time.Duration
	Kind Kind
	// Index selects the process or link that is affected, Variant the variant of the fault.
	Index, Variant int
	// Duration is the duration of the fault.
	Duration time.Duration
}

// kinds are the faults of each theme.
var kinds = map[Theme][]Kind{
	Planned: {StopEntry, StopEntry, Reload, Configure, DrainTarget},
	Entries: {KillEntry, KillEntry, PauseEntry, KillEntries, StopEntry},
	Targets: {KillTarget, KillTarget, PauseTarget, TargetFault, TargetFault, DrainTarget},
	Links:   {CutCallers, CutStore, CutTarget, ResetCallers, ResetTarget, ResetStore, DelayCallers, DelayTarget},
	// Verdicts have a phase of their own, in which the entries stay in touch.
	Verdicts: {BadRequests, BadCalls, LimitTarget, LimitTarget, AskPause, AskPause, Reload},
	// Partitions cut most entries off from the targets, beside entries that restart.
	Partitions: {CutLinks, CutLinks, CutLinks, StopEntry, BadCalls},
	// Losses have releases and faults of the store beside them.
	Losses: {LoseEntries, LoseEntries, DrainTarget, StoreFault, PauseStore},
	Store:  {StoreFault, StoreFault, PauseStore, Configure, DrainTarget},
	// Crowds misbehave one at a time at each entry, which is neither stopped nor paused meanwhile.
	Crowds: {CutBodies, ManyFields, ManyFields, UnreadPipelines, SlowReaders},
	// Rollouts hold one rollout, beside entries that restart: the coordinator may be one of them.
	Rollouts: {Rollout, Rollout, Rollout, StopEntry},
}

func init() {
	for _, theme := range []Theme{Planned, Entries, Targets, Links, Store, Verdicts, Partitions, Losses} {
		kinds[Everything] = append(kinds[Everything], kinds[theme]...)
	}
}

var themes = []Theme{Planned, Entries, Targets, Links, Store, Everything, Verdicts, Partitions, Losses}

// lastThemes are the themes of last phases. They are drawn apart from the others, so that each seed keeps the phases that it had
// before there were any.
var lastThemes = []Theme{Crowds, Rollouts}

// DrawThemes draws the themes of a run's phases at random, and that of a last phase. A theme repeats only after all were used.
func DrawThemes(seed int64, phases int) []Theme {
	random := rand.New(rand.NewPCG(uint64(seed), 6))
	order := random.Perm(len(themes))
	drawn := make([]Theme, phases)
	for i := range drawn {
		drawn[i] = themes[order[i%len(order)]]
	}
	last := rand.New(rand.NewPCG(uint64(seed), 8))
	return append(drawn, lastThemes[last.IntN(len(lastThemes))])
}

// Schedule draws the steps of a run with a phase for each theme. The result depends only on the arguments.
func Schedule(seed int64, phases []Theme) []Step {
	random := rand.New(rand.NewPCG(uint64(seed), 7))
	var steps []Step
	at := phasePause
	for _, theme := range phases {
		end := at + phaseLength
		for ; at < end; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
			step := Step{
				At: at, Kind: kinds[theme][random.IntN(len(kinds[theme]))], Index: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
				Duration: minFaultDuration + time.Duration(random.Int64N(int64(faultDurationRange))),
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

// injectFaults injects the faults of the steps. It returns when all of them have ended and every process runs
// again.
func (d *deployment) injectFaults(ctx context.Context, c *callers, steps []Step) {
	started := time.Now()
	var faults sync.WaitGroup
	for _, step := range steps {
		if wait.For(ctx, time.Until(started.Add(step.At))) != nil {
			break
		}
		faults.Go(func() { d.inject(ctx, c, step) })
	}
	faults.Wait()
}

// disturb runs act, which injects a fault, and records the period as a disturbance.
func (d *deployment) disturb(subject string, kind Kind, planned bool, act func()) {
	from := time.Now()
	d.options.Logf("%s: %s", subject, kind)
	act()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances = append(d.disturbances, Disturbance{Subject: subject, Fault: kind, Planned: planned, From: from, To: time.Now()})
}

// inject injects the fault of one step and returns when it has ended.
func (d *deployment) inject(ctx context.Context, c *callers, step Step) {
	e := d.entries[step.Index%len(d.entries)]
	t := d.targets[step.Index%len(d.targets)]
	waitForEnd := func() { _ = wait.For(ctx, step.Duration) }
	switch step.Kind {
	case StopEntry:
		d.stopEntry(ctx, e)
	case Reload:
		d.disturb(e.name, Reload, true, func() { _ = e.signal(syscall.SIGHUP) })
	case Configure:
		unused := 0
		if step.Variant%largeConfigurationEvery == 0 {
			unused = largeRoutes
		}
		if err := d.configure(ctx, fmt.Sprintf("key-%d-%d", step.At.Milliseconds(), step.Variant), unused); err != nil {
			d.options.Logf("configure: %v", err)
		}
	case DrainTarget:
		d.drainTarget(ctx, t)
	case BadRequests:
		d.sendBadRequests(ctx, c, step)
	case BadCalls:
		d.sendBadCalls(ctx, c, step)
	case LimitTarget:
		d.limitTarget(ctx, step)
	case AskPause:
		d.askPause(ctx, d.targets[step.Index%len(d.targets)])
	case CutLinks:
		d.cutLinks(ctx, e, step)
	case CutBodies, ManyFields, UnreadPipelines, SlowReaders:
		d.sendCrowd(ctx, c, e, step)
	case Rollout:
		d.rollOut(ctx, c, step)
	case LoseEntries:
		d.loseEntries(ctx, c, step)
	case KillEntry:
		d.killEntry(e, waitForEnd)
	case KillEntries:
		var all sync.WaitGroup
		for _, each := range d.entries {
			all.Go(func() { d.killEntry(each, waitForEnd) })
		}
		all.Wait()
	case PauseEntry:
		pause(d, step.Kind, &e.program, &e.busy, waitForEnd)
	case KillTarget:
		d.killTarget(t, waitForEnd)
	case PauseTarget:
		pause(d, step.Kind, &t.program, &t.busy, waitForEnd)
	case TargetFault:
		d.disturbTarget(ctx, t, step, waitForEnd)
	case StoreFault:
		d.disturbStore(ctx, step, waitForEnd)
	case PauseStore:
		d.pauseStore(waitForEnd)
	default:
		d.disturbLink(step, e, t, waitForEnd)
	}
}

func (d *deployment) pauseStore(waitForEnd func()) {
	d.disturb(subjectStore, PauseStore, false, func() {
		_ = d.store.signal(syscall.SIGSTOP)
		waitForEnd()
		_ = d.store.signal(syscall.SIGCONT)
	})
}

// stopEntry stops an entry as the platform does, with SIGTERM and after stopGrace SIGKILL, and starts it again.
func (d *deployment) stopEntry(ctx context.Context, e *entry) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	d.disturb(e.name, StopEntry, true, func() {
		_ = e.signal(syscall.SIGTERM)
		grace, cancel := context.WithTimeout(ctx, stopGrace)
		defer cancel()
		if e.waitExit(grace) != nil {
			e.kill()
		}
		d.restart(&e.program)
	})
}

func (d *deployment) restart(p *program) {
	if err := p.start(); err != nil {
		d.options.Logf("%s does not start: %v", p.name, err)
	}
}

func (d *deployment) killEntry(e *entry, waitForEnd func()) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	d.disturb(e.name, KillEntry, false, func() {
		e.kill()
		waitForEnd()
		d.restart(&e.program)
	})
}

func (d *deployment) killTarget(t *soakTarget, waitForEnd func()) {
	if !t.busy.TryLock() {
		return
	}
	defer t.busy.Unlock()
	d.disturb(t.name, KillTarget, false, func() {
		t.kill()
		waitForEnd()
		d.restart(&t.program)
	})
}

// drainTarget drains and stops a target, and starts its replacement, of the other version, at the same address.
func (d *deployment) drainTarget(ctx context.Context, t *soakTarget) {
	if !t.busy.TryLock() {
		return
	}
	defer t.busy.Unlock()
	d.disturb(t.name, DrainTarget, true, func() {
		_ = t.signal(syscall.SIGTERM)
		_ = t.waitExit(ctx)
		t.releases.Add(1)
		d.restart(&t.program)
	})
}

func pause(d *deployment, kind Kind, p *program, busy *sync.Mutex, waitForEnd func()) {
	if !busy.TryLock() {
		return
	}
	defer busy.Unlock()
	d.disturb(p.name, kind, false, func() {
		_ = p.signal(syscall.SIGSTOP)
		waitForEnd()
		_ = p.signal(syscall.SIGCONT)
	})
}

func (d *deployment) disturbTarget(ctx context.Context, t *soakTarget, step Step, waitForEnd func()) {
	faults := []fault.Fault{
		{Kind: fault.Overload, Count: maxRequestsHit},
		{Kind: fault.ResetBefore, Count: maxRequestsHit},
		{Kind: fault.ResetAfter, Count: maxRequestsHit},
		{Kind: fault.ResetStream, Count: maxRequestsHit, After: step.Variant % streamEvents},
		{Kind: fault.CloseStream, Count: maxRequestsHit, After: step.Variant % streamEvents},
		{Kind: fault.Slow, Delay: v1.Duration(slowDelay)},
	}
	chosen := faults[step.Variant%len(faults)]
	chosen.Duration = v1.Duration(step.Duration)
	d.disturb(t.name, Kind(chosen.Kind), false, func() {
		if err := activateFault(ctx, "http://"+t.listen, chosen); err != nil {
			return // the target is down
		}
		waitForEnd()
	})
}

func (d *deployment) disturbStore(ctx context.Context, step Step, waitForEnd func()) {
	faults := []fault.Fault{
		{Kind: fault.Outage}, {Kind: fault.Hang}, {Kind: fault.Slow, Delay: v1.Duration(slowDelay)},
		{Kind: fault.LostWriteResponse, Count: maxRequestsHit}, {Kind: fault.RevisionTooOld},
	}
	chosen := faults[step.Variant%len(faults)]
	chosen.Duration = v1.Duration(step.Duration)
	d.disturb(subjectStore, Kind(chosen.Kind), false, func() {
		if err := activateFault(ctx, d.options.store, chosen); err != nil {
			return // the store is paused
		}
		waitForEnd()
	})
}

// disturbLink cuts, resets or delays the traffic of one link.
func (d *deployment) disturbLink(step Step, e *entry, t *soakTarget, waitForEnd func()) {
	link, subject := t.link, t.name
	switch step.Kind {
	case CutCallers, ResetCallers, DelayCallers:
		link, subject = e.callers, e.name
	case CutStore, ResetStore:
		link, subject = e.toStore, e.name
	}
	d.disturb(subject, step.Kind, false, func() {
		switch step.Kind {
		case ResetCallers, ResetTarget, ResetStore:
			link.Reset()
		case DelayCallers, DelayTarget:
			link.SetDelay(linkDelay)
			waitForEnd()
			link.SetDelay(0)
		default:
			cut(link, step.Variant)
			waitForEnd()
			link.Heal()
		}
	})
}

// cut drops the traffic of a link in one direction or in both.
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

package cluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// FailureKind is the kind of an injected failure.
type FailureKind string

// Kinds of failures.
const (
	EngineDeath        FailureKind = "engine-death"
	EnginePause        FailureKind = "engine-pause"
	EngineSlow         FailureKind = "engine-slow"
	EngineUnreachable  FailureKind = "engine-unreachable"
	StreamsReset       FailureKind = "streams-reset"
	StreamsClosed      FailureKind = "streams-closed"
	TokensLate         FailureKind = "tokens-late"
	TokensCrossed      FailureKind = "tokens-crossed"
	TokensDuplicated   FailureKind = "tokens-duplicated"
	TokensSkipped      FailureKind = "tokens-skipped"
	ServiceDeath       FailureKind = "service-death"
	ServiceResetBefore FailureKind = "service-reset-before"
	ServiceResetAfter  FailureKind = "service-reset-after"
	ServicePause       FailureKind = "service-pause"
	PlatformOutage     FailureKind = "platform-outage"
	PlatformHang       FailureKind = "platform-hang"
	PlatformSlow       FailureKind = "platform-slow"
	PlatformStale      FailureKind = "platform-stale"
	PlatformLostAnswer FailureKind = "platform-lost-answer"
	EntryCutOff        FailureKind = "entry-cut-off"
	VMListOutage       FailureKind = "vmlist-outage"
	EntryDeath         FailureKind = "entry-death"
	EntryPause         FailureKind = "entry-pause"
)

// Failure is one scheduled failure. It starts At after the start of the schedule and is undone after
// For.
type Failure struct {
	At   time.Duration `json:"at"`
	Kind FailureKind   `json:"kind"`
	// Subject is the name of the affected target or entry; empty for the platform and the VM list.
	Subject  string        `json:"subject,omitempty"`
	Duration time.Duration `json:"for"`
}

// Inventory names the targets and entries that a schedule may affect.
type Inventory struct {
	Engines  []string
	Services []string
	Entries  []string
	// EntryProcesses reports whether the entries are processes, which can be killed and stopped.
	EntryProcesses bool
}

// Inventory returns the names of the cluster's targets and entries.
func (c *Cluster) Inventory() Inventory {
	inventory := Inventory{EntryProcesses: c.options.Processes}
	for _, t := range c.Targets {
		if t.engine != nil {
			inventory.Engines = append(inventory.Engines, t.Name)
		} else {
			inventory.Services = append(inventory.Services, t.Name)
		}
	}
	for _, e := range c.Entries {
		inventory.Entries = append(inventory.Entries, e.Name)
	}
	return inventory
}

// choice is a kind of failure with the subjects that it may affect.
type choice struct {
	kind     FailureKind
	subjects []string
}

func (i Inventory) choices() []choice {
	platform := []string{""}
	list := []choice{
		// Listed four times, so that engine deaths are more frequent than any other failure.
		{EngineDeath, i.Engines}, {EngineDeath, i.Engines}, {EngineDeath, i.Engines}, {EngineDeath, i.Engines}, {EnginePause, i.Engines}, {EngineSlow, i.Engines}, {EngineUnreachable, i.Engines},
		{StreamsReset, i.Engines}, {StreamsClosed, i.Engines}, {TokensLate, i.Engines}, {TokensCrossed, i.Engines},
		{TokensDuplicated, i.Engines}, {TokensSkipped, i.Engines},
		{ServiceDeath, i.Services}, {ServiceResetBefore, i.Services}, {ServiceResetAfter, i.Services}, {ServicePause, i.Services},
		{PlatformOutage, platform}, {PlatformHang, platform}, {PlatformSlow, platform}, {PlatformStale, platform},
		{PlatformLostAnswer, platform}, {VMListOutage, platform}, {EntryCutOff, i.Entries},
	}
	if i.EntryProcesses {
		list = append(list, choice{EntryDeath, i.Entries}, choice{EntryPause, i.Entries})
	}
	return slices.DeleteFunc(list, func(c choice) bool { return len(c.subjects) == 0 })
}

// Parameters of the random schedule.
const (
	meanFailureInterval  = 500 * time.Millisecond
	minFailureDuration   = 300 * time.Millisecond
	failureDurationRange = 3 * time.Second
	// pairProbability is the probability that a second failure follows a failure within maxPairDelay.
	pairProbability = 0.4
	maxPairDelay    = 300 * time.Millisecond
)

// Schedule returns random failures, sorted by time. The same arguments give the same schedule.
func Schedule(seed int64, duration time.Duration, inventory Inventory) []Failure {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	choices := inventory.choices()
	var list []Failure
	for at := meanFailureInterval; at < duration; at += time.Duration(random.ExpFloat64() * float64(meanFailureInterval)) {
		list = append(list, drawFailure(random, choices, at))
		if random.Float64() < pairProbability {
			list = append(list, drawFailure(random, choices, at+time.Duration(random.Int64N(int64(maxPairDelay)))))
		}
	}
	slices.SortStableFunc(list, func(a, b Failure) int { return cmp.Compare(a.At, b.At) })
	return list
}

func drawFailure(random *rand.Rand, choices []choice, at time.Duration) Failure {
	chosen := choices[random.IntN(len(choices))]
	return Failure{
		At:       at,
		Kind:     chosen.kind,
		Subject:  chosen.subjects[random.IntN(len(chosen.subjects))],
		Duration: minFailureDuration + time.Duration(random.Int64N(int64(failureDurationRange))),
	}
}

// Play injects each failure at its time and undoes it after its duration. It returns when all are
// undone. It calls report for each injected failure, and again if undoing one fails. An error, such as
// that of killing a dead entry, does not stop the schedule.
func (c *Cluster) InjectFailures(ctx context.Context, failures []Failure, report func(Failure, error)) {
	started := time.Now()
	var undos sync.WaitGroup
	for _, failure := range failures {
		if wait.For(ctx, time.Until(started.Add(failure.At))) != nil {
			break
		}
		undo, err := c.inject(failure)
		report(failure, err)
		if err != nil {
			continue
		}
		undos.Go(func() {
			_ = wait.For(ctx, failure.Duration)
			if err := undo(); err != nil {
				report(failure, err)
			}
		})
	}
	undos.Wait()
}

// undoFunc ends an injected failure.
type undoFunc func() error

func noUndo() error { return nil }

// inject injects one failure and returns the function that undoes it.
func (c *Cluster) inject(f Failure) (undoFunc, error) {
	if entry := c.Entry(f.Subject); entry != nil {
		return injectAtEntry(entry, f)
	}
	if target := c.Target(f.Subject); target != nil {
		return injectAtTarget(target, f)
	}
	return c.injectAtPlatform(f)
}

func injectAtEntry(e *Entry, f Failure) (undoFunc, error) {
	switch f.Kind {
	case EntryDeath:
		return e.Start, e.Kill()
	case EntryPause:
		return e.Continue, e.Stop()
	default:
		e.PlatformLink.Cut()
		return func() error { e.PlatformLink.Heal(); return nil }, nil
	}
}

// maxOccurrences limits how many streams or calls one failure affects, for kinds that count them.
const maxOccurrences = 5

// Parameters of the injected faults.
const (
	slowFactor    = 4
	tokenDelay    = 80 * time.Millisecond
	platformDelay = 300 * time.Millisecond
)

func injectAtTarget(t *Target, f Failure) (undoFunc, error) {
	switch f.Kind {
	case EngineDeath, ServiceDeath:
		t.Kill()
		return t.Restart, nil
	case EngineUnreachable:
		if t.Link == nil {
			return noUndo, nil
		}
		t.Link.Cut()
		return func() error { t.Link.Heal(); return nil }, nil
	}
	t.Apply(targetFault(f))
	return noUndo, nil
}

// targetFault returns the stand-in's fault for a failure that the stand-in itself ends after its duration.
func targetFault(f Failure) fault.Fault {
	injected := fault.Fault{Duration: v1.Duration(f.Duration), Count: maxOccurrences}
	switch f.Kind {
	case EnginePause, ServicePause:
		injected.Kind, injected.Count = fault.Pause, 0
	case EngineSlow:
		injected.Kind, injected.Count, injected.Factor = fault.Slow, 0, slowFactor
	case StreamsReset:
		injected.Kind = fault.ResetStream
	case StreamsClosed:
		injected.Kind = fault.CloseStream
	case TokensLate:
		injected.Kind, injected.Delay = fault.DelayedToken, v1.Duration(tokenDelay)
	case TokensCrossed:
		injected.Kind = fault.ForeignToken
	case TokensDuplicated:
		injected.Kind = fault.DuplicatedToken
	case TokensSkipped:
		injected.Kind = fault.SkippedToken
	case ServiceResetBefore:
		injected.Kind = fault.ResetBefore
	case ServiceResetAfter:
		injected.Kind = fault.ResetAfter
	}
	return injected
}

func (c *Cluster) injectAtPlatform(f Failure) (undoFunc, error) {
	injected := fault.Fault{Duration: v1.Duration(f.Duration)}
	switch f.Kind {
	case PlatformOutage:
		injected.Kind = fault.Outage
	case PlatformHang:
		injected.Kind = fault.Hang
	case PlatformSlow:
		injected.Kind, injected.Delay = fault.Slow, v1.Duration(platformDelay)
	case PlatformStale:
		injected.Kind = fault.StaleReads
	case PlatformLostAnswer:
		injected.Kind, injected.Count = fault.LostWriteResponse, maxOccurrences
	case VMListOutage:
		injected.Kind = fault.Outage
		c.VMList.Apply(injected)
		return noUndo, nil
	}
	c.Platform.Apply(injected)
	return noUndo, nil
}

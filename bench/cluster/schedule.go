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

// FailureKind names one failure of a schedule.
type FailureKind string

// Failures of a schedule.
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

// Failure is one planned failure; it is undone after For.
type Failure struct {
	At   time.Duration `json:"at"`
	Kind FailureKind   `json:"kind"`
	// Subject names the target or entry; empty for the platform and the VM list.
	Subject string        `json:"subject,omitempty"`
	For     time.Duration `json:"for"`
}

// Inventory names what a schedule may hit.
type Inventory struct {
	Engines  []string
	Services []string
	Entries  []string
	// EntryProcesses tells that entries can be killed and stopped.
	EntryProcesses bool
}

// Inventory returns the cluster's own.
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

// choice is a kind of failure with the subjects that it may hit.
type choice struct {
	kind     FailureKind
	subjects []string
}

func (i Inventory) choices() []choice {
	platform := []string{""}
	list := []choice{
		// Deaths of engines come more often than each other failure.
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

// Shape of a schedule.
const (
	meanFailurePause = 500 * time.Millisecond
	leastFailure     = 300 * time.Millisecond
	failureRange     = 3 * time.Second
	// pairShare is the fraction of failures that come with another one.
	pairShare = 0.4
	pairRange = 300 * time.Millisecond
)

// Schedule draws failures; it is a function of its arguments alone.
func Schedule(seed int64, duration time.Duration, inventory Inventory) []Failure {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	choices := inventory.choices()
	var list []Failure
	for at := meanFailurePause; at < duration; at += time.Duration(random.ExpFloat64() * float64(meanFailurePause)) {
		list = append(list, drawFailure(random, choices, at))
		if random.Float64() < pairShare {
			list = append(list, drawFailure(random, choices, at+time.Duration(random.Int64N(int64(pairRange)))))
		}
	}
	slices.SortStableFunc(list, func(a, b Failure) int { return cmp.Compare(a.At, b.At) })
	return list
}

func drawFailure(random *rand.Rand, choices []choice, at time.Duration) Failure {
	chosen := choices[random.IntN(len(choices))]
	return Failure{
		At:      at,
		Kind:    chosen.kind,
		Subject: chosen.subjects[random.IntN(len(chosen.subjects))],
		For:     leastFailure + time.Duration(random.Int64N(int64(failureRange))),
	}
}

// Play carries failures out at their times, undoes each, and returns when all are undone. Errors of
// single failures, such as one that hits a dead entry, are reported and passed over.
func (c *Cluster) Play(ctx context.Context, failures []Failure, report func(Failure, error)) {
	started := time.Now()
	var undone sync.WaitGroup
	for _, failure := range failures {
		if wait.For(ctx, time.Until(started.Add(failure.At))) != nil {
			break
		}
		undo, err := c.cause(failure)
		report(failure, err)
		if err != nil {
			continue
		}
		undone.Go(func() {
			_ = wait.For(ctx, failure.For)
			if err := undo(); err != nil {
				report(failure, err)
			}
		})
	}
	undone.Wait()
}

// undoing ends a failure.
type undoing func() error

func nothing() error { return nil }

// cause carries one failure out.
func (c *Cluster) cause(f Failure) (undoing, error) {
	if entry := c.Entry(f.Subject); entry != nil {
		return causeAtEntry(entry, f)
	}
	if target := c.Target(f.Subject); target != nil {
		return causeAtTarget(target, f)
	}
	return c.causeAtPlatform(f)
}

func causeAtEntry(e *Entry, f Failure) (undoing, error) {
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

// occurrences is how many streams or calls one failure of that sort hits at most.
const occurrences = 5

// Parameters of failures.
const (
	slowFactor   = 4
	lateBy       = 80 * time.Millisecond
	platformSlow = 300 * time.Millisecond
)

func causeAtTarget(t *Target, f Failure) (undoing, error) {
	switch f.Kind {
	case EngineDeath, ServiceDeath:
		t.Kill()
		return t.Return, nil
	case EngineUnreachable:
		if t.Link == nil {
			return nothing, nil
		}
		t.Link.Cut()
		return func() error { t.Link.Heal(); return nil }, nil
	}
	t.Apply(targetFault(f))
	return nothing, nil
}

// targetFault translates failures that end by themselves.
func targetFault(f Failure) fault.Fault {
	switched := fault.Fault{For: v1.Duration(f.For), Count: occurrences}
	switch f.Kind {
	case EnginePause, ServicePause:
		switched.Kind, switched.Count = fault.Pause, 0
	case EngineSlow:
		switched.Kind, switched.Count, switched.Factor = fault.Slow, 0, slowFactor
	case StreamsReset:
		switched.Kind = fault.Reset
	case StreamsClosed:
		switched.Kind = fault.Close
	case TokensLate:
		switched.Kind, switched.Delay = fault.Late, v1.Duration(lateBy)
	case TokensCrossed:
		switched.Kind = fault.Crossed
	case TokensDuplicated:
		switched.Kind = fault.Duplicated
	case TokensSkipped:
		switched.Kind = fault.Skipped
	case ServiceResetBefore:
		switched.Kind = fault.ResetBefore
	case ServiceResetAfter:
		switched.Kind = fault.ResetAfter
	}
	return switched
}

func (c *Cluster) causeAtPlatform(f Failure) (undoing, error) {
	switched := fault.Fault{For: v1.Duration(f.For)}
	switch f.Kind {
	case PlatformOutage:
		switched.Kind = fault.Outage
	case PlatformHang:
		switched.Kind = fault.Hang
	case PlatformSlow:
		switched.Kind, switched.Delay = fault.Slow, v1.Duration(platformSlow)
	case PlatformStale:
		switched.Kind = fault.Stale
	case PlatformLostAnswer:
		switched.Kind, switched.Count = fault.LostAnswer, occurrences
	case VMListOutage:
		switched.Kind = fault.Outage
		c.VMList.Apply(switched)
		return nothing, nil
	}
	c.Platform.Apply(switched)
	return nothing, nil
}

package leaving

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// probeInterval is the time between two questions to a target.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one question to a target, to the VM list or to a peer.
	probeTimeout = time.Second
	// exchangeInterval is the time between two exchanges of words with a partner.
	exchangeInterval = 500 * time.Millisecond
	// exchangePartners is the number of peers with which an entry exchanges words in turn. Few
	// and steady ones keep the connections few; words still reach all in some steps.
	exchangePartners = 4
	// tickInterval is the time between two removals of lapsed words.
	tickInterval = 250 * time.Millisecond
	// probersPerTarget is the number of entries that ask each target, and the VM list.
	probersPerTarget = 2
	// maxParallelCalls bounds the calls that announce one word to all peers.
	maxParallelCalls = 16
	// primingPatience is how long a starting entry waits for the words of a peer.
	primingPatience = 500 * time.Millisecond
	// primingInterval is the time between two tries to get them.
	primingInterval = 20 * time.Millisecond
	// maxDoubts bounds the targets that wait for an extra question.
	maxDoubts = 256
	// vmListKey ranks the entries that read the VM list.
	vmListKey = "leaving/vm-list"
)

// HealthReader asks a target about itself.
type HealthReader interface {
	Health(ctx context.Context, address string) (Health, error)
}

// VMList reads the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Peers exchanges words with other entries.
type Peers interface {
	Exchange(ctx context.Context, peer membership.Peer, words []Word) ([]Word, error)
}

// EventKind names what happened in the Watcher.
type EventKind string

// Events of the Watcher.
const (
	// EventLeaving: a target began to leave.
	EventLeaving EventKind = "targets-leaving"
	// EventSourceFailed: a source did not answer.
	EventSourceFailed EventKind = "leaving-source-failed"
)

// Event is one observation for logs and metrics.
type Event struct {
	Kind   EventKind
	Source string
	Err    error
}

// Options configures a Watcher.
type Options struct {
	View   membership.View
	Health HealthReader
	// VMs may be nil when the platform has no list.
	VMs VMList
	// Peers may be nil for an entry alone.
	Peers Peers
	// Targets returns the targets of the configuration in force.
	Targets func() []Target
	// Observe receives events; it may be nil and must not block.
	Observe func(Event)
}

// Watcher keeps a Tracker current. The entries share the questions to the targets and to the VM
// list, so that an entry's calls don't grow with the fleet, and pass the answers on.
type Watcher struct {
	tracker *Tracker
	options Options
	// exchanges counts the exchanges, so that the partners take turns.
	exchanges atomic.Int64
	lastVMs   []VM
	// probing counts the calls that run beside the loops.
	probing sync.WaitGroup
	// pending holds the names of targets that are being asked.
	pending sync.Map
	// primed tells that a peer's words were heard, or could not be in time.
	primed atomic.Bool
	// doubts are targets of which a peer knows another incarnation.
	doubts chan string
	// refusals tells that a refusal brought news that the peers have to learn.
	refusals chan struct{}
}

// NewWatcher returns a Watcher that feeds tracker.
func NewWatcher(tracker *Tracker, options Options) *Watcher {
	return &Watcher{
		tracker: tracker,
		options: options,
		doubts:  make(chan string, maxDoubts),

		refusals: make(chan struct{}, 1),
	}
}

// Run watches until ctx ends, and returns ctx's error.
func (w *Watcher) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { w.prime(ctx) })
	loops.Go(func() { every(ctx, tickInterval, w.tick) })
	loops.Go(func() { every(ctx, probeInterval, w.probeTargets) })
	loops.Go(func() { every(ctx, probeInterval, w.readVMs) })
	loops.Go(func() { every(ctx, exchangeInterval, func(ctx context.Context) { w.exchange(ctx) }) })
	loops.Go(func() { w.resolveDoubts(ctx) })
	loops.Go(func() { w.announceRefusals(ctx) })
	loops.Wait()
	w.probing.Wait()
	return ctx.Err()
}

// every calls step at once and then at each interval.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Ready tells whether new work may be dispatched: an entry that starts must first hear which targets
// leave. Without targets there is nothing to hear about.
func (w *Watcher) Ready() bool { return w.primed.Load() || len(w.options.Targets()) == 0 }

// prime gets the words of a peer once the targets are known, since words about unknown targets are
// dropped. It gives up after primingPatience.
func (w *Watcher) prime(ctx context.Context) {
	defer w.primed.Store(true)
	var began time.Time
	for ctx.Err() == nil {
		targets := w.options.Targets()
		if len(targets) > 0 && began.IsZero() {
			began = time.Now()
		}
		if !began.IsZero() && time.Since(began) > primingPatience {
			return
		}
		if len(targets) > 0 {
			w.tracker.SetTargets(targets)
			if w.exchange(ctx) {
				return
			}
		}
		_ = wait.For(ctx, primingInterval)
	}
}

func (w *Watcher) tick(context.Context) {
	w.tracker.SetTargets(w.options.Targets())
	w.tracker.Tick(time.Now())
}

// probeTargets asks the targets that fall to this entry.
func (w *Watcher) probeTargets(ctx context.Context) {
	self, live := w.options.View.Self(), w.options.View.Live()
	for _, target := range w.options.Targets() {
		if target.Probed && isAmongFirst(live, self, "leaving/"+target.Name, probersPerTarget) {
			w.probing.Go(func() { w.probe(ctx, target) })
		}
	}
}

func (w *Watcher) probe(ctx context.Context, target Target) {
	// One question at a time, so that an older answer never follows a newer one.
	if _, asked := w.pending.LoadOrStore(target.Name, true); asked {
		return
	}
	defer w.pending.Delete(target.Name)
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := w.options.Health.Health(call, target.Address)
	if err != nil {
		w.tracker.Renew(target.Name, time.Now())
		return
	}
	if w.tracker.ObserveHealth(target.Name, health, time.Now()) {
		w.announce(ctx, string(SourceTarget))
	}
}

func (w *Watcher) readVMs(ctx context.Context) {
	if w.options.VMs == nil || !isAmongFirst(w.options.View.Live(), w.options.View.Self(), vmListKey, probersPerTarget) {
		return
	}
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	vms, err := w.options.VMs.VMs(call)
	if err != nil {
		w.observe(Event{Kind: EventSourceFailed, Source: string(SourceVMList), Err: err})
		vms = w.lastVMs // the last known list stands while there is no newer one
	}
	w.lastVMs = vms
	if w.tracker.ObserveVMs(vms, time.Now()) {
		w.announce(ctx, string(SourceVMList))
	}
}

// exchange swaps words with one of the partners and tells whether that succeeded.
func (w *Watcher) exchange(ctx context.Context) bool {
	partners := membership.Rank(w.peers(), w.options.View.Self().Name)
	partners = partners[:min(len(partners), exchangePartners)]
	if len(partners) == 0 {
		return false
	}
	turn := int(w.exchanges.Add(1))
	return w.exchangeWith(ctx, partners[turn%len(partners)])
}

func (w *Watcher) peers() []membership.Peer {
	if w.options.Peers == nil {
		return nil
	}
	self := w.options.View.Self()
	var peers []membership.Peer
	for _, peer := range w.options.View.Live() {
		if peer.Name != self.Name {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (w *Watcher) exchangeWith(ctx context.Context, peer membership.Peer) bool {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	words, err := w.options.Peers.Exchange(call, peer, w.tracker.Words())
	if err != nil {
		w.observe(Event{Kind: EventSourceFailed, Source: peer.Name, Err: err})
		return false
	}
	w.Receive(peer.Name, words)
	return true
}

// announce gives this entry's words to every peer at once.
func (w *Watcher) announce(ctx context.Context, source string) {
	w.observe(Event{Kind: EventLeaving, Source: source})
	slots := make(chan struct{}, maxParallelCalls)
	for _, peer := range w.peers() {
		slots <- struct{}{}
		w.probing.Go(func() {
			defer func() { <-slots }()
			w.exchangeWith(ctx, peer)
		})
	}
}

// Receive takes words of a peer; targets of which the peer knows another incarnation are asked.
func (w *Watcher) Receive(peer string, words []Word) {
	doubtful, news := w.tracker.ObserveWords(words, time.Now())
	if news {
		w.observe(Event{Kind: EventLeaving, Source: peer})
	}
	for _, name := range doubtful {
		select {
		case w.doubts <- name:
		default: // the word lapses by itself, and comes again
		}
	}
}

// ObserveRefusal takes a target's refusal of a request because it leaves, and tells the peers. It
// does not block.
func (w *Watcher) ObserveRefusal(name string) {
	if !w.tracker.ObserveRefusal(name, time.Now()) {
		return
	}
	select {
	case w.refusals <- struct{}{}:
	default: // an announcement is due already, and will hold this word too
	}
}

func (w *Watcher) announceRefusals(ctx context.Context) {
	for {
		select {
		case <-w.refusals:
			w.announce(ctx, string(SourceTarget))
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) resolveDoubts(ctx context.Context) {
	for {
		select {
		case name := <-w.doubts:
			w.probeNamed(ctx, name)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) probeNamed(ctx context.Context, name string) {
	for _, target := range w.options.Targets() {
		if target.Name == name && target.Probed {
			w.probing.Go(func() { w.probe(ctx, target) })
		}
	}
}

func (w *Watcher) observe(event Event) {
	if w.options.Observe != nil {
		w.options.Observe(event)
	}
}

// isAmongFirst tells whether self is among the first n by rendezvous hash of key. Unlike
// membership.Rank it neither sorts nor allocates, since it runs for each target.
func isAmongFirst(live []membership.Peer, self membership.Peer, key string, n int) bool {
	mine := score(self.Name, key)
	ahead := 0
	for _, peer := range live {
		if peer.Name != self.Name && score(peer.Name, key) > mine {
			ahead++
		}
		if ahead >= n {
			return false
		}
	}
	return true
}

func score(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

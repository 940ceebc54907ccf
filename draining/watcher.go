package draining

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
	// probeInterval is the time between two probes of a target, and between two readings of the VM list.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the timeout of a call to a target, to the VM list or to a peer.
	probeTimeout = time.Second
	// exchangeInterval is the time between two exchanges of reports with a partner.
	exchangeInterval = 500 * time.Millisecond
	// exchangePartners is the number of peers with which an entry exchanges reports in turn. A small, stable
	// set of partners needs few connections; reports still reach all entries in a few hops.
	exchangePartners = 4
	// tickInterval is the time between two removals of expired reports.
	tickInterval = 250 * time.Millisecond
	// probersPerTarget is the number of entries that probe each target, and that read the VM list.
	probersPerTarget = 2
	// announceInterval is the minimum time between two announcements of new reports. Targets of one availability zone begin to
	// drain together, and a report passes from entry to entry until all have it: about log(entries)/log(exchangePartners) times.
	announceInterval = 150 * time.Millisecond
	// announceTries is the number of peers of which one is to answer in the place of a partner.
	announceTries = 3
	// initialReportsTimeout is how long a starting entry waits for the reports of a peer.
	initialReportsTimeout = 500 * time.Millisecond
	// initialReportsRetryInterval is the time between two attempts to get them.
	initialReportsRetryInterval = 20 * time.Millisecond
	// maxUnverified limits the targets that are queued for an additional probe.
	maxUnverified = 256
	// vmListKey is the rendezvous key that selects the entries that read the VM list.
	vmListKey = "leaving/vm-list"
)

// HealthReader sends health probes to targets.
type HealthReader interface {
	// Health returns the answer of the target at address.
	Health(ctx context.Context, address string) (Health, error)
}

// VMList reads the platform's list of VMs.
type VMList interface {
	// VMs returns all VMs of the list.
	VMs(ctx context.Context) ([]VM, error)
}

// Peers exchanges reports with other entries.
type Peers interface {
	// Exchange sends this entry's reports to peer and returns peer's reports.
	Exchange(ctx context.Context, peer membership.Peer, reports []Report) ([]Report, error)
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events of the Watcher.
const (
	// EventDraining: a target was first reported as draining.
	EventDraining EventKind = "targets-leaving"
	// EventSourceFailed: a call to the VM list or to a peer failed.
	EventSourceFailed EventKind = "leaving-source-failed"
)

// Event is an event for logs and metrics. Source is a Source, or the name of a peer.
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
	// Peers may be nil for an entry without peers.
	Peers Peers
	// Targets returns the targets of the current configuration.
	Targets func() []Target
	// Observe is called with each event; it may be nil and must not block.
	Observe func(Event)
}

// Watcher keeps a Tracker up to date. The entries divide the probes of the targets and the readings of the VM
// list among themselves, so that the calls of one entry don't grow with the fleet, and exchange the results.
type Watcher struct {
	tracker *Tracker
	options Options
	// exchanges counts the exchanges, to select the partners in turn.
	exchanges atomic.Int64
	// lastVMs is the last list that was read, used while newer readings fail.
	lastVMs []VM
	// calls tracks the calls that run in goroutines of their own.
	calls sync.WaitGroup
	// probesInFlight holds the names of the targets that are being probed.
	probesInFlight sync.Map
	// initialReportsDone is set once a peer's reports were received, or were not received in time.
	initialReportsDone atomic.Bool
	// unverified holds targets for which a peer reported another incarnation; they are to be probed.
	unverified chan string
	// announcementPending signals that this entry has learned of a draining target that its partners may not know yet.
	announcementPending chan struct{}
}

// NewWatcher returns a Watcher that updates tracker.
func NewWatcher(tracker *Tracker, options Options) *Watcher {
	return &Watcher{
		tracker:    tracker,
		options:    options,
		unverified: make(chan string, maxUnverified),

		announcementPending: make(chan struct{}, 1),
	}
}

// Run watches until ctx ends, and returns ctx's error.
func (w *Watcher) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { w.fetchInitialReports(ctx) })
	loops.Go(func() { runEvery(ctx, tickInterval, w.tick) })
	loops.Go(func() { runEvery(ctx, probeInterval, w.probeTargets) })
	loops.Go(func() { runEvery(ctx, probeInterval, w.readVMs) })
	loops.Go(func() { runEvery(ctx, exchangeInterval, func(ctx context.Context) { w.exchange(ctx) }) })
	loops.Go(func() { w.probeUnverified(ctx) })
	loops.Go(func() { w.announce(ctx) })
	loops.Wait()
	w.calls.Wait()
	return ctx.Err()
}

// runEvery calls step immediately and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
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

// Ready reports whether new work may be dispatched: a starting entry must first learn which targets are
// draining. Without targets there is nothing to learn.
func (w *Watcher) Ready() bool { return w.initialReportsDone.Load() || len(w.options.Targets()) == 0 }

// fetchInitialReports gets the reports of a peer once the targets are known, since reports about unknown
// targets are dropped. It gives up after initialReportsTimeout.
func (w *Watcher) fetchInitialReports(ctx context.Context) {
	defer w.initialReportsDone.Store(true)
	var targetsKnownAt time.Time
	for ctx.Err() == nil {
		targets := w.options.Targets()
		if len(targets) > 0 && targetsKnownAt.IsZero() {
			targetsKnownAt = time.Now()
		}
		if !targetsKnownAt.IsZero() && time.Since(targetsKnownAt) > initialReportsTimeout {
			return
		}
		if len(targets) > 0 {
			w.tracker.SetTargets(targets)
			if w.exchange(ctx) {
				return
			}
		}
		_ = wait.For(ctx, initialReportsRetryInterval)
	}
}

func (w *Watcher) tick(context.Context) {
	w.tracker.SetTargets(w.options.Targets())
	w.tracker.Tick(time.Now())
}

// probeTargets probes the targets that are assigned to this entry.
func (w *Watcher) probeTargets(ctx context.Context) {
	self, live := w.options.View.Self(), w.options.View.Live()
	for _, target := range w.options.Targets() {
		if target.Probed && isAmongFirst(live, self, "leaving/"+target.Name, probersPerTarget) {
			w.calls.Go(func() { w.probe(ctx, target) })
		}
	}
}

func (w *Watcher) probe(ctx context.Context, target Target) {
	// Only one probe of a target runs at a time, so that an older answer never follows a newer one.
	if _, inFlight := w.probesInFlight.LoadOrStore(target.Name, true); inFlight {
		return
	}
	defer w.probesInFlight.Delete(target.Name)
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := w.options.Health.Health(call, target.Address)
	if err != nil {
		w.tracker.RenewTargetReport(target.Name, time.Now())
		return
	}
	if w.tracker.ObserveHealth(target.Name, health, time.Now()) {
		w.recordFirst(string(SourceTarget))
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
		vms = w.lastVMs // use the last known list until a newer one can be read
	}
	w.lastVMs = vms
	if w.tracker.ObserveVMs(vms, time.Now()) {
		w.recordFirst(string(SourceVMList))
	}
}

// exchange exchanges reports with the next partner and reports whether that succeeded.
func (w *Watcher) exchange(ctx context.Context) bool {
	partners := w.partners()
	if len(partners) == 0 {
		return false
	}
	turn := int(w.exchanges.Add(1))
	return w.exchangeWith(ctx, partners[turn%len(partners)])
}

// partners returns the peers with which this entry exchanges reports.
func (w *Watcher) partners() []membership.Peer {
	ranked := membership.Rank(w.peers(), w.options.View.Self().Name)
	return ranked[:min(len(ranked), exchangePartners)]
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
	reports, err := w.options.Peers.Exchange(call, peer, w.tracker.Reports())
	if err != nil {
		w.observe(Event{Kind: EventSourceFailed, Source: peer.Name, Err: err})
		return false
	}
	w.ReceiveReports(peer.Name, reports)
	return true
}

// recordFirst reports that the first report of a draining target came from source, and has it announced.
func (w *Watcher) recordFirst(source string) {
	w.observe(Event{Kind: EventDraining, Source: source})
	select {
	case w.announcementPending <- struct{}{}:
	default: // the pending announcement will include this report
	}
}

// announce exchanges reports with all partners when this entry has learned of a draining target. They pass on what is new to
// them, so that no entry calls the whole fleet.
func (w *Watcher) announce(ctx context.Context) {
	for {
		select {
		case <-w.announcementPending:
		case <-ctx.Done():
			return
		}
		w.announceTo(ctx, membership.Rank(w.peers(), w.options.View.Self().Name))
		if wait.For(ctx, announceInterval) != nil {
			return
		}
	}
}

// announceTo exchanges reports with exchangePartners of the ranked peers, and with another one in the place of each that doesn't
// answer soon.
func (w *Watcher) announceTo(ctx context.Context, ranked []membership.Peer) {
	for first := range min(len(ranked), exchangePartners) {
		w.calls.Go(func() {
			for i := first; i < min(len(ranked), announceTries*exchangePartners); i += exchangePartners {
				if w.exchangeSoon(ctx, ranked[i]) {
					return
				}
			}
		})
	}
}

// exchangeSoon exchanges reports with a peer and reports whether it answered within announceInterval. The call goes on otherwise.
func (w *Watcher) exchangeSoon(ctx context.Context, peer membership.Peer) bool {
	answered := make(chan bool, 1)
	w.calls.Go(func() { answered <- w.exchangeWith(ctx, peer) })
	overdue := time.NewTimer(announceInterval)
	defer overdue.Stop()
	select {
	case succeeded := <-answered:
		return succeeded
	case <-overdue.C:
		return false
	}
}

// AnswerExchange records the reports of a peer and returns those that the peer lacks, or holds for a shorter time.
func (w *Watcher) AnswerExchange(peer string, reports []Report) []Report {
	answer := missingReports(w.tracker.Reports(), reports)
	w.ReceiveReports(peer, reports)
	return answer
}

// ReceiveReports records the reports of a peer, and queues a probe of each target for which the peer reports
// another incarnation.
func (w *Watcher) ReceiveReports(peer string, reports []Report) {
	toProbe, first := w.tracker.ObserveReports(reports, time.Now())
	if first {
		w.recordFirst(peer)
	}
	for _, name := range toProbe {
		select {
		case w.unverified <- name:
		default: // the queue is full; the report expires unless a later exchange repeats it
		}
	}
}

// ObserveRefusal records that a target refused a request because it is draining, and has this announced to the
// peers. It does not block.
func (w *Watcher) ObserveRefusal(name string) {
	if w.tracker.ObserveRefusal(name, time.Now()) {
		w.recordFirst(string(SourceTarget))
	}
}

func (w *Watcher) probeUnverified(ctx context.Context) {
	for {
		select {
		case name := <-w.unverified:
			w.probeNamed(ctx, name)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) probeNamed(ctx context.Context, name string) {
	for _, target := range w.options.Targets() {
		if target.Name == name && target.Probed {
			w.calls.Go(func() { w.probe(ctx, target) })
		}
	}
}

func (w *Watcher) observe(event Event) {
	if w.options.Observe != nil {
		w.options.Observe(event)
	}
}

// isAmongFirst reports whether self is among the first n entries by rendezvous hash of key. Unlike
// membership.Rank it neither sorts nor allocates, because it runs for each target at each interval.
func isAmongFirst(live []membership.Peer, self membership.Peer, key string, n int) bool {
	own := rendezvousScore(self.Name, key)
	higher := 0
	for _, peer := range live {
		if peer.Name != self.Name && rendezvousScore(peer.Name, key) > own {
			higher++
		}
		if higher >= n {
			return false
		}
	}
	return true
}

func rendezvousScore(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

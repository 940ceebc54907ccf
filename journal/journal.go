package journal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// Transport calls the stores of other entries.
type Transport interface {
	Exchange(ctx context.Context, peer membership.Peer, batch Batch) (BatchResult, error)
	Read(ctx context.Context, peer membership.Peer, key string) (Copy, error)
	Takeover(ctx context.Context, peer membership.Peer, request TakeoverRequest) (TakeoverResult, error)
}

// Observer is notified of the replication of one record. Its methods must not block and must not call
// the Appender.
type Observer interface {
	// PositionCommitted is called when the replicas hold all positions below the given one.
	PositionCommitted(position int)
	// AttemptRecorded is called when a replica has stored the attempt.
	AttemptRecorded(attempt Attempt)
	// Superseded is called when a newer term exists; nothing more will be committed.
	Superseded(term int)
	// Degraded is called with true when the record has no replica left, and with false when it has one
	// again.
	Degraded(degraded bool)
}

// Appender replicates the record of one generation.
type Appender interface {
	// WaitForReplicas waits until each of the first replicas has stored the record or was replaced. It returns
	// ErrKeyTaken when another producer holds the key.
	WaitForReplicas(ctx context.Context) error
	// Append adds tokens. A finish that is not empty ends the generation.
	Append(tokens []string, finish string)
	// SetAttempt records the attempt whose engine stream now produces the tokens.
	SetAttempt(attempt Attempt)
	// Close stops the replacement of replicas; those that hold the record keep it.
	Close()
}

// ErrKeyTaken: another producer holds the key.
var ErrKeyTaken = errors.New("journal: key held by another producer")

const (
	// replicaCount is the number of replicas of a generation, besides its producer.
	replicaCount = 2
	// firstRanks is the number of entries, first in the key's rendezvous order, that every look-up
	// asks.
	firstRanks = 4
	// failureCooldown is how long a peer is not chosen as a replica after a failed call.
	failureCooldown = 2 * time.Second
	// degradedCooldown replaces failureCooldown for a record that lacks a replica and finds no other peer.
	degradedCooldown = 200 * time.Millisecond
)

// Timeouts are the timeouts of calls to peers.
type Timeouts struct {
	// Append is the timeout of a batch; a replica that exceeds it is replaced.
	Append time.Duration
	// Read is the timeout of a look-up or takeover.
	Read time.Duration
}

// DefaultTimeouts suit availability zones a few milliseconds apart.
var DefaultTimeouts = Timeouts{Append: 50 * time.Millisecond, Read: 30 * time.Millisecond}

// Options configure a Journal.
type Options struct {
	View      membership.View
	Store     *Store
	Transport Transport
	Timeouts  Timeouts
}

// Journal replicates this entry's generations and locates those of other entries. It is safe for
// concurrent use.
type Journal struct {
	options Options
	stats   Stats

	mu    sync.Mutex
	peers map[string]*sender
	// failed holds, by the name of a peer, when a call to it last failed.
	failed map[string]time.Time
}

// New returns a Journal.
func New(options Options) *Journal {
	if options.Timeouts == (Timeouts{}) {
		options.Timeouts = DefaultTimeouts
	}
	return &Journal{options: options, peers: map[string]*sender{}, failed: map[string]time.Time{}}
}

// Stats returns the counters.
func (j *Journal) Stats() *Stats { return &j.stats }

// Store returns this entry's store of other entries' generations.
func (j *Journal) Store() *Store { return j.options.Store }

// sender returns the sender to a peer. A peer with a new address gets a new sender.
func (j *Journal) sender(peer membership.Peer) *sender {
	j.mu.Lock()
	defer j.mu.Unlock()
	existing := j.peers[peer.Name]
	if existing == nil || existing.peer.Address != peer.Address {
		existing = &sender{journal: j, peer: peer}
		j.peers[peer.Name] = existing
	}
	return existing
}

func (j *Journal) markFailed(peer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed[peer] = time.Now()
}

func (j *Journal) markAlive(peer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.failed, peer)
}

func (j *Journal) failedWithin(peer string, cooldown time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	since, found := j.failed[peer]
	return found && time.Since(since) < cooldown
}

// ranked returns the live entries in the key's rendezvous order.
func (j *Journal) ranked(key string) []membership.Peer {
	return membership.Rank(j.options.View.Live(), key)
}

// nextReplica returns the best peer for another replica of the key, besides those taken. Peers with a
// failed call within the cooldown are left out.
func (j *Journal) nextReplica(key string, taken []membership.Peer, cooldown time.Duration) (membership.Peer, bool) {
	var usable []membership.Peer
	for _, peer := range j.ranked(key) {
		if !j.failedWithin(peer.Name, cooldown) {
			usable = append(usable, peer)
		}
	}
	return chooseReplica(j.options.View.Self(), usable, taken)
}

// chooseReplica returns the first ranked peer in an availability zone without a copy of the record, else
// the first one outside self's availability zone, else the first one.
func chooseReplica(self membership.Peer, ranked, taken []membership.Peer) (membership.Peer, bool) {
	zones := map[string]bool{self.AvailabilityZone: true}
	names := map[string]bool{self.Name: true}
	for _, peer := range taken {
		zones[peer.AvailabilityZone] = true
		names[peer.Name] = true
	}
	fits := []func(membership.Peer) bool{
		func(p membership.Peer) bool { return !zones[p.AvailabilityZone] },
		func(p membership.Peer) bool { return p.AvailabilityZone != self.AvailabilityZone },
		func(membership.Peer) bool { return true },
	}
	for _, fit := range fits {
		for _, peer := range ranked {
			if !names[peer.Name] && fit(peer) {
				return peer, true
			}
		}
	}
	return membership.Peer{}, false
}

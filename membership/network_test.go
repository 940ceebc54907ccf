package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const networkLatency = 2 * time.Millisecond

var (
	errUnreachable  = errors.New("network: message lost")
	errNotListening = errors.New("network: connection refused")
)

// network delivers probes between managers in memory, and can lose, delay or partition them.
type network struct {
	mutex       sync.Mutex
	random      *rand.Rand
	lossShare   float64
	managers    map[string]*Manager
	cancel      map[string]context.CancelFunc
	killed      map[string]bool
	pausedUntil map[string]time.Time
	// partition maps the address of a member to its part of the partitioned network.
	partition map[string]int
	// messages counts the messages. All members share one processor, which takes messageCost for each, until processorFree.
	messages      int
	messageCost   time.Duration
	processorFree time.Time
}

func newNetwork(seed uint64) *network {
	return &network{
		random:      rand.New(rand.NewPCG(seed, 1)),
		managers:    map[string]*Manager{},
		cancel:      map[string]context.CancelFunc{},
		killed:      map[string]bool{},
		pausedUntil: map[string]time.Time{},
		partition:   map[string]int{},
	}
}

func testPeer(i int) Peer {
	return Peer{
		Name:             fmt.Sprintf("e%03d", i),
		Address:          fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		AvailabilityZone: string(rune('a' + i%3)),
		Incarnation:      1,
	}
}

// start runs size managers with the same two seeds.
func (n *network) start(t *testing.T, size int) {
	for i := range size {
		n.startEntry(t, i, 1)
	}
}

func (n *network) startEntry(t *testing.T, i int, incarnation uint64) {
	n.startSeeded(t, i, incarnation, []Peer{{Address: testPeer(0).Address}, {Address: testPeer(1).Address}})
}

func (n *network) startSeeded(t *testing.T, i int, incarnation uint64, seeds []Peer) {
	self := testPeer(i)
	self.Incarnation = incarnation
	manager := NewManager(Options{
		Self:   self,
		Prober: prober{n, self.Address},
		Seeds:  seeds,
		Seed:   uint64(i),
	})
	ctx, cancel := context.WithCancel(t.Context())
	n.mutex.Lock()
	n.managers[self.Address] = manager
	n.cancel[self.Address] = cancel
	delete(n.killed, self.Address)
	n.mutex.Unlock()
	go func() { _ = manager.Run(ctx) }()
}

func (n *network) stop() {
	for _, cancel := range n.cancel {
		cancel()
	}
	time.Sleep(time.Second) // until the leave announcements have ended
}

// kill makes the network drop every message from and to the member, then stops it.
func (n *network) kill(i int) {
	address := testPeer(i).Address
	n.mutex.Lock()
	n.killed[address] = true
	n.mutex.Unlock()
	if cancel, ok := n.cancel[address]; ok {
		cancel()
	}
}

func (n *network) pause(i int, d time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pausedUntil[testPeer(i).Address] = time.Now().Add(d)
}

// deliver returns when one message has arrived or, if it is lost, when ctx ends.
func (n *network) deliver(ctx context.Context, from, to string) error {
	n.mutex.Lock()
	lost := n.random.Float64() < n.lossShare || n.killed[from] || n.killed[to] || n.partition[from] != n.partition[to]
	wake := n.pausedUntil[from]
	if later := n.pausedUntil[to]; later.After(wake) {
		wake = later
	}
	n.messages++
	if n.processorFree.Before(time.Now()) {
		n.processorFree = time.Now()
	}
	n.processorFree = n.processorFree.Add(n.messageCost)
	if n.processorFree.After(wake) {
		wake = n.processorFree
	}
	n.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return errUnreachable
	}
	select {
	case <-time.After(networkLatency + max(0, time.Until(wake))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *network) manager(address string) *Manager {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.managers[address]
}

// prober is the Prober of the member whose address is self.
type prober struct {
	network *network
	self    string
}

func (p prober) Probe(ctx context.Context, peer Peer, message Message) (Message, error) {
	from := p.self
	if err := p.network.deliver(ctx, from, peer.Address); err != nil {
		return Message{}, err
	}
	manager := p.network.manager(peer.Address)
	if manager == nil {
		return Message{}, errNotListening
	}
	answer, err := manager.HandleProbe(ctx, message)
	if err != nil {
		return Message{}, err
	}
	return answer, p.network.deliver(ctx, peer.Address, from)
}

func (p prober) ProbeVia(ctx context.Context, via, peer Peer, message Message) (Message, error) {
	from := p.self
	if err := p.network.deliver(ctx, from, via.Address); err != nil {
		return Message{}, err
	}
	answer, err := p.network.manager(via.Address).HandleProbeVia(ctx, peer, message)
	if err != nil {
		return Message{}, err
	}
	return answer, p.network.deliver(ctx, via.Address, from)
}

func sees(manager *Manager, name string) bool {
	for _, peer := range manager.Live() {
		if peer.Name == name {
			return true
		}
	}
	return false
}

// waitFor polls until ok returns true and returns the elapsed time, or bound after that time.
func waitFor(bound time.Duration, ok func() bool) time.Duration {
	const step = 10 * time.Millisecond
	start := time.Now()
	for time.Since(start) < bound {
		if ok() {
			return time.Since(start)
		}
		time.Sleep(step)
	}
	return bound
}

// everyoneSees reports whether each running member sees exactly the given number of live entries.
func (n *network) everyoneSees(count int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for address, manager := range n.managers {
		if !n.killed[address] && len(manager.Live()) != count {
			return false
		}
	}
	return true
}

// refutedSuspicions returns how often running members, which all began with incarnation 1, refuted that they are suspect.
func (n *network) refutedSuspicions() int {
	count := 0
	for address, manager := range n.managers {
		if !n.killed[address] {
			count += int(manager.Self().Incarnation - 1)
		}
	}
	return count
}

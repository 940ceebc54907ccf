package detour

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// ableMemory is how long a peer that helped is taken for able without being asked: one that has died or stands
	// still loses the requests of that time.
	ableMemory = time.Second
	// lostMemory and refusedMemory are how long a peer that lost its links, or that refused, is not asked.
	lostMemory    = 3 * time.Second
	refusedMemory = time.Second
	// wantedHelpers is the number of able peers among which requests are divided, while there are as many.
	wantedHelpers = 3
)

// helpers holds what is known of the peers' own links to targets. It is safe for concurrent use.
type helpers struct {
	view membership.View

	mu     sync.Mutex
	random *rand.Rand
	known  map[string]*helper
}

type helper struct {
	ableUntil, lostUntil, refusedUntil time.Time
	// running counts the requests that this entry sends through the peer now.
	running int
}

func newHelpers(view membership.View, seed uint64) *helpers {
	return &helpers{view: view, random: rand.New(rand.NewPCG(seed, 9)), known: map[string]*helper{}}
}

// record records what a peer answered.
func (h *helpers) record(name string, outcome Outcome, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	peer := h.helper(name)
	switch outcome {
	case Sent, Unreachable:
		*peer = helper{ableUntil: now.Add(ableMemory), running: peer.running}
	case LinksLost:
		*peer = helper{lostUntil: now.Add(lostMemory), running: peer.running}
	case Refused:
		*peer = helper{refusedUntil: now.Add(refusedMemory), running: peer.running}
	case Unserved:
		// This tells of one target only.
	}
}

// helper returns the state of a peer. It drops those of peers that are gone when there are too many.
func (h *helpers) helper(name string) *helper {
	state := h.known[name]
	if state != nil {
		return state
	}
	if len(h.known) > 2*len(h.view.Live())+wantedHelpers {
		live := h.view.Live()
		for other, each := range h.known {
			if each.running == 0 && !slices.ContainsFunc(live, func(p membership.Peer) bool { return p.Name == other }) {
				delete(h.known, other)
			}
		}
	}
	state = &helper{}
	h.known[name] = state
	return state
}

// begin counts a request through a peer until end is called.
func (h *helpers) begin(name string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.helper(name)
	state.running++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		state.running--
	}
}

// candidates returns the peers that may help, in random order. Those that refused or failed a moment ago are among them
// only if there are no others.
func (h *helpers) candidates(now time.Time, tried []string) []membership.Peer {
	self := h.view.Self().Name
	var peers, refused []membership.Peer
	for _, peer := range h.view.Live() {
		known := h.helper(peer.Name)
		switch {
		case peer.Name == self, slices.Contains(tried, peer.Name), now.Before(known.lostUntil):
		case now.Before(known.refusedUntil):
			refused = append(refused, peer)
		default:
			peers = append(peers, peer)
		}
	}
	if len(peers) == 0 {
		peers = refused
	}
	h.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// able returns the peer with the fewest requests of this entry among those that helped a moment ago. It returns none
// while there are fewer than wantedHelpers and others may be able too, so that these are asked.
func (h *helpers) able(now time.Time, tried []string) (membership.Peer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates := h.candidates(now, tried)
	able := slices.DeleteFunc(slices.Clone(candidates), func(p membership.Peer) bool { return !now.Before(h.helper(p.Name).ableUntil) })
	if len(able) == 0 || len(able) < wantedHelpers && len(able) < len(candidates) {
		return membership.Peer{}, false
	}
	return slices.MinFunc(able, func(a, b membership.Peer) int { return h.helper(a.Name).running - h.helper(b.Name).running }), true
}

// choose returns up to count peers to ask, the one with the name hint first.
func (h *helpers) choose(now time.Time, count int, tried []string, hint string) []membership.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates := h.candidates(now, tried)
	slices.SortStableFunc(candidates, func(a, b membership.Peer) int {
		switch hint {
		case a.Name:
			return -1
		case b.Name:
			return 1
		}
		return 0
	})
	return candidates[:min(count, len(candidates))]
}

// describe returns what is known of the peers now, for logs: how many have lost their links, refused, or may help.
func (h *helpers) describe(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost, refused, others := 0, 0, 0
	for _, peer := range h.view.Live() {
		known := h.helper(peer.Name)
		switch {
		case peer.Name == h.view.Self().Name:
		case now.Before(known.lostUntil):
			lost++
		case now.Before(known.refusedUntil):
			refused++
		default:
			others++
		}
	}
	return fmt.Sprintf("%d lost, %d refused, %d others", lost, refused, others)
}

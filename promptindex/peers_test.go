package promptindex

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

// peerFleet is a fleet of entries that share a store. All of them believe that all are live.
type peerFleet struct {
	cluster  *cluster
	live     []membership.Peer
	managers map[string]*Manager

	mu sync.Mutex
	// silent is set if peers don't answer, answerTime is how long they take otherwise.
	silent     bool
	answerTime time.Duration
	// lost entries refuse connections.
	lost map[string]bool

	tells, finds atomic.Int32
}

var errRefused = errors.New("connection refused")

// fleetView implements View.
type fleetView struct {
	fleet *peerFleet
	self  membership.Peer
}

func (v fleetView) Self() membership.Peer   { return v.self }
func (v fleetView) Live() []membership.Peer { return v.fleet.live }

// reach waits for a peer's answer.
func (f *peerFleet) reach(ctx context.Context, peer membership.Peer) error {
	f.mu.Lock()
	lost, silent, answerTime := f.lost[peer.Name], f.silent, f.answerTime
	f.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case lost:
		return errRefused
	}
	time.Sleep(answerTime)
	return nil
}

// Tell implements Peers.
func (f *peerFleet) Tell(ctx context.Context, peer membership.Peer, prompt, engine string) error {
	f.tells.Add(1)
	if err := f.reach(ctx, peer); err != nil {
		return err
	}
	f.managers[peer.Name].RecordTold(prompt, engine)
	return nil
}

// Find implements Peers.
func (f *peerFleet) Find(ctx context.Context, peer membership.Peer, prompt string) (string, error) {
	f.finds.Add(1)
	if err := f.reach(ctx, peer); err != nil {
		return "", err
	}
	return f.managers[peer.Name].FindTold(prompt), nil
}

func newPeerFleet(t *testing.T, size int) *peerFleet {
	f := &peerFleet{cluster: newCluster(), managers: map[string]*Manager{}, lost: map[string]bool{}, answerTime: 3 * time.Millisecond}
	for i := range size {
		f.live = append(f.live, membership.Peer{Name: fmt.Sprintf("entry%03d", i)})
	}
	for _, self := range f.live {
		m := NewManager(Options{
			Entry: self.Name, Store: f.cluster.store, Live: func() int { return size }, Peers: f, View: fleetView{f, self},
		})
		f.managers[self.Name] = m
		ctx, cancel := context.WithCancel(t.Context())
		f.cluster.cancel = append(f.cluster.cancel, cancel)
		f.cluster.ended.Go(func() { _ = m.Run(ctx) })
	}
	return f
}

// Guards against prompts that are prefilled again since their entry was lost before it wrote them to the store: streams that
// had begun within the interval of its writes, 2 s, more in larger fleets, and all of them beyond 100 entries. A quarter of
// the entries is lost at once, and the others don't know it yet.
func TestPromptOfAStreamThatHasJustBegunIsFound(t *testing.T) {
	for _, size := range []int{8, 30, 76, 195, 300} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newPeerFleet(t, size)
			defer f.cluster.stopAll()
			time.Sleep(10 * time.Second)
			const streams = 200
			random := rand.New(rand.NewPCG(1, uint64(size)))
			lost := size / 4
			_, reads := f.cluster.store.callCounts()
			for i := range streams {
				f.managers[f.live[random.IntN(lost)].Name].RecordPlacement(fmt.Sprint("prompt", i), fmt.Sprint("engine", i))
				time.Sleep(2 * time.Millisecond)
			}
			f.mu.Lock()
			for _, peer := range f.live[:lost] {
				f.lost[peer.Name] = true
			}
			f.mu.Unlock()
			found := 0
			for i := range streams {
				asker := f.managers[f.live[lost+random.IntN(size-lost)].Name]
				if asker.FindShared(t.Context(), fmt.Sprint("prompt", i)) == fmt.Sprint("engine", i) {
					found++
				}
			}
			_, readsAfter := f.cluster.store.callCounts()
			t.Logf("%d entries: %d of %d found, %d tells, %d questions, %d reads of the store", size, found, streams, f.tells.Load(), f.finds.Load(), readsAfter-reads)
			is.True(found >= streams*9/10) // both that were told of it are lost in one of sixteen
			is.True(f.tells.Load() <= toldPeers*streams)
			is.True(f.finds.Load() <= askedPeers*streams)
		})
	}
}

// Guards against streams that wait for peers that are silent, or whose answer doesn't help: the store is read meanwhile.
func TestSilentPeersDoNotDelayTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPeerFleet(t, 8)
		defer f.cluster.stopAll()
		f.silent = true
		f.managers["entry000"].RecordPlacement("prompt", "engine")
		time.Sleep(10 * time.Second) // the store has it
		start := time.Now()
		is.Equal(f.managers["entry001"].FindShared(t.Context(), "prompt"), "engine")
		is.True(time.Since(start) <= peersHeadStart+10*time.Millisecond)
		start = time.Now()
		is.Equal(f.managers["entry001"].FindShared(t.Context(), "unknown"), "")
		is.True(time.Since(start) <= readWaitTimeout)
		// Once the store and all peers have said that they don't know the prompt, there is nothing to wait for.
		const slowAnswer = 2 * peersHeadStart
		f.mu.Lock()
		f.silent, f.answerTime = false, slowAnswer
		f.mu.Unlock()
		start = time.Now()
		is.Equal(f.managers["entry001"].FindShared(t.Context(), "unknown"), "")
		is.Equal(time.Since(start), slowAnswer)
	})
}

// What peers tell serves streams that are resumed only, is replaced by newer news, and is bounded.
func TestToldPromptsAreBounded(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	now := time.Unix(1000, 0)
	x.mergeShared(map[string]string{"prompt": "before"}, now)
	x.recordTold("prompt", "engine", now)
	is.Equal(x.findKnown("prompt"), "engine")
	is.Equal(x.find("prompt"), "before")
	for i := range 2 * maxTold {
		x.recordTold(fmt.Sprint(i), "engine", now)
	}
	is.Equal(len(x.told), maxTold)
	x.recordTold("prompt", "moved", now)
	is.Equal(x.findKnown("prompt"), "moved")
	x.export(now.Add(toldTTL + time.Second))
	is.Equal(len(x.told), 0)
}

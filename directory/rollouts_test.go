package directory

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// rolloutDecoder decodes objects whose values are Rollout in JSON.
type rolloutDecoder struct{}

func (rolloutDecoder) Rollout(object objects.Object) (*Rollout, error) {
	read := &Rollout{Name: object.Name, Revision: object.Revision}
	if err := json.Unmarshal(object.Value, read); err != nil {
		return nil, err
	}
	return read, read.Order.Validate()
}

func newRolloutFixture() *fixture {
	return &fixture{Manager: NewManager(Options{Decoder: jsonDecoder{}, Rollouts: rolloutDecoder{}})}
}

// applyRollout applies a change of an order, with the next revision.
func (f *fixture) applyRollout(at time.Time, changed Rollout) {
	f.revision++
	value, err := json.Marshal(changed)
	if err != nil {
		panic(err)
	}
	object := objects.Object{Kind: KindRollout, Name: changed.Name, Revision: f.revision, Value: value}
	f.applyPart(Part{Kind: KindRollout, Revision: f.revision, Objects: []objects.Object{object}}, at)
}

// confirmRollouts has the orders be known up to the current revision.
func (f *fixture) confirmRollouts(at time.Time) {
	f.applyPart(Part{Kind: KindRollout, Revision: f.revision}, at)
}

func versioned(id, address, version string) Target {
	target := engine(id, address, 1)
	target.Version = version
	return target
}

func orderTo(version string) Rollout {
	return Rollout{Name: "drafts", Order: rollout.Order{Service: "drafts", To: version, Duration: time.Minute}}
}

// Guards against requests to a new version at an entry that learns of its targets before it learns of the order.
func TestNewVersionWaitsUntilTheOrdersAreKnown(t *testing.T) {
	for _, each := range []struct {
		name  string
		learn func(f *fixture)
		want  int
	}{
		{"nothing", func(*fixture) {}, 1},
		{"orders known", func(f *fixture) { f.confirmRollouts(time.Now()) }, 2},
		{"too long", func(f *fixture) {
			time.Sleep(maxVersionHold)
			f.publish()
		}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newRolloutFixture()
			f.applyList(time.Now(), f.targetObject(versioned("a", "x:1", "v1")))
			f.confirmRollouts(time.Now())
			f.applyChanges(time.Now(), f.targetObject(versioned("b", "x:2", "v2")))
			is.Equal(f.availableIDs(), []string{"a"})
			f.applyChanges(time.Now(), f.targetObject(versioned("c", "x:3", "v1"))) // of a version that serves
			is.Equal(f.availableIDs(), []string{"a", "c"})
			each.learn(f)
			t.Log(each.name)
			is.Equal(len(f.availableIDs()), each.want+1)
		})
	}
}

// Guards against a service without targets since an order may exist.
func TestNewVersionGetsWorkIfThereIsNoOther(t *testing.T) {
	is := is.New(t)
	f := newRolloutFixture()
	f.applyList(time.Now(), f.targetObject(versioned("a", "x:1", "v2")))
	is.Equal(f.availableIDs(), []string{"a"})
}

// Guards against an entry that starts in the middle of a rollout and sends to both versions until it has read the order, and against one
// that never serves since the orders can't be read.
func TestStartedEntryServesOnceItKnowsTheOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, known := range []bool{true, false} {
			f := newRolloutFixture()
			f.applyPart(Part{Kind: KindConfiguration, Revision: 1, Objects: []objects.Object{
				{Kind: KindConfiguration, Name: "main", Revision: 1, Value: []byte(`{"Version":1}`)},
			}}, time.Now())
			f.applyList(time.Now(), f.targetObject(versioned("a", "x:1", "v1")))
			is.True(!f.Snapshot().Ready())
			if known {
				f.applyRollout(time.Now(), orderTo("v2"))
				is.Equal(f.Snapshot().Rollout("drafts").Order.To, "v2")
			} else {
				time.Sleep(maxVersionHold)
				f.publish()
			}
			is.True(f.Snapshot().Ready())
		}
	})
}

// Guards against a deadline that moves with each write of the status or with the clock of another entry, and against an order that takes over that of the one before.
func TestTimeOfAnOrder(t *testing.T) {
	is := is.New(t)
	f := newRolloutFixture()
	ordered := func() time.Time { return f.Snapshot().Rollout("drafts").Order.Ordered }
	f.applyRollout(testStart, orderTo("v2"))
	is.True(ordered().Equal(testStart))
	f.applyRollout(testStart.Add(time.Second), orderTo("v2"))
	is.True(ordered().Equal(testStart))
	told := orderTo("v2")
	told.Order.Ordered = testStart.Add(-time.Second).UTC()
	f.applyRollout(testStart.Add(2*time.Second), told)
	is.True(ordered().Equal(testStart)) // its own clock
	later := newRolloutFixture()
	later.applyRollout(testStart.Add(2*time.Second), told)
	is.True(later.Snapshot().Rollout("drafts").Order.Ordered.Equal(told.Order.Ordered))
	told.Order.Ordered = testStart.Add(time.Hour).UTC() // by a clock that is wrong
	f.applyRollout(testStart.Add(2*time.Second), told)
	is.True(ordered().Equal(testStart))
	ahead := newRolloutFixture()
	ahead.applyRollout(testStart.Add(2*time.Second), told)
	is.True(ahead.Snapshot().Rollout("drafts").Order.Ordered.Equal(testStart.Add(2 * time.Second)))
	f.applyRollout(testStart.Add(3*time.Second), orderTo("v3"))
	is.True(ordered().Equal(testStart.Add(3 * time.Second)))
	f.applyRollout(testStart.Add(4*time.Second), Rollout{Name: "drafts"}) // can't be decoded
	is.True(f.Snapshot().Rollout("drafts") == nil)
}

// Guards against a part that an entry of a former build, or one without rollouts, can't take.
func TestOnlyReadersOfRolloutsGetThem(t *testing.T) {
	is := is.New(t)
	f := newRolloutFixture()
	f.applyList(testStart)
	f.applyRollout(testStart, orderTo("v2"))
	for _, each := range []struct {
		known map[string]int64
		want  int
	}{{map[string]int64{KindConfiguration: 0, KindTarget: 0}, 0}, {map[string]int64{KindConfiguration: 0, KindTarget: 0, KindRollout: 0}, 1}} {
		parts := 0
		for _, part := range f.Feed().Since(t.Context(), FeedQuery{Revisions: each.known}) {
			if part.Kind == KindRollout {
				parts++
			}
		}
		is.Equal(parts, each.want)
	}
}

// countingStore counts the calls by kind and call. A watch answers after its wait.
type countingStore struct {
	mu    sync.Mutex
	calls map[string]int
}

func (s *countingStore) answer(ctx context.Context, kind, call string, takes time.Duration) (objects.List, error) {
	s.mu.Lock()
	s.calls[kind+" "+call]++
	s.mu.Unlock()
	_ = wait.For(ctx, takes)
	return objects.List{Revision: 1}, ctx.Err()
}

func (s *countingStore) List(ctx context.Context, kind string) (objects.List, error) {
	return s.answer(ctx, kind, "list", time.Millisecond)
}

func (s *countingStore) ListStale(ctx context.Context, kind string) (objects.List, error) {
	return s.answer(ctx, kind, "stale", time.Millisecond)
}

func (s *countingStore) Watch(ctx context.Context, kind string, _ int64, wait time.Duration) (objects.List, error) {
	return s.answer(ctx, kind, "watch", wait)
}

// formerPeers are entries whose feeds have no rollouts, or with rollouts. They record which kinds they were asked for.
type formerPeers struct {
	withRollouts bool
	asked        map[string]bool
	queries      int
}

func (p *formerPeers) Since(ctx context.Context, _ membership.Peer, query FeedQuery) ([]Part, error) {
	p.queries++
	var parts []Part
	for kind := range query.Revisions {
		p.asked[kind] = true
		if kind != KindRollout || p.withRollouts {
			parts = append(parts, Part{Kind: kind, Revision: 1})
		}
	}
	return parts, wait.For(ctx, query.Wait)
}

// Guards against calls of all entries to the store while some are of a former build, beyond a stale list now and then, and against any
// call or question by an entry that carries out no rollouts.
func TestRolloutsAreReadFromTheStoreOnlyIfPeersLackThem(t *testing.T) {
	const lasts = 20 * time.Second
	run := func(decoder RolloutDecoder, withRollouts bool) (*countingStore, *formerPeers) {
		store := &countingStore{calls: map[string]int{}}
		peers := &formerPeers{withRollouts: withRollouts, asked: map[string]bool{}}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), lasts)
			defer cancel()
			manager := NewManager(Options{Store: store, Decoder: jsonDecoder{}, Rollouts: decoder, Peers: peers, View: newFleetView()})
			_ = manager.Run(ctx)
		})
		return store, peers
	}
	is := is.New(t)
	plain, asked := run(nil, true)
	is.True(!asked.asked[KindRollout])
	for call := range plain.calls {
		is.True(call == "configuration list" || call == "configuration watch" || call == "target list" || call == "target watch")
	}

	served, _ := run(rolloutDecoder{}, true)
	is.Equal(served.calls["rollout stale"], 0)
	is.True(served.calls["rollout list"] <= 1)
	is.True(served.calls["rollout watch"] <= 1) // begun before the peer was found
	is.Equal(served.calls["target list"], plain.calls["target list"])

	unserved, peers := run(rolloutDecoder{}, false)
	stale := unserved.calls["rollout stale"]
	t.Logf("calls in %v: without rollouts %v; peers with them %v; peers of a former build %v", lasts, plain.calls, served.calls, unserved.calls)
	is.True(stale > 0 && stale <= int(lasts/stalePollInterval)+1)
	is.True(unserved.calls["rollout watch"] <= 1)
	is.Equal(unserved.calls["target watch"], plain.calls["target watch"]) // the rest still comes from the peer
	is.True(peers.queries <= int(lasts/peerPollInterval)+1)
}

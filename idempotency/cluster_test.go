package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/objects/writelimit"
)

// fakeStore is a platform with latency, lost replies and outages.
type fakeStore struct {
	mu            sync.Mutex
	random        *rand.Rand
	objects       map[string]objects.Object
	revision      int64
	latency       time.Duration
	lostReplyRate float64 // share of the writes whose reply is lost
	down          bool    // fails every request
	hangs         bool    // never replies
	puts          int
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, 1)), objects: map[string]objects.Object{}, latency: 3 * time.Millisecond}
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// simulateRequest waits for the latency and returns an error in an outage.
func (s *fakeStore) simulateRequest(ctx context.Context) error {
	s.mu.Lock()
	latency, down, hangs := s.latency, s.down, s.hangs
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return errors.New("no answer")
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return errors.New("no answer")
	}
	if down {
		return objects.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := s.simulateRequest(ctx); err != nil {
		return objects.Object{}, objects.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) List(ctx context.Context, kind string) (objects.List, error) {
	if err := s.simulateRequest(ctx); err != nil {
		return objects.List{}, objects.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list objects.List
	for _, object := range s.objects {
		if object.Kind == kind {
			list.Items = append(list.Items, object)
		}
	}
	return list, nil
}

func (s *fakeStore) Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	if err := s.simulateRequest(ctx); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	present := s.objects[kind+"/"+name].Revision
	if present != expected {
		return objects.Object{}, &objects.ConflictError{Kind: kind, Name: name, Expected: expected, Present: present}
	}
	s.revision++
	object := objects.Object{Kind: kind, Name: name, Revision: s.revision, Value: append([]byte(nil), value...)}
	s.objects[kind+"/"+name] = object
	if s.random.Float64() < s.lostReplyRate {
		return objects.Object{}, objects.ErrUnknownOutcome
	}
	return object, nil
}

func (s *fakeStore) Delete(_ context.Context, kind, name string, expected int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind+"/"+name].Revision != expected {
		return &objects.ConflictError{Kind: kind, Name: name, Expected: expected}
	}
	delete(s.objects, kind+"/"+name)
	return nil
}

// cluster is a set of ledgers that reach each other unless one is dead.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	ledgers map[string]*Ledger
	mu      sync.Mutex
	dead    map[string]bool
	cancel  map[string]context.CancelFunc
	names   []string
}

func (c *cluster) Live() []membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []membership.Peer
	for _, name := range c.names {
		if !c.dead[name] {
			live = append(live, membership.Peer{Name: name})
		}
	}
	return live
}

// entryView is the membership view of one entry.
type entryView struct {
	*cluster
	name string
}

func (v entryView) Self() membership.Peer { return membership.Peer{Name: v.name} }

var errDead = errors.New("entry is dead")

func (c *cluster) liveLedger(name string) (*Ledger, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[name] {
		return nil, errDead
	}
	return c.ledgers[name], nil
}

func (c *cluster) Claim(ctx context.Context, peer membership.Peer, call ClaimCall) (Reply, error) {
	ledger, err := c.liveLedger(peer.Name)
	if err != nil {
		return Reply{}, err
	}
	return ledger.HandleClaim(ctx, call), nil
}

func (c *cluster) Complete(ctx context.Context, peer membership.Peer, call CompleteCall) ([]Reply, error) {
	ledger, err := c.liveLedger(peer.Name)
	if err != nil {
		return nil, err
	}
	return ledger.HandleComplete(ctx, call), nil
}

func (c *cluster) Await(ctx context.Context, peer membership.Peer, call AwaitCall) (AwaitReply, error) {
	ledger, err := c.liveLedger(peer.Name)
	if err != nil {
		return AwaitReply{}, err
	}
	return ledger.HandleAwait(ctx, call)
}

func newCluster(t *testing.T, entries int, change func(*Options)) *cluster {
	c := &cluster{
		t: t, store: newFakeStore(1), ledgers: map[string]*Ledger{},
		dead: map[string]bool{}, cancel: map[string]context.CancelFunc{},
	}
	for i := range entries {
		c.names = append(c.names, fmt.Sprint("e", i))
	}
	for _, name := range c.names {
		c.start(name, change)
	}
	return c
}

func (c *cluster) start(name string, change func(*Options)) {
	options := Options{Store: c.store, Peers: c, View: entryView{c, name}, Budget: writelimit.NewLimiter(200, 10), Shards: 2}
	if change != nil {
		change(&options)
	}
	ledger := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.ledgers[name] = ledger
	c.cancel[name] = cancel
	c.dead[name] = false
	c.mu.Unlock()
	go ledger.Run(ctx)
}

func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead[name] = true
	c.cancel[name]()
}

func (c *cluster) stop() {
	for _, name := range c.names {
		c.kill(name)
	}
	synctest.Wait()
}

// inCluster runs a test in a synctest bubble, so that waiting takes no real time.
func inCluster(t *testing.T, entries int, change func(*Options), test func(*is.I, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, entries, change)
		test(is.New(t), c)
		c.stop()
	})
}

func claimAt(c *cluster, name, key string) (*Attempt, Reply) {
	ledger := c.ledgers[name]
	attempt, _ := ledger.Begin(NewKey("c", key), NewFingerprint("d", "POST", "/", []byte(key)))
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return attempt, ledger.Claim(ctx, attempt, "")
}

func answer(text string) *Answer { return &Answer{Status: 200, Body: []byte(text)} }

func TestRetryThroughAnotherEntryGetsTheStoredAnswer(t *testing.T) {
	inCluster(t, 3, nil, func(is *is.I, c *cluster) {
		attempt, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictGranted)
		_, second := claimAt(c, "e1", "k")
		is.Equal(second.Verdict, VerdictHeld)
		c.ledgers["e0"].Finish(attempt, StateAnswered, answer("weighed"))
		outcome, err := c.ledgers["e1"].Await(context.Background(), second.Record)
		is.NoErr(err)
		is.Equal(string(outcome.Record.Answer.Body), "weighed")
		time.Sleep(time.Second) // until the outcome is written
		c.kill("e0")
		_, third := claimAt(c, "e2", "k")
		is.Equal(third.Verdict, VerdictFinished)
		is.Equal(string(third.Record.Answer.Body), "weighed")
	})
}

func TestClaimOutlivesEveryEntry(t *testing.T) {
	inCluster(t, 2, nil, func(is *is.I, c *cluster) {
		_, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictGranted)
		c.kill("e0")
		c.kill("e1")
		c.start("e1", nil)
		_, second := claimAt(c, "e1", "k")
		is.Equal(second.Verdict, VerdictHeld)
		outcome, err := c.ledgers["e1"].Await(context.Background(), second.Record)
		is.NoErr(err)
		is.Equal(outcome.Verdict, AwaitLost)
		c.start("e0", nil) // a new process of the same entry does not know the call either
		outcome, err = c.ledgers["e1"].Await(context.Background(), second.Record)
		is.NoErr(err)
		is.Equal(outcome.Verdict, AwaitLost)
	})
}

func TestSameKeyWithAnotherBodyIsRefused(t *testing.T) {
	inCluster(t, 2, nil, func(is *is.I, c *cluster) {
		_, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictGranted)
		other, _ := c.ledgers["e1"].Begin(NewKey("c", "k"), NewFingerprint("d", "POST", "/", []byte("other")))
		is.Equal(c.ledgers["e1"].Claim(context.Background(), other, "").Verdict, VerdictMismatch)
	})
}

func TestWritesWithLostRepliesAreReadBack(t *testing.T) {
	inCluster(t, 3, nil, func(is *is.I, c *cluster) {
		c.store.update(func(s *fakeStore) { s.lostReplyRate = 0.5 })
		for i := range 40 {
			_, reply := claimAt(c, fmt.Sprint("e", i%3), fmt.Sprint("k", i))
			is.Equal(reply.Verdict, VerdictGranted)
		}
	})
}

func TestAbandonedClaimCanBeSuperseded(t *testing.T) {
	inCluster(t, 3, nil, func(is *is.I, c *cluster) {
		attempt, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictGranted)
		c.ledgers["e0"].Abandon(attempt)
		second, held := claimAt(c, "e1", "k")
		is.Equal(held.Verdict, VerdictHeld)
		outcome, err := c.ledgers["e1"].Await(context.Background(), held.Record)
		is.NoErr(err)
		is.Equal(outcome.Verdict, AwaitAbsent)
		is.Equal(c.ledgers["e1"].Claim(context.Background(), second, held.Record.Attempt).Verdict, VerdictGranted)
	})
}

func TestOutageIsReportedAtOnceAndOutcomesAreWrittenAfterIt(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		inCluster(t, 3, nil, func(is *is.I, c *cluster) {
			attempt, reply := claimAt(c, "e0", "k")
			is.Equal(reply.Verdict, VerdictGranted)
			c.store.update(func(s *fakeStore) { s.down, s.hangs = !hangs, hangs })
			start := time.Now()
			_, caught := claimAt(c, "e1", "k1")
			is.Equal(caught.Verdict, VerdictUnavailable)
			is.True(time.Since(start) <= 3*time.Second) // as soon as the write has timed out
			for _, name := range c.names {              // until every owner has found the outage
				claimAt(c, name, "k2"+name)
			}
			time.Sleep(5 * time.Second)
			start = time.Now()
			_, refused := claimAt(c, "e2", "k1")
			is.Equal(refused.Verdict, VerdictUnavailable)
			is.True(time.Since(start) <= 100*time.Millisecond) // the outage is known
			c.ledgers["e0"].Finish(attempt, StateAnswered, answer("weighed"))
			time.Sleep(20 * time.Second)
			c.store.update(func(s *fakeStore) { s.down, s.hangs = false, false })
			time.Sleep(2 * time.Second) // until the end of the outage is found
			_, again := claimAt(c, "e1", "k3")
			is.Equal(again.Verdict, VerdictGranted)
			c.kill("e0")
			_, stored := claimAt(c, "e2", "k")
			is.Equal(stored.Verdict, VerdictFinished)
		})
	}
}

func TestInvalidContentIsNeverTreatedAsEmpty(t *testing.T) {
	inCluster(t, 2, func(o *Options) { o.Shards = 1 }, func(is *is.I, c *cluster) {
		_, err := c.store.Put(context.Background(), KindHead, HeadName(0), 0, []byte(`{}`))
		is.NoErr(err)
		_, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictCorrupt)
		c.store.update(func(s *fakeStore) { // the head is lost, an archive remains
			delete(s.objects, KindHead+"/"+HeadName(0))
			s.objects[KindArchive+"/x"] = objects.Object{Kind: KindArchive, Name: HeadName(0) + "-x", Revision: 1}
		})
		_, reply = claimAt(c, "e1", "k")
		is.Equal(reply.Verdict, VerdictCorrupt)
	})
}

func TestArchivesKeepEveryKeyAcrossTakeoverAndRetention(t *testing.T) {
	small := func(o *Options) {
		o.Shards = 1
		o.HeadBytes = 2000
		o.Retention = time.Hour
	}
	inCluster(t, 2, small, func(is *is.I, c *cluster) {
		const keys = 300
		for i := range keys {
			attempt, reply := claimAt(c, "e0", fmt.Sprint("k", i))
			is.Equal(reply.Verdict, VerdictGranted)
			c.ledgers["e0"].Finish(attempt, StateAnswered, answer(fmt.Sprint(i)))
		}
		time.Sleep(5 * time.Second)
		c.kill("e0")
		for i := range keys {
			_, reply := claimAt(c, "e1", fmt.Sprint("k", i))
			is.Equal(reply.Verdict, VerdictFinished)
			is.Equal(string(reply.Record.Answer.Body), fmt.Sprint(i))
		}
		list, err := c.store.List(context.Background(), KindArchive)
		is.NoErr(err)
		is.True(len(list.Items) > 0 && len(list.Items) < 2*compactCount) // small ones are merged
		time.Sleep(2 * time.Hour)
		for i := range 200 { // traffic that causes archiving, and so the expiry of old records
			claimAt(c, "e1", fmt.Sprint("new", i))
		}
		_, reply := claimAt(c, "e1", "k0")
		is.Equal(reply.Verdict, VerdictGranted) // older than the retention: forgotten
	})
}

func TestShutdownHandsShardsOver(t *testing.T) {
	inCluster(t, 2, nil, func(is *is.I, c *cluster) {
		for i := range 20 {
			attempt, reply := claimAt(c, "e0", fmt.Sprint("k", i))
			is.Equal(reply.Verdict, VerdictGranted)
			c.ledgers["e0"].Finish(attempt, StateAnswered, answer("x"))
		}
		is.NoErr(c.ledgers["e0"].Drain(context.Background()))
		is.Equal(c.ledgers["e0"].OwnedShards(), 0)
		start := time.Now()
		for i := range 20 {
			_, reply := claimAt(c, "e1", fmt.Sprint("k", i))
			is.Equal(reply.Verdict, VerdictFinished)
		}
		is.True(time.Since(start) < DefaultLeaseDuration) // the next owner did not wait for a lease
		is.Equal(c.ledgers["e0"].OwnedShards(), 0)        // and the draining entry did not take the shard again
	})
}

// partitionedStore is the platform as seen by an entry that may be cut off from it.
type partitionedStore struct {
	*fakeStore
	mu          sync.Mutex
	partitioned bool
}

func (s *partitionedStore) Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	s.mu.Lock()
	partitioned := s.partitioned
	s.mu.Unlock()
	if partitioned {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.fakeStore.Put(ctx, kind, name, expected, value)
}

func TestOwnerThatIsCutOffAloneIsReplaced(t *testing.T) {
	inCluster(t, 3, nil, func(is *is.I, c *cluster) {
		stores := map[string]*partitionedStore{}
		for _, name := range c.names {
			c.kill(name)
			stores[name] = &partitionedStore{fakeStore: c.store}
			c.start(name, func(o *Options) { o.Store = stores[name] })
		}
		_, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictGranted)
		shard := NewKey("c", "k").Shard(2)
		owner := c.ledgers["e0"].preferredOwner(shard, "")
		stores[owner].mu.Lock()
		stores[owner].partitioned = true
		stores[owner].mu.Unlock()
		granted := 0
		for i := range 60 {
			if _, reply := claimAt(c, "e1", fmt.Sprint("c", i)); reply.Verdict == VerdictGranted {
				granted++
			}
		}
		is.True(granted >= 55) // only the claims that detected the partition were rejected
		_, again := claimAt(c, "e2", "k")
		is.Equal(again.Verdict, VerdictHeld) // the new owner has loaded the old claims
	})
}

// A paused holder does not reply, so Await must not wait for its reply any longer than membership
// sees it alive.
func TestAwaitEndsOnceMembershipReportsTheHolderDead(t *testing.T) {
	inCluster(t, 3, nil, func(is *is.I, c *cluster) {
		_, reply := claimAt(c, "e0", "k")
		is.Equal(reply.Verdict, VerdictGranted)
		_, held := claimAt(c, "e1", "k")
		is.Equal(held.Verdict, VerdictHeld)
		time.AfterFunc(time.Second, func() { c.kill("e0") })
		start := time.Now()
		outcome, err := c.ledgers["e1"].Await(context.Background(), held.Record)
		is.NoErr(err)
		is.Equal(outcome.Verdict, AwaitLost)
		is.True(time.Since(start) <= 1200*time.Millisecond)
	})
}

func TestEntryWithAnotherShardCountIsRejected(t *testing.T) {
	inCluster(t, 2, func(o *Options) { o.Shards = 4 }, func(is *is.I, c *cluster) {
		_, reply := claimAt(c, "e0", "first")
		is.Equal(reply.Verdict, VerdictGranted)
		c.kill("e0")
		c.kill("e1")
		c.start("e1", func(o *Options) { o.Shards = 8 })
		for i := range 20 {
			_, reply := claimAt(c, "e1", fmt.Sprint("key", i))
			is.Equal(reply.Verdict, VerdictCorrupt)
		}
	})
}

// An owner that was replaced without noticing must not delete what the next owner has archived.
func TestDeletingUnlistedArchivesKeepsThoseNewerThanTheHead(t *testing.T) {
	inCluster(t, 1, nil, func(is *is.I, c *cluster) {
		const headRevision = 5
		c.store.update(func(s *fakeStore) {
			for name, revision := range map[string]int64{"-left-behind": headRevision - 1, "-of-the-next-owner": headRevision + 1} {
				full := HeadName(0) + name
				s.objects[KindArchive+"/"+full] = objects.Object{Kind: KindArchive, Name: full, Revision: revision}
			}
		})
		o := c.ledgers["e0"].owners[0]
		o.maintenance.deleteUnlisted(context.Background(), o, EmptyHead(0, 2), headRevision)
		list, err := c.store.List(context.Background(), KindArchive)
		is.NoErr(err)
		is.Equal(len(list.Items), 1)
		is.Equal(list.Items[0].Revision, int64(headRevision+1))
	})
}

// slowLinkStore is the platform behind a link that transfers one archive at a time, each in archiveTransfer.
type slowLinkStore struct {
	*fakeStore
	mu     sync.Mutex
	freeAt time.Time
}

// archiveTransfer is the time that an archive of maxArchiveBytes takes at 1.25 MB/s.
const archiveTransfer = maxArchiveBytes * time.Second / 1_250_000

func (s *slowLinkStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if kind == KindArchive {
		s.mu.Lock()
		if s.freeAt.Before(time.Now()) {
			s.freeAt = time.Now()
		}
		s.freeAt = s.freeAt.Add(archiveTransfer)
		end := s.freeAt
		s.mu.Unlock()
		if wait.For(ctx, time.Until(end)) != nil {
			return objects.Object{}, objects.ErrUnavailable
		}
	}
	return s.fakeStore.Get(ctx, kind, name)
}

// Guards against a takeover whose reads of archives share the link, are all cut, and start again for ever.
func TestShardWithManyLargeArchivesIsLoadedOverASlowLink(t *testing.T) {
	const archives = 32
	oneShard := func(o *Options) { o.Shards = 1 }
	inCluster(t, 1, oneShard, func(is *is.I, c *cluster) {
		defer c.stop()
		c.kill("e0")
		head := EmptyHead(0, 1)
		for i := range archives {
			record := sampleRecord(fmt.Sprint(i), StateAnswered)
			record.Key, record.ClaimedAtMs = NewKey("c", fmt.Sprint(i)), time.Now().UnixMilli()
			record.Fingerprint = NewFingerprint("d", "POST", "/", []byte(fmt.Sprint(i)))
			value, ref, err := EncodeArchive(fmt.Sprintf("%s-%02d", HeadName(0), i), 0, 1, []Record{record})
			is.NoErr(err)
			ref.Bytes = maxArchiveBytes
			head.Archives = append(head.Archives, ref)
			_, err = c.store.Put(context.Background(), KindArchive, ref.Name, objects.MustNotExist, value)
			is.NoErr(err)
		}
		value, err := head.Encode()
		is.NoErr(err)
		_, err = c.store.Put(context.Background(), KindHead, HeadName(0), objects.MustNotExist, value)
		is.NoErr(err)
		c.start("e0", func(o *Options) {
			oneShard(o)
			o.Store = &slowLinkStore{fakeStore: c.store}
		})
		start := time.Now()
		_, reply := claimAt(c, "e0", "0")
		for reply.Verdict != VerdictFinished && time.Since(start) < 2*archives*archiveTransfer {
			time.Sleep(100 * time.Millisecond)
			_, reply = claimAt(c, "e0", "0")
		}
		is.Equal(reply.Verdict, VerdictFinished)
	})
}

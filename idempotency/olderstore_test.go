package idempotency

import (
	"context"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"
)

// copyNow returns a function that brings the store back to its present content. Revisions are given out again.
func (s *fakeStore) copyNow() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, revision := maps.Clone(s.objects), s.revision
	return func() {
		s.update(func(s *fakeStore) { s.objects, s.revision = maps.Clone(kept), revision })
	}
}

// ownerAndOthers returns the owner of the only shard of three entries, and the other two.
func (c *cluster) ownerAndOthers() (owner, holder, other string) {
	ranked := membership.Rank(c.Live(), HeadName(0))
	return ranked[0].Name, ranked[1].Name, ranked[2].Name
}

// faultyStore fails the next reads of heads, and loses the replies to the next writes of heads.
type faultyStore struct {
	*fakeStore
	failedReads, lostReplies atomic.Int32
}

func (s *faultyStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if kind == KindHead && s.failedReads.Add(-1) >= 0 {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.fakeStore.Get(ctx, kind, name)
}

func (s *faultyStore) Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	object, err := s.fakeStore.Put(ctx, kind, name, expected, value)
	if err == nil && kind == KindHead && s.lostReplies.Add(-1) >= 0 {
		return objects.Object{}, objects.ErrUnknownOutcome
	}
	return object, err
}

// Guards against a call that runs again after its claim was acknowledged: the platform is restored from a copy that lacks the claim or
// its outcome, while an entry still knows of it.
func TestAcknowledgedClaimOutlivesAStoreFromAnOlderCopy(t *testing.T) {
	const written = time.Second // until outcomes are in the ledger
	for _, each := range []struct {
		name string
		// unused: the copy is older than the first write. finished: the outcome was recorded before the store was restored.
		unused, finished bool
		// failedReads and lostReplies are the faults of the store as the owner finds out.
		failedReads, lostReplies int32
		// after happens once the store is back.
		after func(c *cluster, owner string)
		want  Verdict
	}{
		{name: "claimed", want: VerdictHeld},
		{name: "first claim of all", unused: true, want: VerdictHeld},
		{name: "answered", finished: true, want: VerdictFinished},
		{name: "answered, and a read fails", finished: true, failedReads: 1, want: VerdictFinished},
		{name: "answered, and the reply of the write is lost", finished: true, lostReplies: 1, want: VerdictFinished},
		{name: "answered, and the owner stops", finished: true, want: VerdictFinished, after: func(c *cluster, owner string) {
			_ = c.ledgers[owner].Drain(context.Background())
			c.kill(owner)
		}},
	} {
		t.Run(each.name, func(t *testing.T) {
			var store *faultyStore
			inCluster(t, 3, func(o *Options) {
				o.Shards = 1
				if store == nil {
					store = &faultyStore{fakeStore: o.Store.(*fakeStore)}
				}
				o.Store = store
			}, func(is *is.I, c *cluster) {
				defer c.stop()
				owner, holder, other := c.ownerAndOthers()
				if !each.unused {
					claimAt(c, holder, "earlier")
				}
				restore := c.store.copyNow()
				attempt, reply := claimAt(c, holder, "k")
				is.Equal(reply.Verdict, VerdictGranted)
				if each.finished {
					c.ledgers[holder].Finish(attempt, StateAnswered, answer("weighed"))
					time.Sleep(written)
				}
				restore()
				store.failedReads.Store(each.failedReads)
				store.lostReplies.Store(each.lostReplies)
				if each.after != nil {
					each.after(c, owner)
				}
				claimAt(c, other, "later") // has the owner write the head
				_, again := claimAt(c, other, "k")
				is.Equal(again.Verdict, each.want)
				c.kill(owner) // what is written again is in the store
				_, again = claimAt(c, other, "k")
				is.Equal(again.Verdict, each.want)
			})
		})
	}
}

// Guards against a head that another entry wrote to a restored store being taken for a former one of the owner's own.
func TestHeadOfAnotherLineIsNotOverwritten(t *testing.T) {
	inCluster(t, 2, func(o *Options) { o.Shards = 1 }, func(is *is.I, c *cluster) {
		defer c.stop()
		for _, key := range []string{"a", "b", "c", "d"} {
			claimAt(c, "e0", key)
		}
		head := EmptyHead(0, 1)
		head.Owner, head.Nonce = Holder{Entry: "x", Incarnation: 1}, "of another line"
		value, err := head.Encode()
		is.NoErr(err)
		c.store.update(func(s *fakeStore) {
			s.revision = 2
			s.objects[KindHead+"/"+HeadName(0)] = objects.Object{Kind: KindHead, Name: HeadName(0), Revision: 2, Value: value}
		})
		_, reply := claimAt(c, "e1", "e")
		is.True(reply.Verdict != VerdictGranted)
		_, reply = claimAt(c, "e1", "a") // nor is what it lacks granted again
		is.True(reply.Verdict != VerdictGranted)
		object, err := c.store.Get(context.Background(), KindHead, HeadName(0))
		is.NoErr(err)
		is.Equal(object.Revision, int64(2))
	})
}

// Guards against a second run of a call whose outcome the ledger has lost with its owner: the holder took every call that it no longer
// kept for one that it never sent.
func TestHolderDisownsOnlyWhatItAbandoned(t *testing.T) {
	inCluster(t, 3, func(o *Options) { o.Shards = 1 }, func(is *is.I, c *cluster) {
		defer c.stop()
		owner, holder, other := c.ownerAndOthers()
		attempt, reply := claimAt(c, holder, "k")
		is.Equal(reply.Verdict, VerdictGranted)
		restore := c.store.copyNow()
		c.ledgers[holder].Finish(attempt, StateAnswered, answer("weighed"))
		time.Sleep(time.Second) // until it is recorded, and the holder no longer keeps it
		restore()
		c.kill(owner)
		_, held := claimAt(c, other, "k")
		is.Equal(held.Verdict, VerdictHeld)
		outcome, err := c.ledgers[other].Await(context.Background(), held.Record)
		is.NoErr(err)
		is.Equal(outcome.Verdict, AwaitRecorded)
	})
}

// Guards against a second run of a call that its holder still runs, or has just answered, while the ledger has lost its claim with the
// owner.
func TestOutcomeIsRecordedAlthoughTheClaimIsLost(t *testing.T) {
	for _, state := range []State{StateAnswered, StateNotRun, StateUnknown} {
		inCluster(t, 3, func(o *Options) { o.Shards = 1 }, func(is *is.I, c *cluster) {
			defer c.stop()
			owner, holder, other := c.ownerAndOthers()
			claimAt(c, holder, "earlier")
			restore := c.store.copyNow()
			attempt, reply := claimAt(c, holder, "k")
			is.Equal(reply.Verdict, VerdictGranted)
			restore()
			c.kill(owner)
			switch state {
			case StateAnswered:
				c.ledgers[holder].Finish(attempt, state, answer("weighed"))
			case StateNotRun:
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				is.True(c.ledgers[holder].FinishNotRun(ctx, attempt))
				cancel()
			default:
				c.ledgers[holder].Finish(attempt, state, nil)
			}
			time.Sleep(2 * time.Second) // until it is recorded
			c.kill(holder)
			_, again := claimAt(c, other, "k")
			is.Equal(again.Verdict, VerdictFinished)
			is.Equal(again.Record.State, state)
		})
	}
}

package journal

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/matryer/is"
)

// slowLink is a network that one entry reaches over a link of linkBytesPerSecond, one batch after the other.
type slowLink struct {
	*network
	// free holds a value while no batch is sent.
	free chan struct{}
}

const linkBytesPerSecond = 1_250_000

// batchBytes is the approximate encoded size of a batch.
func batchBytes(batch Batch) int {
	const recordOverhead, appendOverhead, perToken = 200, 34, 2
	size := 0
	for _, record := range batch.Installs {
		size += recordOverhead
		for _, token := range record.Tokens {
			size += perToken + len(token)
		}
	}
	for _, each := range batch.Appends {
		size += appendOverhead
		for _, token := range each.Tokens {
			size += perToken + len(token)
		}
	}
	return size
}

func (l *slowLink) Exchange(ctx context.Context, peer membership.Peer, batch Batch) (BatchResult, error) {
	select {
	case <-l.free:
	case <-ctx.Done():
		return BatchResult{}, ctx.Err()
	}
	err := wait.For(ctx, time.Duration(batchBytes(batch))*time.Second/linkBytesPerSecond)
	l.free <- struct{}{}
	if err != nil {
		return BatchResult{}, ctx.Err()
	}
	return l.network.Exchange(ctx, peer, batch)
}

// discard is an Observer that ignores all.
type discard struct{}

func (discard) PositionCommitted(int)   {}
func (discard) AttemptRecorded(Attempt) {}
func (discard) Superseded(int)          {}
func (discard) Degraded(bool)           {}

// Guards against a lost replica that is never replaced: its records are sent in one batch, which is cut and repeated.
func TestRecordsOfALostReplicaAreCopiedOverASlowLink(t *testing.T) {
	is := is.New(t)
	missing := 0
	synctest.Test(t, func(t *testing.T) {
		const streams, tokens = 400, 700
		n := newNetwork(4)
		link := &slowLink{network: n, free: make(chan struct{}, 1)}
		link.free <- struct{}{}
		journal := New(Options{
			View:      membership.Static{This: n.peers[0], Peers: n.peers},
			Store:     n.stores["e0"],
			Transport: link,
		})
		var writers []Appender
		for i := range streams {
			writer := journal.StartReplication(newRecord(fmt.Sprint("k", i), "e0"), discard{})
			is.NoErr(writer.WaitForReplicas(t.Context()))
			for range tokens / 10 {
				writer.Append(slices.Repeat([]string{"token"}, 10), "")
				time.Sleep(time.Millisecond)
			}
			writers = append(writers, writer)
		}
		time.Sleep(time.Second)
		lost := "e1"
		n.set(func() { n.down[lost] = true })
		const limit, appendInterval = 4 * time.Second, 200 * time.Millisecond
		for range limit / appendInterval {
			for _, writer := range writers {
				writer.Append([]string{"token"}, "")
			}
			time.Sleep(appendInterval)
		}
		for i := range writers {
			holders := n.holders(fmt.Sprint("k", i))
			delete(holders, lost)
			if len(holders) < replicaCount {
				missing++
			}
		}
		time.Sleep(time.Minute) // the senders end
	})
	is.Equal(missing, 0)
}

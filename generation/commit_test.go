package generation

import (
	"context"
	"testing"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/matryer/is"
)

// crashBeforeReplication disconnects an entry from its replicas, lets the engine send the next token and
// crashes the entry before it gives up on the replicas. It returns the error of the caller's retry.
func crashBeforeReplication(ctx context.Context, is *is.I, c *fakeCluster) error {
	request := testRequest("k", v1.PreferLatency)
	reader, err := c.entries["e0"].manager.Open(ctx, request, nil)
	is.NoErr(err)
	var got answer
	is.NoErr(got.read(ctx, reader, 10))
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	for _, peer := range c.peers {
		c.paused[peer.Name] = peer.Name != "e0" // the network delivers nothing
	}
	c.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, 45*time.Millisecond)
	defer cancel()
	_ = got.read(readCtx, reader, -1) // ends with the timeout
	c.kill("e0")
	c.mu.Lock()
	clear(c.paused)
	c.mu.Unlock()
	reader, err = c.entries["e1"].manager.Open(ctx, request, got.last)
	if err != nil {
		return err
	}
	defer reader.Close()
	if err := got.read(ctx, reader, -1); err != nil {
		return err
	}
	return checkChain(got.tokens)
}

func TestCallerSeesOnlyWhatAReplicaHolds(t *testing.T) {
	scenario(t, 2, func(t *testing.T, is *is.I, c *fakeCluster) {
		is.NoErr(crashBeforeReplication(t.Context(), is, c))
	})
}

// readWithLostToken reads an answer whose stream loses one token, once.
func readWithLostToken(ctx context.Context, is *is.I, c *fakeCluster) error {
	lost := false
	c.engine.mangle = func(e StreamEvent) []StreamEvent {
		if e.Token.Index == 7 && !lost {
			lost = true
			return nil
		}
		return []StreamEvent{e}
	}
	reader, err := c.entries["e0"].manager.Open(ctx, testRequest("k", v1.PreferCost), nil)
	is.NoErr(err)
	defer reader.Close()
	var got answer
	if err := got.read(ctx, reader, -1); err != nil {
		return err
	}
	return checkChain(got.tokens)
}

func TestLostTokenIsReadAgain(t *testing.T) {
	scenario(t, 1, func(t *testing.T, is *is.I, c *fakeCluster) {
		is.NoErr(readWithLostToken(t.Context(), is, c))
	})
}

// TestStaleAttemptIsNotAttachedBeyondWhatItShares guards against a log that mixes the output of two
// attempts. The first target continues while a speculative attempt starts, so that both have different
// tokens at the same index. The second is then too slow with its first token and is attached to again.
// This must start at the index up to which its output equals the log, not at the end of the log.
func TestStaleAttemptIsNotAttachedBeyondWhatItShares(t *testing.T) {
	scenario(t, 3, func(t *testing.T, is *is.I, c *fakeCluster) {
		reader, err := c.entries["e0"].manager.Open(t.Context(), testRequest("k", v1.PreferLatency), nil)
		is.NoErr(err)
		defer reader.Close()
		var got answer
		is.NoErr(got.read(t.Context(), reader, 20))
		c.engine.mu.Lock()
		c.engine.chooseDelay = 400 * time.Millisecond // prolongs the start
		c.engine.acceptDelay = 240 * time.Millisecond
		c.engine.targets["t1"].gap = 2200 * time.Millisecond
		c.engine.mu.Unlock()
		c.engine.pause("t0", true)
		time.Sleep(160 * time.Millisecond) // the speculative attempt starts
		c.engine.pause("t0", false)
		is.NoErr(got.read(t.Context(), reader, 21))
		c.engine.pause("t0", true)
		time.Sleep(time.Second)
		c.engine.mu.Lock()
		c.engine.targets["t1"].gap = tokenGap // after the first token
		c.engine.mu.Unlock()
		is.NoErr(got.read(t.Context(), reader, 24))
		c.engine.pause("t0", false)
		is.NoErr(got.read(t.Context(), reader, -1))
		got.check(is, 60)
		is.True(c.entries["e0"].manager.Stats().Attached.Load() > 0)
	})
}

package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

var errNoSuchPeer = errors.New("no such entry is alive")

const (
	// completeInterval is how long outcomes are collected before they are sent to the shard owner.
	completeInterval = 20 * time.Millisecond
	// completeRetryPause is the pause before outcomes that were not recorded are sent again.
	completeRetryPause = 200 * time.Millisecond
	// completeTimeout is the timeout of one request to the shard owner.
	completeTimeout = 3 * time.Second
	// maxCompleteRequests bounds the number of outcomes in one request to the shard owner.
	maxCompleteRequests = 500
)

// completion is the outcome of a call that is not yet recorded in the ledger.
type completion struct {
	attempt *Attempt
	request CompleteRequest
}

// completer sends the outcomes of this process's calls to the shard owners until they are recorded.
type completer struct {
	ledger *Ledger
	wake   []chan struct{}

	mu    sync.Mutex
	queue [][]completion
}

func newCompleter(ledger *Ledger) *completer {
	c := &completer{ledger: ledger, queue: make([][]completion, ledger.options.Shards)}
	for range ledger.options.Shards {
		c.wake = append(c.wake, make(chan struct{}, 1))
	}
	return c
}

func (c *completer) add(attempt *Attempt, request CompleteRequest) {
	shard := attempt.Key.Shard(c.ledger.options.Shards)
	c.mu.Lock()
	c.queue[shard] = append(c.queue[shard], completion{attempt, request})
	c.mu.Unlock()
	select {
	case c.wake[shard] <- struct{}{}:
	default:
	}
}

func (c *completer) run(ctx context.Context, shard int) {
	pause := completeInterval
	for {
		if !c.waitForQueue(ctx, shard, pause) {
			return
		}
		pause = completeInterval
		if !c.sendQueued(ctx, shard) {
			pause = completeRetryPause
		}
	}
}

// waitForQueue waits for the pause, then until the shard's queue has outcomes. It returns false if
// ctx ends first.
func (c *completer) waitForQueue(ctx context.Context, shard int, pause time.Duration) bool {
	if wait.For(ctx, pause) != nil {
		return false
	}
	c.mu.Lock()
	empty := len(c.queue[shard]) == 0
	c.mu.Unlock()
	if !empty {
		return true
	}
	select {
	case <-c.wake[shard]:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendQueued sends queued outcomes of a shard in one request. It reports whether none of them must
// be sent again.
func (c *completer) sendQueued(ctx context.Context, shard int) bool {
	c.mu.Lock()
	taken := c.queue[shard]
	taken = taken[:min(len(taken), maxCompleteRequests)]
	c.queue[shard] = append([]completion(nil), c.queue[shard][len(taken):]...)
	c.mu.Unlock()
	if len(taken) == 0 {
		return true
	}
	call := CompleteCall{Shard: shard}
	for _, item := range taken {
		call.Requests = append(call.Requests, item.request)
	}
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	replies := c.ledger.routeComplete(ctx, call)
	c.claimAgain(ctx, taken, replies)
	return c.handleReplies(shard, taken, replies)
}

// maxClaimsAtOnce limits the claims that are made again at the same time.
const maxClaimsAtOnce = 64

// claimAgain claims the calls of which the ledger has no claim: it had when they were dispatched, so that the platform was restored
// from an older copy. It replaces the replies by VerdictUnavailable where the outcome is to be sent again.
func (c *completer) claimAgain(ctx context.Context, taken []completion, replies []Reply) {
	var group errgroup.Group
	group.SetLimit(maxClaimsAtOnce)
	for i, item := range taken {
		if replies[i].Verdict != VerdictAbsent {
			continue
		}
		group.Go(func() error {
			reply := c.ledger.Claim(ctx, item.attempt, "")
			if reply.Verdict == VerdictGranted || reply.Verdict == VerdictUnavailable {
				replies[i].Verdict = VerdictUnavailable
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// handleReplies removes the attempts on whose outcome the ledger has decided, and queues the other
// outcomes again. It reports whether there are no others.
func (c *completer) handleReplies(shard int, taken []completion, replies []Reply) bool {
	var remaining []completion
	for i, item := range taken {
		verdict := replies[i].Verdict
		if verdict == VerdictFinished || verdict == VerdictAbsent {
			c.ledger.attempts.removeDecided(item.attempt, verdict == VerdictFinished)
			continue
		}
		remaining = append(remaining, item)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue[shard] = append(remaining, c.queue[shard]...)
	return len(remaining) == 0
}

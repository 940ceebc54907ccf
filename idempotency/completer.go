package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

var errNoSuchPeer = errors.New("no such entry is alive")

const (
	// completeInterval is how long ends of calls are gathered before they go to the owner.
	completeInterval = 20 * time.Millisecond
	// completeRetryPause is the time before ends that were not recorded are sent again.
	completeRetryPause = 200 * time.Millisecond
	// completeTimeout bounds one request to the owner.
	completeTimeout = 3 * time.Second
	// completeCount bounds the ends in one request to the owner.
	completeCount = 500
)

// completion is an end of a call on its way to the ledger.
type completion struct {
	attempt *Attempt
	request CompleteRequest
}

// completer sends the ends of this process's calls to the owners until they are recorded.
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
		if !c.wait(ctx, shard, pause) {
			return
		}
		pause = completeInterval
		if !c.send(ctx, shard) {
			pause = completeRetryPause
		}
	}
}

// wait returns after the pause, when something is in the queue.
func (c *completer) wait(ctx context.Context, shard int, pause time.Duration) bool {
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

func (c *completer) send(ctx context.Context, shard int) bool {
	c.mu.Lock()
	taken := c.queue[shard]
	taken = taken[:min(len(taken), completeCount)]
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
	return c.settle(shard, taken, replies)
}

// settle forgets the attempts whose end is recorded and queues the others again.
func (c *completer) settle(shard int, taken []completion, replies []Reply) bool {
	var left []completion
	for i, item := range taken {
		verdict := replies[i].Verdict
		if verdict == VerdictFinished || verdict == VerdictAbsent {
			c.ledger.attempts.settle(item.attempt, verdict == VerdictFinished)
			continue
		}
		left = append(left, item)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue[shard] = append(left, c.queue[shard]...)
	return len(left) == 0
}

package generation

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/journal"
)

// Peers is the port to the managers of the other entries.
type Peers interface {
	// Tail reads a generation at the entry that produces it; ErrNotProducer if that entry does not.
	Tail(ctx context.Context, entry string, request TailRequest) (TailReply, error)
}

// TailRequest asks a producer for committed positions.
type TailRequest struct {
	Key      string
	BodyHash string
	// From is the first position to return.
	From int
	// Wait is how long the producer waits for that position before it replies.
	Wait time.Duration
}

// TailReply holds the committed positions from TailRequest.From on.
type TailReply struct {
	// Opening is set if the entry does not know yet whether it will produce the generation.
	Opening    bool
	Generation string
	Lineage    journal.Lineage
	Pin        journal.Pin
	Tokens     []string
	Finish     FinishReason
}

const (
	// firstTailTimeout bounds the first request to a producer.
	firstTailTimeout = 30 * time.Millisecond
	// tailWait is how long a producer waits for the next position before it replies.
	tailWait = 100 * time.Millisecond
	// tailMargin is how long after tailWait a reply may still arrive.
	tailMargin = 50 * time.Millisecond
	// maxOpeningReplies bounds the replies in which a producer is still opening the generation.
	maxOpeningReplies = 5
)

func countOpening(reply TailReply) int {
	if reply.Opening {
		return 1
	}
	return 0
}

// Tail serves Peers.Tail of another entry.
func (m *Manager) Tail(ctx context.Context, request TailRequest) (TailReply, error) {
	m.mu.Lock()
	r := m.runs[request.Key]
	if r != nil {
		r.addReader()
	}
	m.mu.Unlock()
	if r == nil {
		return TailReply{}, ErrNotProducer
	}
	defer r.removeReader()
	return r.tail(ctx, request)
}

func (r *run) tail(ctx context.Context, request TailRequest) (TailReply, error) {
	if r.bodyHash != request.BodyHash {
		return TailReply{}, &RequestMismatchError{Key: r.request.Key}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	for {
		reply, changed, err := r.committedFrom(request.From)
		if err != nil || changed == nil {
			return reply, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// committedFrom returns the committed positions from a position on, and a channel to wait on when there
// are none.
func (r *run) committedFrom(from int) (TailReply, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.producing && !r.log.Done() {
		if r.locating {
			return TailReply{Opening: true}, r.changed, nil
		}
		return TailReply{}, nil, ErrNotProducer
	}
	reply := TailReply{
		Generation: r.log.Generation,
		Lineage:    r.log.Lineage,
		Pin:        journal.Pin{Version: r.request.Version, Adapter: r.request.Adapter, Seed: r.request.Seed},
	}
	visible := r.log.Visible()
	if from >= visible {
		return reply, r.changed, nil
	}
	end := min(visible, len(r.log.Tokens))
	reply.Tokens = append(reply.Tokens, r.log.Tokens[min(from, end):end]...)
	if visible > len(r.log.Tokens) {
		reply.Finish = r.log.Finish
	}
	return reply, nil, nil
}

// follow copies the log of the entry that produces the generation, until the log ends or that entry is
// unreachable. It returns false if it never got a part of the log.
func (r *run) follow(producer string) (outcome, bool) {
	request := TailRequest{Key: r.request.Key.String(), BodyHash: r.bodyHash}
	followed := false
	r.update(func() { r.locating = false })
	timeout := firstTailTimeout
	openingReplies := 0
	for {
		reply, err := r.requestTail(producer, request, timeout)
		openingReplies += countOpening(reply)
		if err != nil || openingReplies > maxOpeningReplies {
			r.update(func() { r.locating = true })
			return outcomeRelocate, followed && r.manager.ctx.Err() == nil
		}
		request.Wait = tailWait
		timeout = tailWait + tailMargin
		if reply.Opening {
			continue
		}
		if !followed {
			r.manager.options.Log("generation-followed", Field{"request", request.Key}, Field{"producer", producer})
		}
		followed = true
		if r.appendTail(request.From, reply) {
			return outcomeDone, true
		}
		if r.abandoned(0) {
			r.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: ErrAbandoned})
			return outcomeFailed, true
		}
		request.From += len(reply.Tokens)
	}
}

func (r *run) requestTail(producer string, request TailRequest, timeout time.Duration) (TailReply, error) {
	ctx, cancel := context.WithTimeout(r.manager.ctx, timeout)
	defer cancel()
	return r.manager.options.Peers.Tail(ctx, producer, request)
}

// appendTail adds a reply to the log and reports whether the end is committed.
func (r *run) appendTail(from int, reply TailReply) bool {
	done := false
	r.update(func() {
		if from == 0 {
			r.log = Log{}
		}
		r.log.Generation = reply.Generation
		r.log.Lineage = reply.Lineage
		r.log.Tokens = append(r.log.Tokens, reply.Tokens...)
		r.log.Finish = reply.Finish
		r.log.Committed = r.log.Length()
		done = r.log.Done()
	})
	r.markReady()
	return done
}

package generation

import (
	"context"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/health"
)

// attemptBits is the number of lower bits of an attempt's number, which count the attempts of a term. The
// upper bits are the term, so that producers that can't reach each other never use the same number.
const attemptBits = 12

// attempt is one stream of a target. Only the producer's goroutine uses it.
type attempt struct {
	id     StreamID
	target *v1.Target
	lease  *Lease
	// stream is nil while it is broken or closed.
	stream          Stream
	cancel          context.CancelFunc
	dispatched      time.Time
	firstTokenDelay time.Duration
	// progress is when the last event arrived, or the stream was opened.
	progress time.Time
	tokens   int
	// verified is the position up to which the attempt's own output equals the log. Attaching starts there:
	// a later index would skip the comparison with the log.
	verified int
	gaps     health.Gaps
	// pausedTime is the time that this process had lost to pauses when progress was set.
	pausedTime time.Duration
	// attaching is set while the stream is attached to again, attachFailed if that was tried and no event
	// has arrived since.
	attaching, attachFailed bool
	// suspected is set while the stream is silent for too long, broken once it has ended early.
	suspected, broken bool
	// onFirstToken and onRelease are called once, if set.
	onFirstToken, onRelease func()
}

func (a *attempt) number() int { return a.id.Attempt }

func (a *attempt) resumable() bool { return a.target.Spec.Capabilities.Resume }

// recordEvent updates the attempt when an event arrives.
func (a *attempt) recordEvent(now time.Time, pausedTime time.Duration) {
	if a.tokens == 0 {
		a.firstTokenDelay = now.Sub(a.dispatched)
		a.releasePacerSlot()
	} else {
		a.gaps.Observe(now.Sub(a.progress) - (pausedTime - a.pausedTime))
	}
	a.tokens++
	a.progress = now
	a.pausedTime = pausedTime
	a.suspected = false
	a.attachFailed = false
}

// bound returns the silence that counts as suspicious.
func (a *attempt) bound(p policy) time.Duration {
	if a.tokens == 0 {
		return p.firstTokenTimeout
	}
	return a.gaps.SilenceLimit(p.tokenSensitivity)
}

// release reports the attempt's end to the chooser, once.
func (a *attempt) release(failed bool) {
	a.releasePacerSlot()
	if a.lease == nil {
		return
	}
	lease := a.lease
	a.lease = nil
	lease.Done(Usage{FirstToken: a.firstTokenDelay, Tokens: a.tokens, Failed: failed})
	if a.onRelease != nil {
		a.onRelease()
	}
}

func (a *attempt) releasePacerSlot() {
	if a.onFirstToken != nil {
		a.onFirstToken()
	}
}

// closeStream stops reading; the producer may attach to the stream again.
func (a *attempt) closeStream() {
	a.cancel()
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
}

// message is a report to the goroutine of a producer.
type message interface {
	apply(p *producer, now time.Time)
}

// eventMessage is an event of a stream, or the error that ended it.
type eventMessage struct {
	attempt *attempt
	stream  Stream
	event   StreamEvent
	err     error
}

// startMessage is the outcome of starting an attempt.
type startMessage struct {
	attempt *attempt
	err     error
}

// attachMessage is the outcome of attaching to a stream.
type attachMessage struct {
	attempt *attempt
	stream  Stream
	cancel  context.CancelFunc
	err     error
	// timedOut is set if the target did not answer in time.
	timedOut bool
}

// readStream passes the events of a stream to the producer's goroutine until the stream ends.
func (p *producer) readStream(a *attempt, stream Stream) {
	for {
		event, err := stream.Recv()
		if !p.post(eventMessage{attempt: a, stream: stream, event: event, err: err}) || err != nil {
			return
		}
	}
}

// post passes a message to the producer's goroutine; false if that has ended.
func (p *producer) post(m message) bool {
	select {
	case p.messages <- m:
		return true
	case <-p.ctx.Done():
		return false
	}
}

package targethttp

import (
	"errors"
	"time"
)

// ErrHeldUp reports that a request was given up because its target gets no new work any more and the target's host had not
// acknowledged all of it for heldUpLimit. The target may have run it: acknowledgements may be lost.
var ErrHeldUp = errors.New("the request is held up on the link to a target that gets no new work")

// heldUpLimit is longer than the first two retransmissions of a lost packet. With the time in which an entry learns that a target
// leaves, it is shorter than the two seconds after which a leaving target must get no request.
const heldUpLimit = time.Second

// sendProgress is what is known of the send queue of an exchange whose answer has not begun.
type sendProgress struct {
	// bytes were unacknowledged at the last check, and at every one since the time since; zero before the first check.
	bytes int
	since time.Time
}

// track adds an exchange to those whose answer has not begun, until untrack is called.
func (p *Pool) track(e *exchange) (untrack func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered[e] = sendProgress{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.unanswered, e)
	}
}

// GiveUpHeldUp gives up the requests to targets for which getsWork returns false, if none of their bytes was acknowledged for
// heldUpLimit: a cut link would deliver them once it works again. It is called several times within that time.
func (p *Pool) GiveUpHeldUp(getsWork func(key string) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, progress := range p.unanswered {
		if getsWork(e.conn.key) {
			continue
		}
		bytes, err := unacknowledgedBytes(e.conn.Conn)
		switch {
		case err != nil || bytes == 0 && e.written.Load():
		case progress.since.IsZero() || progress.bytes != bytes:
			p.unanswered[e] = sendProgress{bytes: bytes, since: now}
		case now.Sub(progress.since) >= heldUpLimit:
			e.heldUp.Store(true)
			e.abandon()
		}
	}
}

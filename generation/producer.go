package generation

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/journal"
)

// checkInterval is the longest time between two looks at the streams.
const checkInterval = 250 * time.Millisecond

// producer runs the attempts of a generation under one term. Its goroutine alone changes the feed,
// the attempts and the log; others send it messages.
type producer struct {
	run        *run
	ctx        context.Context
	stop       context.CancelFunc
	writer     journal.Appender
	policy     policy
	generation string
	term       int
	numbers    atomic.Int32

	messages   chan message
	superseded chan struct{}

	feed     Feed
	attempts []*attempt
	starting bool
	// ran tells that an attempt was accepted, under this term or an earlier one.
	ran     bool
	failure error
	// fingerprint identifies what a target runs; charged tells that a death was charged to it.
	fingerprint string
	charged     bool
	// recorded is the attempt that a replica knows, to which a successor attaches.
	recorded atomic.Int64
	// named is the attempt that the journal was told last.
	named int
	// woken has a value when the commit position has changed.
	woken chan struct{}
	// interrupted is when the last token came before a loss; zero while output goes on.
	interrupted time.Time
}

// produce continues a record, which this entry holds the term of, until the generation is over.
func (r *run) produce(record *journal.Record) outcome {
	ctx, stop := context.WithCancel(r.manager.ctx)
	p := &producer{
		run:         r,
		ctx:         ctx,
		stop:        stop,
		policy:      policyOf(r.request.Recovery),
		generation:  record.Generation,
		term:        record.Term,
		messages:    make(chan message),
		superseded:  make(chan struct{}),
		ran:         record.Attempt.Number != 0,
		fingerprint: fingerprint(r.request),
		woken:       make(chan struct{}, 1),
	}
	former := record.Attempt
	r.update(func() {
		r.log = NewLog(record)
		r.log.Committed = 0
		r.producing = true
		r.locating = false
	})
	p.writer = r.manager.options.Journal.Write(record, p)
	defer p.end()
	if !p.settle(former) {
		return outcomeRelocate
	}
	p.attachFormerAttempt(former)
	return p.loop()
}

// settle makes sure that no other entry holds the key before an engine works for it.
func (p *producer) settle(former journal.Attempt) bool {
	if former.Number != 0 || p.run.length() > 0 {
		p.run.becomeReady()
		return true
	}
	if err := p.writer.Settle(p.ctx); err != nil && p.ctx.Err() == nil {
		return false
	}
	p.run.becomeReady()
	return true
}

func (p *producer) end() {
	p.run.update(func() { p.run.producing = false })
	p.stop()
	p.writer.Close()
}

// Committed implements journal.Observer.
func (p *producer) Committed(position int) {
	committed := 0
	p.run.update(func() {
		committed = max(0, position-p.run.log.Committed)
		p.run.log.Committed += committed
	})
	p.run.manager.duplication.addDelivered(p.run.request.Deployment, committed)
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// Recorded implements journal.Observer.
func (p *producer) Recorded(attempt journal.Attempt) { p.recorded.Store(int64(attempt.Number)) }

// Superseded implements journal.Observer.
func (p *producer) Superseded(term int) {
	p.run.manager.stats.Superseded.Add(1)
	p.log("generation-superseded", Field{"newTerm", term})
	close(p.superseded)
}

// Degraded implements journal.Observer.
func (p *producer) Degraded(degraded bool) {
	if degraded {
		p.run.manager.stats.Degraded.Add(1)
	}
	p.log("generation-degraded", Field{"degraded", degraded})
}

func (p *producer) log(event string, fields ...Field) {
	fields = append([]Field{{"request", p.run.request.Key.String()}, {"generation", p.generation}}, fields...)
	p.run.manager.options.Log(event, fields...)
}

func (p *producer) nextNumber() int {
	return p.term<<attemptBits | int(p.numbers.Add(1))
}

// loop handles messages and silence until the generation is over or taken over.
func (p *producer) loop() outcome {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.run.manager.ctx.Done():
			p.run.fail(&GivenUpError{Started: true, RetryAfter: retryAfter, Cause: ErrClosed})
			p.releaseAll()
			return outcomeFailed
		case <-p.superseded:
			p.retreat()
			return outcomeRelocate
		case m := <-p.messages:
			m.apply(p, time.Now())
		case <-p.woken:
		case <-timer.C:
		}
		if result := p.finished(); result != 0 {
			return result
		}
		timer.Reset(p.takeAction(time.Now()))
	}
}

// finished returns the outcome once there is one.
func (p *producer) finished() outcome {
	switch {
	case p.run.done():
		p.complete()
		return outcomeDone
	case p.failure != nil:
		p.cancelAll()
		p.run.fail(p.failure)
		return outcomeFailed
	case p.run.abandoned(detachedGrace(p.run.request.Recovery)):
		p.log("generation-abandoned")
		p.cancelAll()
		p.run.fail(&GivenUpError{Started: true, RetryAfter: retryAfter, Cause: ErrAbandoned})
		return outcomeFailed
	}
	return 0
}

// complete releases the attempt that produced the end and cancels the others.
func (p *producer) complete() {
	p.clearCrashes()
	for _, a := range slices.Clone(p.attempts) {
		if a.number() == p.feed.Owner() {
			p.remove(a, false)
			continue
		}
		p.giveUp(a)
	}
}

// retreat leaves the generation to its new producer. That one attaches to the recorded attempt or
// cancels it; the other attempts are unknown to it and are cancelled here.
func (p *producer) retreat() {
	recorded := int(p.recorded.Load())
	for _, a := range slices.Clone(p.attempts) {
		if a.number() == recorded {
			p.remove(a, false)
			continue
		}
		p.giveUp(a)
	}
}

func (p *producer) cancelAll() {
	for _, a := range slices.Clone(p.attempts) {
		p.giveUp(a)
	}
}

func (p *producer) releaseAll() {
	for _, a := range slices.Clone(p.attempts) {
		p.remove(a, false)
	}
}

// giveUp cancels an attempt for good.
func (p *producer) giveUp(a *attempt) {
	p.remove(a, false)
	p.run.manager.cancelStream(a.target, a.id)
}

// remove takes an attempt out without cancelling it at the target.
func (p *producer) remove(a *attempt, failed bool) {
	p.feed.Remove(a.number())
	p.attempts = slices.DeleteFunc(p.attempts, func(other *attempt) bool { return other == a })
	a.release(failed)
	a.closeStream()
}

// apply handles a stream's event.
func (m received) apply(p *producer, now time.Time) {
	a := m.attempt
	if !slices.Contains(p.attempts, a) || a.stream != m.stream {
		return
	}
	if m.err != nil {
		p.handleBrokenStream(a, m.err)
		return
	}
	p.run.manager.targets.Alive(a.target.Metadata.Name, now)
	if a.suspected {
		p.run.manager.stats.FalseSuspicions.Add(1)
	}
	a.observe(now, p.run.manager.pauses.Lost(now))
	p.offer(a, m.event)
}

func (p *producer) offer(a *attempt, event StreamEvent) {
	verdict, err := p.run.offer(&p.feed, a.number(), event)
	if err != nil {
		p.failure = err
		return
	}
	p.run.manager.stats.count(verdict)
	switch verdict {
	case VerdictAccept:
		a.verified = event.Token.Index + 1
		p.accepted(a, event)
	case VerdictDuplicate:
		a.verified = max(a.verified, event.Token.Index+1)
		p.run.manager.duplication.addDuplicated(p.run.request.Deployment, 1)
	case VerdictLost:
		p.run.manager.duplication.addDuplicated(p.run.request.Deployment, 1)
		p.giveUp(a)
	case VerdictGap:
		p.log("stream-gap", Field{"target", a.target.Metadata.Name}, Field{"index", event.Token.Index})
		a.closeStream()
	case VerdictMismatch:
		p.log("stream-mismatch", Field{"target", a.target.Metadata.Name}, Field{"index", event.Token.Index})
		p.giveUp(a)
	}
}

// accepted hands an event to the journal. The attempt now owns the log: rivals are cancelled.
//
// The replicas learn the attempt before its tokens, so that a successor never continues another
// attempt's output by this one's stream.
func (p *producer) accepted(a *attempt, event StreamEvent) {
	p.resumed()
	if p.named != a.number() {
		p.record(a.number(), a.target)
	}
	if event.Finish != "" {
		p.writer.Append(nil, string(event.Finish))
	} else {
		p.writer.Append([]string{event.Token.Text}, "")
	}
	for _, rival := range slices.Clone(p.attempts) {
		if rival != a {
			p.giveUp(rival)
		}
	}
}

// interrupt notes that output has stopped since a's last event.
func (p *producer) interrupt(a *attempt) {
	if p.interrupted.IsZero() {
		p.interrupted = a.progress
	}
}

// resumed reports how long output had stopped, if it had.
func (p *producer) resumed() {
	if p.interrupted.IsZero() {
		return
	}
	took := time.Since(p.interrupted)
	p.interrupted = time.Time{}
	if observe := p.run.manager.options.ObserveResume; observe != nil {
		observe(p.run.request.Deployment, took)
	}
}

// offer adds an event to the log if the feed accepts it.
func (r *run) offer(feed *Feed, number int, event StreamEvent) (Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.log.Length()
	verdict := feed.Offer(&r.log, number, event)
	if verdict != VerdictAccept {
		return verdict, nil
	}
	if r.log.Visible() == r.log.Length() {
		r.wake()
	}
	return verdict, invariant.Check(event.Token.Index == next && event.ID.Generation == r.log.Generation,
		invariant.NextIndexContiguous, "%s: index %d of %s entered the log at %d",
		r.request.Key, event.Token.Index, event.ID.Generation, next)
}

func (r *run) length() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Length()
}

func (r *run) done() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Done()
}

func (r *run) output() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.log.Tokens)
}

// apply handles the outcome of a start.
func (m started) apply(p *producer, now time.Time) {
	p.starting = false
	if m.err != nil {
		p.startFailed(m.err)
		return
	}
	a := m.attempt
	a.progress = now
	a.lostTime = p.run.manager.pauses.Lost(now)
	p.ran = true
	if p.superfluous(now) {
		p.run.manager.cancelStream(a.target, a.id)
		a.release(false)
		a.closeStream()
		return
	}
	p.adopt(a)
	p.log("attempt-started", Field{"target", a.target.Metadata.Name}, Field{"attempt", a.number()})
}

// superfluous tells whether the attempt that a new one was to replace has gone on meanwhile.
func (p *producer) superfluous(now time.Time) bool {
	a := p.newestAttempt()
	return a != nil && a.stream != nil && p.silence(a, now) < p.silenceLimit(a, now)
}

// record tells the replicas the attempt to which a successor attaches.
func (p *producer) record(number int, target *v1.Target) {
	p.named = number
	p.writer.SetAttempt(journal.Attempt{Number: number, Target: target.Metadata.Name})
}

// startFailed ends the generation, unless another attempt goes on.
func (p *producer) startFailed(err error) {
	var poison *PoisonError
	if len(p.attempts) > 0 && !errors.As(err, &poison) {
		return
	}
	p.failure = err
}

// adopt reads an attempt's stream.
func (p *producer) adopt(a *attempt) {
	p.attempts = append(p.attempts, a)
	p.feed.Add(a.number())
	stream := a.stream
	p.run.manager.background.Go(func() { p.pump(a, stream) })
}

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

// checkInterval is the maximum time between two checks of the attempts.
const checkInterval = 250 * time.Millisecond

// producer runs the attempts of a generation during one term. Only its goroutine changes the arbiter,
// the attempts and the log; other goroutines send it messages.
type producer struct {
	run            *run
	ctx            context.Context
	stop           context.CancelFunc
	writer         journal.Appender
	policy         policy
	generation     string
	term           int
	attemptCounter atomic.Int32

	messages   chan message
	superseded chan struct{}

	arbiter  AttemptArbiter
	attempts []*attempt
	starting bool
	// speculation starts an attempt beside a silent one; nil while none starts.
	speculation *starter
	// attemptAccepted is set once a target has accepted an attempt, in this term or an earlier one.
	attemptAccepted bool
	failure         error
	// fingerprint identifies what a target runs; crashRecorded is set once a target's crash was recorded
	// against it.
	fingerprint   string
	crashRecorded bool
	// replicatedAttempt is the number of the attempt that a replica knows. The producer of the next term
	// attaches to it.
	replicatedAttempt atomic.Int64
	// journaledAttempt is the number of the attempt that was last passed to the journal.
	journaledAttempt int
	// commitChanged receives a value when the commit position has changed.
	commitChanged chan struct{}
	// interruptedSince is when the last token arrived before the output stopped; zero while it continues.
	interruptedSince time.Time
}

// produce continues a record, whose term this entry holds, until the generation ends.
func (r *run) produce(record *journal.Record) outcome {
	ctx, stop := context.WithCancel(r.manager.ctx)
	p := &producer{
		run:             r,
		ctx:             ctx,
		stop:            stop,
		policy:          policyOf(r.request.Recovery),
		generation:      record.Generation,
		term:            record.Term,
		messages:        make(chan message),
		superseded:      make(chan struct{}),
		attemptAccepted: record.Attempt.Number != 0,
		fingerprint:     fingerprint(r.request),
		commitChanged:   make(chan struct{}, 1),
	}
	former := record.Attempt
	r.update(func() {
		r.log = NewLog(record)
		r.log.Committed = 0
		r.producing = true
		r.locating = false
	})
	p.writer = r.manager.options.Journal.StartReplication(record, p)
	defer p.shutdown()
	if !p.awaitReplicas(former) {
		return outcomeRelocate
	}
	p.attachFormerAttempt(former)
	return p.loop()
}

// awaitReplicas makes sure that no other entry holds the key before an engine works for a new generation:
// it waits for the answers of the first replicas. It returns false if another entry may hold the key.
func (p *producer) awaitReplicas(former journal.Attempt) bool {
	if former.Number != 0 || p.run.length() > 0 {
		p.run.markReady()
		return true
	}
	if err := p.writer.WaitForReplicas(p.ctx); err != nil && p.ctx.Err() == nil {
		return false
	}
	p.run.markReady()
	return true
}

func (p *producer) shutdown() {
	p.run.update(func() { p.run.producing = false })
	p.stop()
	p.writer.Close()
}

// PositionCommitted implements journal.Observer.
func (p *producer) PositionCommitted(position int) {
	committed := 0
	p.run.update(func() {
		committed = max(0, position-p.run.log.Committed)
		p.run.log.Committed += committed
	})
	p.run.manager.duplication.addDelivered(p.run.request.Deployment, committed)
	select {
	case p.commitChanged <- struct{}{}:
	default:
	}
}

// AttemptRecorded implements journal.Observer.
func (p *producer) AttemptRecorded(attempt journal.Attempt) {
	p.replicatedAttempt.Store(int64(attempt.Number))
}

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
	return p.term<<attemptBits | int(p.attemptCounter.Add(1))
}

// loop handles messages and timeouts until the generation ends or another entry takes it over.
func (p *producer) loop() outcome {
	// Not 0: go 1.26.8 runs a timer of a synctest bubble that has expired unheard on the receiver's thread, and
	// two such receivers at once crash the race detector.
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		select {
		case <-p.run.manager.ctx.Done():
			p.run.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: ErrClosed})
			p.releaseAll()
			return outcomeFailed
		case <-p.superseded:
			p.handOver()
			return outcomeRelocate
		case m := <-p.messages:
			m.apply(p, time.Now())
		case <-p.commitChanged:
		case <-timer.C:
		}
		if result := p.checkOutcome(); result != 0 {
			return result
		}
		timer.Reset(p.takeAction(time.Now()))
	}
}

// checkOutcome returns the outcome of the generation, 0 while there is none.
func (p *producer) checkOutcome() outcome {
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
		p.run.fail(&GivenUpError{MayHaveRun: true, RetryAfter: retryAfter, Cause: ErrAbandoned})
		return outcomeFailed
	}
	return 0
}

// complete releases the attempt that produced the end and cancels all others.
func (p *producer) complete() {
	p.clearCrashes()
	for _, a := range slices.Clone(p.attempts) {
		if a.number() == p.arbiter.Owner() {
			p.removeAttempt(a, false)
			continue
		}
		p.cancelAttempt(a)
	}
}

// handOver ends production after another entry has taken the generation over. The new producer attaches
// to the attempt that a replica knows, or cancels it. It does not know the other attempts, so they are
// cancelled here.
func (p *producer) handOver() {
	recorded := int(p.replicatedAttempt.Load())
	for _, a := range slices.Clone(p.attempts) {
		if a.number() == recorded {
			p.removeAttempt(a, false)
			continue
		}
		p.cancelAttempt(a)
	}
}

func (p *producer) cancelAll() {
	for _, a := range slices.Clone(p.attempts) {
		p.cancelAttempt(a)
	}
}

func (p *producer) releaseAll() {
	for _, a := range slices.Clone(p.attempts) {
		p.removeAttempt(a, false)
	}
}

// cancelAttempt removes an attempt and cancels it at its target.
func (p *producer) cancelAttempt(a *attempt) {
	p.removeAttempt(a, false)
	p.run.manager.cancelStream(a.target, a.id)
}

// removeAttempt removes an attempt without cancelling it at its target.
func (p *producer) removeAttempt(a *attempt, failed bool) {
	p.arbiter.Remove(a.number())
	p.attempts = slices.DeleteFunc(p.attempts, func(other *attempt) bool { return other == a })
	a.release(failed)
	a.closeStream()
}

// apply handles an event of a stream, or the error that ended it.
func (m eventMessage) apply(p *producer, now time.Time) {
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
		p.giveUpSpeculation(a)
	}
	a.recordEvent(now, p.run.manager.pauses.Lost(now))
	p.handleEvent(a, m.event)
}

func (p *producer) handleEvent(a *attempt, event StreamEvent) {
	verdict, err := p.run.offer(&p.arbiter, a.number(), event)
	if err != nil {
		p.failure = err
		return
	}
	p.run.manager.stats.count(verdict)
	switch verdict {
	case VerdictAccept:
		a.verified = event.Token.Index + 1
		p.acceptEvent(a, event)
	case VerdictDuplicate:
		a.verified = max(a.verified, event.Token.Index+1)
		p.run.manager.duplication.addDuplicated(p.run.request.Deployment, 1)
	case VerdictNotOwner:
		p.run.manager.duplication.addDuplicated(p.run.request.Deployment, 1)
		p.cancelAttempt(a)
	case VerdictGap:
		p.log("stream-gap", Field{"target", a.target.Metadata.Name}, Field{"index", event.Token.Index})
		a.closeStream()
	case VerdictMismatch:
		p.log("stream-mismatch", Field{"target", a.target.Metadata.Name}, Field{"index", event.Token.Index})
		p.cancelAttempt(a)
	}
}

// acceptEvent passes an event to the journal. Its attempt now owns the log, so the others are cancelled.
//
// The replicas get the attempt before its tokens. Otherwise the producer of the next term could continue
// the output of one attempt with the stream of another.
func (p *producer) acceptEvent(a *attempt, event StreamEvent) {
	p.reportResumed()
	if p.journaledAttempt != a.number() {
		p.recordAttempt(a.number(), a.target)
	}
	if event.Finish != "" {
		p.writer.Append(nil, string(event.Finish))
	} else {
		p.writer.Append([]string{event.Token.Text}, "")
	}
	for _, other := range slices.Clone(p.attempts) {
		if other != a {
			p.cancelAttempt(other)
		}
	}
}

// markInterrupted records that the output has stopped since the last event of a.
func (p *producer) markInterrupted(a *attempt) {
	if p.interruptedSince.IsZero() {
		p.interruptedSince = a.progress
	}
}

// reportResumed reports how long the output was interrupted, if it was.
func (p *producer) reportResumed() {
	if p.interruptedSince.IsZero() {
		return
	}
	took := time.Since(p.interruptedSince)
	p.interruptedSince = time.Time{}
	if observe := p.run.manager.options.ObserveResume; observe != nil {
		observe(p.run.request.Deployment, took)
	}
}

// offer adds an event to the log if the arbiter accepts it.
func (r *run) offer(arbiter *AttemptArbiter, number int, event StreamEvent) (Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.log.Length()
	verdict := arbiter.Offer(&r.log, number, event)
	if verdict != VerdictAccept {
		return verdict, nil
	}
	if r.log.Visible() == r.log.Length() {
		r.wakeReaders()
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

// apply handles the outcome of starting an attempt.
func (m startMessage) apply(p *producer, now time.Time) {
	p.starting, p.speculation = false, nil
	if m.err != nil {
		p.startFailed(m.err)
		return
	}
	a := m.attempt
	a.progress = now
	a.pausedTime = p.run.manager.pauses.Lost(now)
	p.attemptAccepted = true
	if p.superfluous(now) {
		p.run.manager.cancelStream(a.target, a.id)
		a.release(false)
		a.closeStream()
		return
	}
	p.addAttempt(a)
	p.log("attempt-started", Field{"target", a.target.Metadata.Name}, Field{"attempt", a.number()})
}

// superfluous reports whether a new attempt is not needed, because the attempt that it was to replace has
// made progress in the meantime.
func (p *producer) superfluous(now time.Time) bool {
	a := p.newestAttempt()
	return a != nil && a.stream != nil && p.silence(a, now) < p.silenceLimit(a, now)
}

// recordAttempt tells the replicas to which attempt the producer of the next term attaches.
func (p *producer) recordAttempt(number int, target *v1.Target) {
	p.journaledAttempt = number
	p.writer.SetAttempt(journal.Attempt{Number: number, Target: target.Metadata.Name})
}

// startFailed ends the generation, unless another attempt is still running or the start was given up as no longer wanted: the stream
// that had resumed may have failed since, and an attempt is then started anew. A poison request ends it in any case.
func (p *producer) startFailed(err error) {
	if errors.Is(err, errUnwanted) {
		return
	}
	var poison *PoisonError
	if len(p.attempts) > 0 && !errors.As(err, &poison) {
		return
	}
	p.failure = err
}

// addAttempt adds an attempt and starts reading its stream.
func (p *producer) addAttempt(a *attempt) {
	p.attempts = append(p.attempts, a)
	p.arbiter.Add(a.number())
	stream := a.stream
	p.run.manager.background.Go(func() { p.readStream(a, stream) })
}

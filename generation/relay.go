package generation

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
)

// RelayOptions configure a Relay.
type RelayOptions struct {
	Engine RelayEngine
	Placer RelayPlacer
	Budget RetryBudget
	// Targets returns the targets of a service that may get new work.
	Targets func(service string) []*directory.Target
	// Dispute is told of targets that another one answered for; nil when nobody asks.
	Dispute func(target *directory.Target, found string)
	// Prompts locates the prompts of streams that callers resume; nil locates none.
	Prompts PromptLocator
	// Suspects keeps the deaths charged to fingerprints; nil keeps them in this entry only.
	Suspects Suspects
	// Log receives events; nil discards them.
	Log func(event string, fields ...Field)
}

// Relay passes opaque streams from engines to callers. It sends a stream that breaks off to another
// engine, where it continues after its last event, from a copy of the run's memory if there is one.
// Nothing of a stream outlives its caller's connection. It is safe for concurrent use.
type Relay struct {
	options RelayOptions
	watches *targetWatches
	stats   Stats
}

// NewRelay returns a Relay.
func NewRelay(options RelayOptions) *Relay {
	if options.Log == nil {
		options.Log = func(string, ...Field) {}
	}
	if options.Suspects == nil {
		options.Suspects = newLocalSuspects()
	}
	if options.Prompts == nil {
		options.Prompts = unknownPrompts{}
	}
	if options.Dispute == nil {
		options.Dispute = func(*directory.Target, string) {}
	}
	return &Relay{options: options, watches: newTargetWatches()}
}

// Stats returns the counters.
func (r *Relay) Stats() *Stats { return &r.stats }

// relayRun is one request on its way. The caller's goroutine owns it.
type relayRun struct {
	relay   *Relay
	request *RelayRequest
	sink    RelaySink
	// last is the last event that the caller has.
	last int64
	// begun tells that the caller has the head of the answer.
	begun bool
	// sends counts the attempts; ran those that a target may have run and that was not lost.
	sends, ran int
	// mayHaveRun tells that some target may have run the request.
	mayHaveRun bool
	// copied is the copy of the run's memory from which the next attempt goes on; nil for none.
	// freeCopy stops counting the backup of the latest attempt.
	copied   *RelayCopy
	freeCopy func()
	// cachedAt is the engine that read the prompt when another entry served the caller; empty for none.
	cachedAt string
	exclude  []string
	// charged tells that a target's death was charged to the request.
	charged bool
	// answer is the last failure that a target answered.
	answer *RelayAnswerError
}

// Run relays a stream until it is complete, or returns why it is not: a *RelayAnswerError, a
// *GivenUpError, a *PoisonError, ErrCallerGone, ErrRelayDeadline or ErrRelayBroken. If the sink has
// begun by then, the caller's connection must be broken off.
func (r *Relay) Run(ctx context.Context, request *RelayRequest, sink RelaySink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	run := &relayRun{relay: r, request: request, sink: sink, last: request.LastEvent, freeCopy: func() {}}
	defer func() { run.freeCopy() }()
	r.options.Budget.Earn(request.Service)
	run.cachedAt = run.locatePrompt(ctx)
	err := run.relayUntilOver(ctx)
	r.options.Prompts.Closed(request.Affinity, err == nil)
	return err
}

// locatePrompt returns the engine that has read the prompt before. A caller without an event may be back as well,
// but most are new: nothing is asked for them.
func (run *relayRun) locatePrompt(ctx context.Context) string {
	prompts := run.relay.options.Prompts
	if run.request.LastEvent >= 0 {
		return prompts.Recall(ctx, run.request.Affinity)
	}
	return prompts.Find(run.request.Affinity)
}

// relayUntilOver makes attempts until the stream is complete or can't be continued.
func (run *relayRun) relayUntilOver(ctx context.Context) error {
	r, request := run.relay, run.request
	for {
		if err := run.checkSuspect(); err != nil {
			return err
		}
		target := run.choose()
		if target == nil {
			return run.failure(ErrNoTarget)
		}
		if run.sends > 0 && !r.options.Budget.Spend(request.Service, run.urgency()) {
			return run.failure(errBudgetSpent)
		}
		ending, err := run.attempt(ctx, target)
		situation := relaySituation{
			ending: ending, resumable: request.Resumable,
			ran: run.ran, maxAttempts: request.MaxAttempts, sends: run.sends, left: time.Until(request.Deadline),
		}
		step := nextStep(situation)
		run.log("attempt-ended", Field{"target", target.ID}, Field{"ending", ending}, Field{"last_event", run.last},
			Field{"sends", run.sends}, Field{"again", step == stepRetry}, Field{"error", err})
		if ending == endingComplete {
			return nil
		}
		if step == stepFinish {
			return run.over(ending, err)
		}
	}
}

// errBudgetSpent: no send beyond the first is left for the service.
var errBudgetSpent = errors.New("generation: retry budget spent")

func (run *relayRun) log(event string, fields ...Field) {
	fields = append([]Field{{"request", run.request.ID}, {"service", run.request.Service}}, fields...)
	run.relay.options.Log(event, fields...)
}

// urgency tells what the next send saves.
func (run *relayRun) urgency() RetryUrgency {
	switch {
	case run.copied != nil:
		return RetryResume
	case run.begun:
		return RetryReread
	}
	return RetryRestart
}

// checkSuspect refuses a request that killed too many targets.
func (run *relayRun) checkSuspect() error {
	deaths := run.relay.options.Suspects.Deaths(run.request.Fingerprint)
	if health.StandingOf(deaths) != health.StandingRefused {
		return nil
	}
	run.relay.stats.PoisonRefused.Add(1)
	return &PoisonError{Key: Key{ID: run.request.ID}, Targets: deaths}
}

// clearSuspicion notes that a target runs the request and lives.
func (run *relayRun) clearSuspicion() {
	if run.charged {
		run.charged = false
		run.relay.options.Suspects.Clear(context.Background(), run.request.Fingerprint)
	}
}

// over returns the error of a request whose last attempt ended so.
func (run *relayRun) over(ending relayEnding, err error) error {
	switch ending {
	case endingCallerGone:
		return ErrCallerGone
	case endingDeadline:
		if !run.mayHaveRun {
			return run.failure(ErrRelayDeadline)
		}
		return ErrRelayDeadline
	}
	return run.failure(err)
}

// failure returns the error of a request that is not sent again.
func (run *relayRun) failure(cause error) error {
	switch {
	case run.begun:
		return ErrRelayBroken
	case run.answer != nil:
		return run.answer
	}
	return &GivenUpError{Started: run.mayHaveRun, RetryAfter: retryAfter, Cause: cause}
}

func (run *relayRun) size() StreamSize {
	return StreamSize{Prompt: run.request.PromptTokens, Output: run.request.OutputTokens}
}

func (run *relayRun) query() RelayQuery {
	return RelayQuery{
		Engines:  run.relay.options.Targets(run.request.Service),
		Spec:     run.request.Spec,
		Size:     run.size(),
		Affinity: run.request.Affinity,
		CachedAt: run.cachedAt,
		Exclude:  run.exclude,
	}
}

// choose returns the target of the next attempt: the holder of the copy, or the cheapest.
func (run *relayRun) choose() *directory.Target {
	query := run.query()
	if run.copied != nil {
		if target := run.possibleHolder(run.copied); target != nil {
			return target
		}
		run.dropCopy()
	}
	target := run.relay.options.Placer.Place(query)
	if target == nil && len(run.exclude) > 0 {
		run.exclude = nil
		target = run.relay.options.Placer.Place(run.query())
	}
	return target
}

func (run *relayRun) dropCopy() {
	run.copied = nil
	run.freeCopy()
	run.freeCopy = func() {}
}

// relayAttempt is one attempt while it is followed.
type relayAttempt struct {
	run    *relayRun
	target *directory.Target
	stream RelayStream
	placed Placed
	watch  *targetWatch
	gaps   health.Gaps
	// events counts those that this attempt has sent.
	events int
	// sent is when the attempt began.
	sent     time.Time
	progress time.Time
	messages chan relayMessage
	copier   *copier
}

// relayMessage is what the goroutine that reads an attempt's stream reports.
type relayMessage struct {
	stream RelayStream
	event  RelayEvent
	err    error
}

// attempt sends the request to a target and passes its events on until it ends.
func (run *relayRun) attempt(ctx context.Context, target *directory.Target) (relayEnding, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	send := run.prepare(target)
	a := run.begin(send)
	defer run.relay.watches.leave(a.watch)
	defer a.placed.Ended()
	run.log("attempt-sent", Field{"target", target.ID}, Field{"address", target.Address}, Field{"zone", target.AvailabilityZone},
		Field{"after_event", run.last}, Field{"copy_at", idOf(send.Copy.holder())}, Field{"cached_at", run.cachedAt}, Field{"backup", idOf(send.Backup)})
	go a.read(attemptCtx, send)
	ending, err := a.follow(ctx)
	// The target stops at once: its connection is closed before another one continues the stream.
	cancel()
	a.copier.end(ending == endingComplete)
	run.settle(a, ending, err)
	if ending == endingRefused {
		run.followHolder(ctx, send.Copy, err)
	}
	return ending, err
}

// prepare returns the next send: from the copy of the run's memory, if there is one, and with a
// backup of its own.
func (run *relayRun) prepare(target *directory.Target) RelayAttempt {
	send := RelayAttempt{
		Request: run.request, Target: target, LastEvent: run.last, Copy: run.copied, Left: time.Until(run.request.Deadline),
	}
	run.dropCopy()
	if run.request.Resumable && run.request.Spec != nil && run.request.Spec.Backups {
		send.Backup = run.relay.options.Placer.Backup(run.query(), target)
	}
	return send
}

// begin counts an attempt and what it takes at its target and at the holder of its backup.
func (run *relayRun) begin(send RelayAttempt) *relayAttempt {
	placer := run.relay.options.Placer
	run.relay.options.Prompts.Placed(run.request.Affinity, send.Target.ID)
	unread := run.request.PromptTokens
	if send.Copy != nil || send.Target.ID == run.cachedAt {
		unread = 0
	}
	now := time.Now()
	a := &relayAttempt{
		run: run, target: send.Target, sent: now, progress: now, messages: make(chan relayMessage),
		placed: placer.Begin(send.Target, run.size(), unread), watch: run.relay.watches.enter(send.Target),
	}
	var backup *RelayCopy
	if send.Backup != nil {
		run.freeCopy = placer.AddCopy(send.Backup, run.size())
		backup = &RelayCopy{Holder: send.Backup, Source: send.Backup.Address, Name: run.request.ID, since: now}
	}
	a.copier = newCopier(a, backup)
	run.sends++
	run.relay.stats.Attempts.Add(1)
	return a
}

func idOf(target *directory.Target) string {
	if target == nil {
		return ""
	}
	return target.ID
}

// settle takes the end of an attempt into account.
func (run *relayRun) settle(a *relayAttempt, ending relayEnding, err error) {
	placer := run.relay.options.Placer
	switch ending {
	case endingRefused:
		run.refused(a.target, err)
		// A refused attempt has copied nothing.
		run.dropCopy()
		return
	case endingAnswered:
		run.mayHaveRun = true
		run.ran++
		run.exclude = append(run.exclude, a.target.ID)
		run.dropCopy()
		return
	case endingBroken, endingSilent:
		run.mayHaveRun = true
		run.exclude = append(run.exclude, a.target.ID)
		run.relay.stats.Broken.Add(1)
		placer.Lost(a.target)
		if a.events == 0 && ending == endingBroken {
			run.charged = true
			run.relay.options.Suspects.Charge(context.Background(), run.request.Fingerprint, a.target.ID)
		}
	case endingStalled:
		run.mayHaveRun = true
		run.ran++
		run.exclude = append(run.exclude, a.target.ID)
		run.relay.stats.Suspicions.Add(1)
		placer.Refused(a.target)
	default:
		run.mayHaveRun = true
	}
	// Engines copy a run's memory from its first event on.
	latest := a.copier.latest()
	if latest != nil && a.events > 0 && !slices.Contains(run.exclude, latest.Holder.ID) {
		run.copied = latest
	}
}

func (run *relayRun) refused(target *directory.Target, err error) {
	run.exclude = append(run.exclude, target.ID)
	var refused *RelayRefusedError
	switch {
	case errors.As(err, &refused) && refused.Unreachable:
		if run.sends > 1 {
			run.relay.options.Budget.Refund(run.request.Service)
		}
		run.relay.options.Placer.Lost(target)
	case errors.As(err, &refused) && refused.Misdirected:
		run.relay.options.Dispute(target, refused.Found)
		run.relay.options.Placer.Lost(target)
	default:
		run.relay.options.Placer.Refused(target)
	}
}

// read opens the stream and reports its events. It closes the stream, since nobody else may do so
// while it reads.
func (a *relayAttempt) read(ctx context.Context, send RelayAttempt) {
	stream, err := a.run.relay.options.Engine.Open(ctx, send)
	if stream != nil {
		defer stream.Close()
	}
	if !a.post(ctx, relayMessage{stream: stream, err: err}) {
		return
	}
	for err == nil {
		var event RelayEvent
		event, err = stream.Next()
		if !a.post(ctx, relayMessage{event: event, err: err}) {
			return
		}
	}
}

func (a *relayAttempt) post(ctx context.Context, message relayMessage) bool {
	select {
	case a.messages <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// follow passes events on until the attempt ends. While the caller does not read, nothing is read
// from the target, and its silence does not count.
func (a *relayAttempt) follow(ctx context.Context) (relayEnding, error) {
	timer := time.NewTimer(firstLook)
	defer timer.Stop()
	var look <-chan struct{}
	lastLook := a.progress
	for {
		select {
		case message := <-a.messages:
			ending, over, err := a.handle(ctx, message)
			if over {
				return ending, err
			}
			lastLook = a.progress
		case <-a.watch.lost:
			return endingSilent, errNoAnswer
		case <-look:
			look = nil
			lastLook = time.Now()
		case result := <-a.copier.results:
			a.copier.take(result, time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return endingOf(ctx), ctx.Err()
		}
		now := time.Now()
		a.copier.check(ctx, now)
		patience := relayPatience(a.run.request, a.events > 0, &a.gaps)
		silence := now.Sub(a.progress)
		if silence >= patience.stall {
			return endingStalled, errStalled
		}
		nextLookAt := a.progress.Add(patience.look)
		if lastLook.After(a.progress) {
			nextLookAt = lastLook.Add(patience.nextLook)
		}
		if look == nil && !now.Before(nextLookAt) {
			look = a.look()
		}
		timer.Reset(max(minimumWait, min(nextLookAt.Sub(now), patience.stall-silence)))
	}
}

// errNoAnswer and errStalled tell why a target was given up.
var (
	errNoAnswer = errors.New("target accepts no connection")
	errStalled  = errors.New("target answers but the stream does not go on")
)

func (a *relayAttempt) look() <-chan struct{} {
	engine := a.run.relay.options.Engine
	target := a.target
	reach := func(ctx context.Context) error { return engine.Reach(ctx, target) }
	return a.run.relay.watches.lookAt(a.watch, reach, lookTimeout)
}

// endingOf tells why the request's context ended.
func endingOf(ctx context.Context) relayEnding {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return endingDeadline
	}
	return endingCallerGone
}

// handle applies a message; over tells that the attempt has ended.
func (a *relayAttempt) handle(ctx context.Context, message relayMessage) (ending relayEnding, over bool, err error) {
	run := a.run
	if ctx.Err() != nil {
		return endingOf(ctx), true, ctx.Err()
	}
	now := time.Now()
	switch {
	case message.err != nil:
		ending, err = run.endingOfError(message.err)
		if ending == endingComplete && !run.begun {
			err = run.sink.Begin(a.stream.Head())
		}
		return ending, true, err
	case message.stream != nil:
		a.stream = message.stream
		run.relay.options.Placer.Alive(a.target)
		return 0, false, nil
	}
	if a.events > 0 {
		a.gaps.Observe(now.Sub(a.progress))
	} else {
		run.clearSuspicion()
	}
	a.events++
	a.progress = now
	a.placed.Begun()
	if err := a.pass(message.event); err != nil {
		if errors.Is(err, errSink) {
			return endingCallerGone, true, err
		}
		return endingBroken, true, err
	}
	if ctx.Err() != nil {
		return endingOf(ctx), true, ctx.Err()
	}
	// The time in which the caller did not read is not the target's.
	a.progress = time.Now()
	return 0, false, nil
}

// errEventOrder: the target's events don't continue the stream.
var errEventOrder = errors.New("generation: events of the target don't continue the stream")

// errSink: the caller can't be written to.
var errSink = errors.New("generation: caller can't be written to")

// pass hands an event to the caller if it is the next one. One that the caller has is dropped.
func (a *relayAttempt) pass(event RelayEvent) error {
	run := a.run
	if event.ID >= 0 && run.last >= 0 {
		if event.ID <= run.last {
			run.relay.stats.Duplicate.Add(1)
			return nil
		}
		if event.ID != run.last+1 {
			run.relay.stats.Gap.Add(1)
			return errEventOrder
		}
	}
	if !run.begun {
		if err := run.sink.Begin(a.stream.Head()); err != nil {
			return errors.Join(errSink, err)
		}
		run.begun = true
	}
	if err := run.sink.Event(event); err != nil {
		return errors.Join(errSink, err)
	}
	if event.ID >= 0 {
		run.last = event.ID
	}
	run.relay.stats.Accepted.Add(1)
	return nil
}

// endingOfError tells how an attempt ended by the error of its stream.
func (run *relayRun) endingOfError(err error) (relayEnding, error) {
	var refused *RelayRefusedError
	var answered *RelayAnswerError
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return endingComplete, nil
	case errors.As(err, &refused):
		return endingRefused, err
	case errors.As(err, &answered):
		run.answer = answered
		return endingAnswered, err
	}
	return endingBroken, err
}

package generation

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/defect"
)

// activeAttempt is one attempt in progress.
type activeAttempt struct {
	run     *relayRun
	target  *directory.Target
	stream  RelayStream
	placed  PlacedStream
	monitor *targetMonitor
	gaps    health.Gaps
	// isContinuation reports that the caller has events of an earlier attempt or connection; hasContinued that this one has sent the next of them.
	isContinuation, hasContinued bool
	// eventCount counts the events received from this attempt.
	eventCount   int
	startedAt    time.Time
	lastProgress time.Time
	// lastReceived is when the reading goroutine read the latest handled event; zero before the first one.
	lastReceived time.Time
	messages     chan relayMessage
	copier       *kvCopier
}

// relayMessage is a report of the goroutine that reads an attempt's stream: the open stream, an
// event or an error.
type relayMessage struct {
	stream RelayStream
	event  RelayEvent
	// receivedAt is when the event was read, which may be later than it arrived.
	receivedAt time.Time
	err        error
}

// runAttempt sends the request to a target and passes events on to the caller until the attempt
// ends.
func (run *relayRun) runAttempt(ctx context.Context, target *directory.Target) (relayEnding, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := run.newAttempt(target)
	a := run.startAttempt(attempt)
	defer func() { run.relay.monitors.release(a.monitor) }()
	defer a.placed.Ended()
	run.log("attempt-sent", Field{"target", target.ID}, Field{"address", target.Address}, Field{"zone", target.AvailabilityZone},
		Field{"version", target.Version}, Field{"resumes", run.request.Resumes}, Field{"after_event", run.lastEvent}, Field{"copy_at", targetID(attempt.Copy.holder())},
		Field{"cached_at", run.cachedAt}, Field{"backup", targetID(attempt.Backup)}, Field{"connectivity_lost", run.relay.connectivity.IsLost()})
	go a.readStream(attemptCtx, attempt)
	ending, err := a.forwardStream(ctx)
	// Close the connection, which stops the run at this target, before another target resumes the
	// stream.
	cancel()
	a.copier.finish(ending == endingComplete)
	if run.isUnsent(a, ending, err) {
		run.recordUnsent(attempt)
		return endingUnsent, err
	}
	run.unsentAttempts = 0
	run.recordOutcome(a, ending, err)
	if ending == endingRefused {
		run.awaitReplacementHolder(ctx, attempt.Copy, err)
	}
	return ending, err
}

// newAttempt returns the next attempt: resumed from the KV cache copy, if there is one, and with a
// new backup.
func (run *relayRun) newAttempt(target *directory.Target) RelayAttempt {
	attempt := RelayAttempt{
		Request: run.request, Target: target, BegunHead: run.head, LastEvent: run.lastEvent, Copy: run.kvCopy,
		Timeout: time.Until(run.request.Deadline),
	}
	run.discardCopy()
	if run.request.Resumable && run.request.Spec != nil && run.request.Spec.ContinuousKVCopy {
		attempt.Backup = run.relay.options.Placer.Backup(run.backupQuery(target), target)
	}
	return attempt
}

// startAttempt counts an attempt and its load at its target and at the holder of its backup.
func (run *relayRun) startAttempt(attempt RelayAttempt) *activeAttempt {
	placer := run.relay.options.Placer
	run.relay.options.Prompts.RecordPlacement(run.request.Affinity, attempt.Target.ID)
	prefillTokens := run.request.PromptTokens
	if attempt.Copy != nil || attempt.Target.ID == run.cachedAt {
		prefillTokens = 0
	}
	now := time.Now()
	a := &activeAttempt{
		run: run, target: attempt.Target, isContinuation: run.headSent || run.request.LastEvent > 0, startedAt: now, lastProgress: now, messages: make(chan relayMessage),
		placed: placer.AddStream(attempt.Target, run.streamSize(), prefillTokens), monitor: run.relay.monitors.acquire(attempt.Target),
	}
	var backup *KVCacheCopy
	if attempt.Backup != nil {
		run.releaseCopy = placer.AddCopy(attempt.Backup, run.streamSize())
		backup = &KVCacheCopy{Holder: attempt.Backup, Source: attempt.Backup.Address, Name: run.request.ID, startedAt: now}
	}
	a.copier = newCopier(a, backup)
	run.attempts++
	run.relay.stats.Attempts.Add(1)
	return a
}

func targetID(target *directory.Target) string {
	if target == nil {
		return ""
	}
	return target.ID
}

// recordOutcome updates the run, the placer and the crash records when an attempt has ended.
func (run *relayRun) recordOutcome(a *activeAttempt, ending relayEnding, err error) {
	placer := run.relay.options.Placer
	switch ending {
	case endingRefused:
		run.recordRefusal(a.target, err)
		// A refused attempt has made no KV cache copy.
		run.discardCopy()
		return
	case endingAnswered:
		run.mayHaveRun = true
		run.attemptsRun++
		run.excludeFailed(a.target.ID)
		run.discardCopy()
		return
	case endingBroken, endingSilent:
		run.mayHaveRun = true
		run.excludeFailed(a.target.ID)
		if ending == endingBroken {
			run.brokenAt = append(run.brokenAt, a.target)
		}
		run.relay.stats.Broken.Add(1)
		lost := run.relay.connectivity.IsLost()
		if lost && run.relay.options.Detour == nil {
			// The connection broke at this end.
			break
		}
		if !lost {
			placer.ReportLost(a.target)
		}
		if a.eventCount == 0 && ending == endingBroken {
			run.recordCrash(a.target)
		}
	case endingLinkLost:
		run.mayHaveRun = true
		run.excludeFailed(a.target.ID)
	case endingStalled:
		run.mayHaveRun = true
		run.attemptsRun++
		run.excludeFailed(a.target.ID)
		run.relay.stats.Suspicions.Add(1)
		placer.ReportRefused(a.target)
	default:
		run.mayHaveRun = true
	}
	// Engines copy a run's KV cache from its first event on.
	latest := a.copier.latest()
	if latest != nil && a.eventCount > 0 && !slices.Contains(run.exclude, latest.Holder.ID) {
		run.kvCopy = latest
	}
}

// excludeFailed keeps the stream from a target that it was lost at.
func (run *relayRun) excludeFailed(target string) {
	run.exclude = append(run.exclude, target)
	run.failed = append(run.failed, target)
}

// recordUnsent takes back what an attempt counted that never left this process.
func (run *relayRun) recordUnsent(attempt RelayAttempt) {
	run.attempts--
	run.unsentAttempts++
	run.relay.options.Budget.Refund(run.request.Service)
	run.discardCopy()
	run.kvCopy = attempt.Copy
}

func (run *relayRun) recordRefusal(target *directory.Target, err error) {
	run.exclude = append(run.exclude, target.ID)
	var refused *RelayRefusedError
	switch {
	case errors.As(err, &refused) && refused.Withdrawn:
		if run.attempts > 1 {
			run.relay.options.Budget.Refund(run.request.Service)
		}
	case errors.As(err, &refused) && refused.Unreachable:
		if run.attempts > 1 {
			run.relay.options.Budget.Refund(run.request.Service)
		}
		if run.relay.connectivity.IsLost() {
			run.checkRegained(target)
			return
		}
		run.relay.options.Placer.ReportLost(target)
	case errors.As(err, &refused) && refused.AddressMismatch:
		run.relay.options.AddressMismatch(target, refused.FoundID)
		run.relay.options.Placer.ReportLost(target)
	default:
		run.relay.options.Placer.ReportRefused(target)
	}
}

// readStream opens the stream and reports its events. It also closes the stream, since no other
// goroutine may do so during a read.
func (a *activeAttempt) readStream(ctx context.Context, attempt RelayAttempt) {
	stream, err := a.run.relay.options.Engine.Open(ctx, attempt)
	if stream != nil {
		defer stream.Close()
	}
	if !a.post(ctx, relayMessage{stream: stream, err: err}) {
		return
	}
	for err == nil {
		var event RelayEvent
		event, err = stream.Next()
		if !a.post(ctx, relayMessage{event: event, receivedAt: time.Now(), err: err}) {
			return
		}
	}
}

func (a *activeAttempt) post(ctx context.Context, message relayMessage) bool {
	select {
	case a.messages <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// forwardStream passes events on until the attempt ends. While the caller does not read, nothing is
// read from the target, and the target's silence does not count.
func (a *activeAttempt) forwardStream(ctx context.Context) (relayEnding, error) {
	timer := time.NewTimer(minFirstProbeDelay)
	defer timer.Stop()
	var probeDone <-chan struct{}
	var lastProbe time.Time
	var probeAnswered bool
	changed := a.run.relay.options.CrashRecords.Changed()
	for {
		linkLost := false
		select {
		case <-changed:
			changed = a.run.relay.options.CrashRecords.Changed()
			if err := a.checkWaiting(); err != nil {
				return endingUnwanted, err
			}
		case message := <-a.messages:
			ending, ended, err := a.handleMessage(ctx, message)
			if ended {
				return ending, err
			}
		case <-a.monitor.unreachable:
			if ending, ended, err := a.handleWaitingEvents(ctx); ended {
				return ending, err
			}
			if !a.lastReceived.After(a.monitor.failedProbeSentAt) {
				return endingSilent, errProbeFailed
			}
			a.monitor, probeDone = a.run.relay.monitors.renew(a.monitor), nil
		case <-probeDone:
			probeDone = nil
			lastProbe, probeAnswered = time.Now(), a.run.relay.monitors.lastProbeAnswered(a.monitor)
			linkLost = a.run.relay.monitors.isLinkLost(a.monitor) && a.isSilent(lastProbe)
		case result := <-a.copier.results:
			a.copier.handleResult(result, time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return contextEnding(ctx), ctx.Err()
		}
		now := time.Now()
		if now.Sub(a.run.versionChecked) >= versionCheckInterval {
			a.run.versionChecked = now
			a.run.shareVersion(ctx)
		}
		a.copier.checkCopy(ctx, now)
		step := judgeSilence(silenceInput{
			limits:  a.silenceLimits(now),
			silence: a.silence(now), sinceProbe: now.Sub(lastProbe), hasProbe: lastProbe.After(a.lastProgress),
			probeAnswered: probeAnswered,
		})
		if step.stalled || linkLost {
			// This goroutine may run late: a target whose next event waits for it is not silent.
			select {
			case message := <-a.messages:
				if ending, ended, err := a.handleMessage(ctx, message); ended {
					return ending, err
				}
				timer.Reset(minTimerDelay)
				continue
			default:
			}
		}
		if linkLost {
			return endingLinkLost, errLinkLost
		}
		if step.stalled {
			if a.run.claimMove(a.target) {
				return endingStalled, errStalled
			}
			step.checkIn, step.probeIn = silentProbeInterval, silentProbeInterval
		}
		if probeDone == nil && (step.probeIn <= 0 || a.run.relay.connectivity.ClaimRegainCheck(now)) {
			probeDone = a.probe()
		}
		timer.Reset(max(minTimerDelay, step.checkIn))
	}
}

// errProbeFailed and errStalled are the causes of an attempt that ended as silent or stalled.
var (
	errProbeFailed = errors.New("target accepts no connection")
	errLinkLost    = errors.New("only peers reach the target")
	errStalled     = errors.New("target answers but the stream does not go on")
)

// contextEnding returns the ending for a request whose context is done.
func contextEnding(ctx context.Context) relayEnding {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return endingDeadline
	}
	return endingCallerDisconnected
}

// handleMessage processes a message; ended reports that the attempt has ended.
func (a *activeAttempt) handleMessage(ctx context.Context, message relayMessage) (ending relayEnding, ended bool, err error) {
	run := a.run
	if ctx.Err() != nil {
		return contextEnding(ctx), true, ctx.Err()
	}
	now := time.Now()
	switch {
	case message.err != nil:
		ending, err = run.classifyError(message.err)
		if ending == endingComplete && !run.headSent {
			err = run.sink.Begin(a.stream.Head())
		}
		return ending, true, err
	case message.stream != nil:
		a.stream = message.stream
		run.relay.options.Placer.ReportAlive(a.target)
		return 0, false, nil
	}
	switch {
	case a.eventCount == 0:
		if err := a.bindVersion(); err != nil {
			return endingStalled, true, err
		}
		run.shareVersion(ctx)
		run.relay.options.CrashRecords.RecordAnswer(run.work())
	case !run.relay.connectivity.wasLostSince(a.lastProgress):
		a.gaps.Observe(now.Sub(a.lastProgress))
	}
	a.eventCount++
	a.lastProgress, a.lastReceived = now, message.receivedAt
	a.monitor.lastEvent.Store(now.UnixNano())
	a.placed.EventArrived()
	if err := a.forwardEvent(message.event); err != nil {
		if errors.Is(err, errCallerWrite) {
			return endingCallerDisconnected, true, err
		}
		return endingBroken, true, err
	}
	if ctx.Err() != nil {
		return contextEnding(ctx), true, ctx.Err()
	}
	// The time in which the caller did not read does not count as the target's silence.
	a.lastProgress = time.Now()
	return 0, false, nil
}

// errEventOrder: the target skipped events of the stream, or sent others in their place.
var errEventOrder = errors.New("generation: events of the target don't continue the stream")

// errCallerWrite: a write to the caller failed.
var errCallerWrite = errors.New("generation: caller can't be written to")

// forwardEvent passes an event to the caller if it is the next one. It drops an event that the
// caller already has.
func (a *activeAttempt) forwardEvent(event RelayEvent) error {
	run := a.run
	if event.ID >= 0 && run.lastEvent >= 0 {
		if event.ID <= run.lastEvent {
			run.relay.stats.Duplicate.Add(1)
			return nil
		}
		if event.ID != run.lastEvent+1 {
			run.relay.stats.Gap.Add(1)
			return errEventOrder
		}
	}
	if a.isContinuation && !a.hasContinued && event.ID < 0 && !event.Comment && !defect.Enabled(defect.ErrorPassedOn) {
		// What has no ID can't be told from the text of an error.
		run.relay.stats.Gap.Add(1)
		return errEventOrder
	}
	if !run.headSent {
		run.head = a.stream.Head()
		if err := run.sink.Begin(run.head); err != nil {
			return errors.Join(errCallerWrite, err)
		}
		run.headSent = true
	}
	if err := run.sink.Event(event); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	if !event.Comment {
		run.lastWithoutID = event.ID < 0
	}
	if event.ID >= 0 {
		run.lastEvent = event.ID
		a.hasContinued = true
	}
	run.relay.stats.Accepted.Add(1)
	return nil
}

// classifyError returns how an attempt ended and its error, given the error of its stream. It keeps
// a failure that the target answered with.
func (run *relayRun) classifyError(err error) (relayEnding, error) {
	var refused *RelayRefusedError
	var answered *RelayTargetError
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return endingComplete, nil
	case errors.As(err, &refused):
		return endingRefused, err
	case errors.As(err, &answered):
		run.lastAnswer = answered
		return endingAnswered, err
	case errors.Is(err, ErrRelayHeldUp):
		return endingSilent, err
	}
	return endingBroken, err
}

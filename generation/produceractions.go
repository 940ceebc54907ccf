package generation

import (
	"context"
	"slices"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/journal"
)

// minTimerDelay keeps the producer from spinning when a time limit has just passed.
const minTimerDelay = time.Millisecond

// newestAttempt returns the attempt that decisions are about, nil if there is none.
func (p *producer) newestAttempt() *attempt {
	if len(p.attempts) == 0 {
		return nil
	}
	return p.attempts[len(p.attempts)-1]
}

// silence returns the time since the attempt's last progress. Time during which this process was
// paused does not count, since every stream seems silent then.
func (p *producer) silence(a *attempt, now time.Time) time.Duration {
	return now.Sub(a.progress) - (p.run.manager.pauses.Lost(now) - a.pausedTime)
}

// activeTargetMultiple is the factor on the silence limit of a stream whose target serves other
// streams.
const activeTargetMultiple = 4

// silenceLimit returns the silence after which an attempt is suspected.
func (p *producer) silenceLimit(a *attempt, now time.Time) time.Duration {
	bound := a.bound(p.policy)
	last := p.run.manager.targets.LastEvent(a.target.Metadata.Name)
	if last.After(a.progress) && now.Sub(last) < bound {
		return activeTargetMultiple * bound
	}
	return bound
}

func (p *producer) currentSituation(now time.Time) situation {
	request := &p.run.request
	s := situation{
		Prefer:     request.Recovery.Prefer,
		Starting:   p.starting,
		BudgetLeft: p.run.manager.duplication.allows(request.Deployment, request.Recovery.DuplicationBudget),
		Parallel:   len(p.attempts) > 1,
	}
	a := p.newestAttempt()
	if a == nil {
		return s
	}
	s.HasAttempt = true
	s.Broken = a.stream == nil
	s.TargetStopping = p.mustLeaveTarget(a, now)
	s.Attaching = a.attaching
	s.AttachFailed = a.attachFailed
	s.Resumable = a.resumable()
	s.Silence = p.silence(a, now)
	s.Bound = p.silenceLimit(a, now)
	return s
}

// takeAction takes the action that is due and returns the delay until the next check.
func (p *producer) takeAction(now time.Time) time.Duration {
	if p.run.endReceived() {
		return checkInterval
	}
	s := p.currentSituation(now)
	action := nextAction(s)
	if s.isSilent() && action != ActionWait && p.handleWaiting() {
		return minTimerDelay
	}
	if s.HasAttempt && !s.Broken && action != ActionWait {
		p.markSilent(p.newestAttempt(), now)
	}
	switch action {
	case ActionAttach:
		p.attach(p.newestAttempt())
	case ActionReplace:
		p.replaceAttempts()
	case ActionSpeculate:
		p.run.manager.stats.Speculative.Add(1)
		p.countSpeculation()
		p.speculation = p.startAttempt(false, p.attemptTargets(), nil)
	}
	if s.HasAttempt && s.Silence < s.Bound {
		return max(minTimerDelay, min(checkInterval, s.Bound-s.Silence))
	}
	return checkInterval / 10
}

// handleWaiting handles one message that waits, and reports whether there was one. On a busy machine this goroutine
// may run late: a stream whose next event waits for it is not silent.
func (p *producer) handleWaiting() bool {
	select {
	case m := <-p.messages:
		m.apply(p, time.Now())
		return true
	default:
		return false
	}
}

// prefillCostRatio is the work of prefilling one token relative to that of generating one.
const prefillCostRatio = 1.0 / 50

// countSpeculation counts the work of another prefill against the duplication budget.
func (p *producer) countSpeculation() {
	request := &p.run.request
	tokens := float64(len(request.Prompt)/bytesPerToken + len(p.run.output()))
	p.run.manager.duplication.addDuplicated(request.Deployment, 1+int(tokens*prefillCostRatio))
}

// bytesPerToken approximates the prompt's length in tokens.
const bytesPerToken = 4

// endReceived reports whether the log has its end, committed or not.
func (r *run) endReceived() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Finish != ""
}

// markSilent counts a silent attempt once, and keeps new attempts away from its target.
func (p *producer) markSilent(a *attempt, now time.Time) {
	if a.suspected {
		return
	}
	a.suspected = true
	p.markInterrupted(a)
	p.run.manager.stats.Suspicions.Add(1)
	p.run.manager.targets.Suspect(a.target.Metadata.Name, now)
	p.log("stream-silent", Field{"target", a.target.Metadata.Name}, Field{"silence", p.silence(a, now)})
}

// handleBrokenStream handles a stream that ended without its end marker.
func (p *producer) handleBrokenStream(a *attempt, err error) {
	if p.run.endReceived() {
		return
	}
	p.run.manager.stats.Broken.Add(1)
	p.run.manager.targets.Suspect(a.target.Metadata.Name, time.Now())
	p.log("stream-broken", Field{"target", a.target.Metadata.Name}, Field{"error", err})
	a.broken = true
	p.markInterrupted(a)
	a.closeStream()
}

// attach reads the attempt's stream again from the next index, in a separate goroutine.
func (p *producer) attach(a *attempt) {
	a.attaching = true
	from := a.verified
	timeout := p.attachTimeout(a)
	m := p.run.manager
	m.background.Go(func() {
		ctx, cancel := context.WithCancel(p.ctx)
		timer := time.AfterFunc(timeout, cancel)
		stream, err := m.options.Engine.Attach(ctx, a.target, a.id, from)
		timedOut := !timer.Stop()
		if err == nil && timedOut {
			stream.Close()
			err = context.DeadlineExceeded
		}
		if err != nil {
			cancel()
		}
		if !p.post(attachMessage{attempt: a, stream: stream, cancel: cancel, err: err, timedOut: timedOut}) {
			cancel()
		}
	})
}

// attachTimeout returns how long the target may take to resume a stream. A target whose stream was
// taken over from another entry, or was only incomplete, is not suspected: it gets more time, since
// a new attempt would repeat its work.
func (p *producer) attachTimeout(a *attempt) time.Duration {
	if a.broken || a.suspected {
		return p.policy.attachTimeout
	}
	return costPolicy.attachTimeout
}

// isAskedAgain reports whether a target that didn't answer an attach in time is asked again. The target of a stream that
// was taken over has given no other sign of a loss: under PreferCost it has as long as any stream without an estimate of
// its gaps.
func (p *producer) isAskedAgain(a *attempt, now time.Time) bool {
	return p.run.request.Recovery.Prefer != v1.PreferLatency && a.stream == nil && !a.broken && !a.suspected &&
		p.silence(a, now) < p.policy.tokenSensitivity.InitialLimit
}

// apply handles the outcome of an attach. After a successful one, attachFailed stays set until a
// token arrives, so that a target which resumes the stream but sends nothing is replaced.
func (m attachMessage) apply(p *producer, now time.Time) {
	a := m.attempt
	a.attaching = false
	obsolete := !slices.Contains(p.attempts, a) || (a.stream != nil && !a.suspected)
	if m.err != nil {
		a.attachFailed = !obsolete && !(m.timedOut && p.isAskedAgain(a, now))
		return
	}
	if obsolete {
		m.stream.Close()
		m.cancel()
		return
	}
	a.closeStream()
	a.stream = m.stream
	a.cancel = m.cancel
	a.progress = now
	a.pausedTime = p.run.manager.pauses.Lost(now)
	a.attachFailed = true
	a.broken = false
	p.run.manager.stats.Attached.Add(1)
	p.run.manager.targets.Alive(a.target.Metadata.Name, now)
	p.log("stream-attached", Field{"target", a.target.Metadata.Name}, Field{"attempt", a.number()})
	stream := a.stream
	p.run.manager.background.Go(func() { p.readStream(a, stream) })
}

// replaceAttempts abandons every attempt and starts a new one.
func (p *producer) replaceAttempts() {
	var crashed []string
	exclude := p.attemptTargets()
	for _, a := range slices.Clone(p.attempts) {
		if a.broken {
			crashed = append(crashed, a.target.Metadata.Name)
		}
		p.removeAttempt(a, true)
		p.run.manager.cancelStream(a.target, a.id)
	}
	p.crashRecorded = p.crashRecorded || len(crashed) > 0
	p.startAttempt(true, exclude, crashed)
}

// attemptTargets returns the targets of the current attempts.
func (p *producer) attemptTargets() []string {
	var names []string
	for _, a := range p.attempts {
		names = append(names, a.target.Metadata.Name)
	}
	return names
}

// startAttempt starts an attempt at a target that is not excluded, after it has recorded the
// crashes that led to it.
func (p *producer) startAttempt(records bool, exclude, crashed []string) *starter {
	p.starting = true
	s := &starter{
		producer:      p,
		attemptNumber: p.nextNumber(),
		output:        p.run.output(),
		resuming:      p.attemptAccepted,
		journaled:     records,
		exclude:       exclude,
	}
	p.run.manager.background.Go(func() {
		for _, target := range crashed {
			p.recordCrash(target)
		}
		s.run()
	})
	return s
}

// giveUpSpeculation stops the start of an attempt beside a, which has resumed. A target that is being asked may still
// accept; whether that attempt is used depends on the silence then.
func (p *producer) giveUpSpeculation(a *attempt) {
	if p.speculation == nil || p.speculation.unwanted.Swap(true) {
		return
	}
	p.log("speculation-given-up", Field{"target", a.target.Metadata.Name})
}

// attachFormerAttempt takes over the attempt that the former producer recorded: its stream is read
// again before any new attempt.
func (p *producer) attachFormerAttempt(former journal.Attempt) {
	find := p.run.manager.options.Target
	if former.Number == 0 || find == nil || p.run.endReceived() {
		return
	}
	target := find(former.Target)
	if target == nil {
		return
	}
	a := &attempt{
		id:         StreamID{Generation: p.generation, Attempt: former.Number},
		target:     target,
		cancel:     func() {},
		progress:   time.Now(),
		pausedTime: p.run.manager.pauses.Lost(time.Now()),
		verified:   len(p.run.output()),
	}
	p.journaledAttempt = former.Number
	p.attempts = append(p.attempts, a)
	p.arbiter.Add(a.number())
}

package generation

import (
	"context"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/journal"
)

// minimumWait keeps the producer from spinning when a bound has just passed.
const minimumWait = time.Millisecond

// newest returns the attempt that decisions are about, nil if there is none.
func (p *producer) newest() *attempt {
	if len(p.attempts) == 0 {
		return nil
	}
	return p.attempts[len(p.attempts)-1]
}

// silence returns the time since the attempt's last progress. Time in which this process did not
// run doesn't count: every stream seems silent then.
func (p *producer) silence(a *attempt, now time.Time) time.Duration {
	return now.Sub(a.progress) - (p.run.manager.pauses.Lost(now) - a.pausedTime)
}

// livelyMultiple is the multiple of the bound for a silent stream of a target that serves others.
const livelyMultiple = 4

// bound returns the silence of an attempt that is suspicious.
func (p *producer) bound(a *attempt, now time.Time) time.Duration {
	bound := a.bound(p.policy)
	last := p.run.manager.targets.LastEvent(a.target.Metadata.Name)
	if last.After(a.progress) && now.Sub(last) < bound {
		return livelyMultiple * bound
	}
	return bound
}

func (p *producer) situation(now time.Time) situation {
	request := &p.run.request
	s := situation{
		Prefer:     request.Recovery.Prefer,
		Starting:   p.starting,
		BudgetLeft: p.run.manager.duplication.left(request.Deployment, request.Recovery.DuplicationBudget),
		Parallel:   len(p.attempts) > 1,
	}
	a := p.newest()
	if a == nil {
		return s
	}
	s.HasAttempt = true
	s.Broken = a.stream == nil
	s.TargetStopping = p.mustMove(a, now)
	s.Attaching = a.attaching
	s.AttachFailed = a.attachFailed
	s.Resumable = a.resumable()
	s.Silence = p.silence(a, now)
	s.Bound = p.bound(a, now)
	return s
}

// act does what the situation demands and returns when to look again.
func (p *producer) act(now time.Time) time.Duration {
	if p.run.ended() {
		return checkInterval
	}
	s := p.situation(now)
	action := nextAction(s)
	if s.HasAttempt && !s.Broken && action != ActionWait {
		p.suspect(p.newest(), now)
	}
	switch action {
	case ActionAttach:
		p.attach(p.newest())
	case ActionReplace:
		p.replace()
	case ActionSpeculate:
		p.run.manager.stats.Speculative.Add(1)
		p.chargeSpeculation()
		p.start(false, p.targets(), nil)
	}
	if s.HasAttempt && s.Silence < s.Bound {
		return max(minimumWait, min(checkInterval, s.Bound-s.Silence))
	}
	return checkInterval / 10
}

// prefillShare is the work of prefilling one token, over that of generating one.
const prefillShare = 1.0 / 50

// chargeSpeculation counts the work of another prefill against the duplication budget.
func (p *producer) chargeSpeculation() {
	request := &p.run.request
	tokens := float64(len(request.Prompt)/bytesPerToken + len(p.run.output()))
	p.run.manager.duplication.duplicate(request.Deployment, 1+int(tokens*prefillShare))
}

// bytesPerToken approximates the prompt's length in tokens.
const bytesPerToken = 4

// ended tells whether the log has its end, committed or not.
func (r *run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Finish != ""
}

// suspect counts a silent attempt once, and keeps new attempts away from its target.
func (p *producer) suspect(a *attempt, now time.Time) {
	if a.suspected {
		return
	}
	a.suspected = true
	p.markInterrupted(a)
	p.run.manager.stats.Suspicions.Add(1)
	p.run.manager.targets.Suspect(a.target.Metadata.Name, now)
	p.log("stream-silent", Field{"target", a.target.Metadata.Name}, Field{"silence", p.silence(a, now)})
}

// broken handles the end of a stream without its end marker.
func (p *producer) broken(a *attempt, err error) {
	if p.run.ended() {
		return
	}
	p.run.manager.stats.Broken.Add(1)
	p.run.manager.targets.Suspect(a.target.Metadata.Name, time.Now())
	p.log("stream-broken", Field{"target", a.target.Metadata.Name}, Field{"error", err})
	a.broken = true
	p.markInterrupted(a)
	a.closeStream()
}

// attach reads the attempt's stream again from the next index, apart from the producer's goroutine.
func (p *producer) attach(a *attempt) {
	a.attaching = true
	from := a.verified
	patience := p.attachPatience(a)
	m := p.run.manager
	m.background.Go(func() {
		ctx, cancel := context.WithCancel(p.ctx)
		late := time.AfterFunc(patience, cancel)
		stream, err := m.options.Engine.Attach(ctx, a.target, a.id, from)
		if err == nil && !late.Stop() {
			stream.Close()
			err = context.DeadlineExceeded
		}
		late.Stop()
		if err != nil {
			cancel()
		}
		if !p.post(attachMessage{attempt: a, stream: stream, cancel: cancel, err: err}) {
			cancel()
		}
	})
}

// attachPatience returns how long the target may take to resume a stream. Nothing speaks against a
// target whose stream was taken over from another entry, or was only incomplete: it gets more time,
// since a new attempt would repeat its work.
func (p *producer) attachPatience(a *attempt) time.Duration {
	if a.broken || a.suspected {
		return p.policy.attachTimeout
	}
	return costPolicy.attachTimeout
}

// apply handles the outcome of an attach. A stream that was read again counts as tried until a token
// comes, so that a target which resumes but does not go on is replaced at last.
func (m attachMessage) apply(p *producer, now time.Time) {
	a := m.attempt
	a.attaching = false
	useless := !slices.Contains(p.attempts, a) || (a.stream != nil && !a.suspected)
	if m.err != nil {
		a.attachFailed = !useless
		return
	}
	if useless {
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

// replace gives every attempt up and starts a new one.
func (p *producer) replace() {
	var dead []string
	exclude := p.targets()
	for _, a := range slices.Clone(p.attempts) {
		if a.broken {
			dead = append(dead, a.target.Metadata.Name)
		}
		p.removeAttempt(a, true)
		p.run.manager.cancelStream(a.target, a.id)
	}
	p.crashRecorded = p.crashRecorded || len(dead) > 0
	p.start(true, exclude, dead)
}

// targets returns the targets of the present attempts.
func (p *producer) targets() []string {
	var names []string
	for _, a := range p.attempts {
		names = append(names, a.target.Metadata.Name)
	}
	return names
}

// start starts an attempt elsewhere, after the deaths that led to it have been charged.
func (p *producer) start(records bool, exclude, dead []string) {
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
		for _, target := range dead {
			p.charge(target)
		}
		s.run()
	})
}

// attachFormer takes over the attempt that the former producer recorded: its stream is read again
// before any new attempt.
func (p *producer) attachFormer(former journal.Attempt) {
	find := p.run.manager.options.Target
	if former.Number == 0 || find == nil || p.run.ended() {
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

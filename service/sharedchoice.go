package service

import (
	"context"
	"time"
)

// SharedChoice chooses targets for all entries together.
type SharedChoice interface {
	// Choose returns the name of the target for an attempt, empty if the entry must choose by itself. ended must be called once when the
	// attempt has ended, with its time if it was answered, otherwise 0; it is nil without a target.
	Choose(ctx context.Context, query ChoiceQuery) (target string, ended func(took time.Duration))
	// IsShared reports whether the targets of calls to the service are chosen for all entries together now.
	IsShared(service string) bool
}

// ChoiceQuery is what a SharedChoice needs to know of an attempt.
type ChoiceQuery struct {
	Service, Request string
	// Targets are those that the entry can use for the attempt.
	Targets []Target
	// Connected reports whether the entry has an idle connection to one of them; nil means that it is not known.
	Connected func(target string) bool
}

// sharedTargetChoice is the answer of a SharedChoice.
type sharedTargetChoice struct {
	target string
	ended  func(took time.Duration)
}

// release ends the attempt that was not made.
func (c sharedTargetChoice) release() {
	if c.ended != nil {
		c.ended(0)
	}
}

// chooseForward returns a lease on the target for the next attempt: one whose breaker is due for a probe, or the one that is chosen for all
// entries together unless that was asked for already, or the one with the fewest calls of this entry in progress; nil if there is none.
func (w *forwardRun) chooseForward(ctx context.Context, isAsked bool) (chosen *lease, isObsolete bool) {
	targets := w.pool.allowedTargets(w.call.Versions)
	if probe, ok := w.pool.leaseDueProbe(targets, w.tried); ok {
		return probe, false
	}
	if candidates := w.sharedCandidates(targets, isAsked); len(candidates) > 1 {
		if chosen, isObsolete = w.leaseShared(ctx, candidates); chosen != nil || isObsolete {
			return chosen, isObsolete
		}
		targets = w.pool.allowedTargets(w.call.Versions) // they may have changed meanwhile
	}
	if chosen, ok := w.pool.chooseAmong(targets, w.tried, false); ok {
		return chosen, false
	}
	return nil, false
}

// sharedCandidates returns the targets among which one may be chosen for all entries together; none if this entry must choose by itself.
func (w *forwardRun) sharedCandidates(targets []Target, isAsked bool) []Target {
	shared := w.forwarder.options.SharedChoice
	if isAsked || w.onTrial || shared == nil || !shared.IsShared(w.call.Service) {
		return nil
	}
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	return w.pool.candidates(targets, w.tried, false, true)
}

// leaseShared returns a lease on the one of the targets that is chosen for all entries together; nil if this entry must choose by itself.
// isObsolete is set if the attempt is not needed any more.
func (w *forwardRun) leaseShared(ctx context.Context, targets []Target) (chosen *lease, isObsolete bool) {
	choice, isObsolete := w.askShared(ctx, ChoiceQuery{Service: w.call.Service, Request: w.call.ID, Targets: targets})
	if isObsolete || choice.target == "" {
		choice.release()
		return nil, isObsolete
	}
	chosen, ok := w.pool.leaseNamed(choice.target, w.tried, w.call.Versions)
	if !ok {
		choice.release()
		return nil, false
	}
	chosen.ended = choice.ended
	return chosen, false
}

// askShared has the target of an attempt chosen. While other attempts are in progress it ends with the answer of one, whose result it
// leaves in w.results: an answer must not wait for the choice of a hedge's target.
func (w *forwardRun) askShared(ctx context.Context, query ChoiceQuery) (choice sharedTargetChoice, isObsolete bool) {
	shared := w.forwarder.options.SharedChoice
	if w.state.running == 0 {
		choice.target, choice.ended = shared.Choose(ctx, query)
		return choice, ctx.Err() != nil
	}
	asked, cancel := context.WithCancel(ctx)
	defer cancel()
	chosen := make(chan sharedTargetChoice, 1)
	go func() {
		target, ended := shared.Choose(asked, query)
		chosen <- sharedTargetChoice{target, ended}
	}()
	select {
	case choice = <-chosen:
		return choice, ctx.Err() != nil
	case result := <-w.results:
		w.results <- result // there is room, since each attempt sends one
		isAnswered := result.sent.Verdict == SendAnswered
		if isAnswered {
			cancel()
		}
		return <-chosen, isAnswered || ctx.Err() != nil
	}
}

// leaseNamed returns a lease on a target unless it may not get the attempt any more.
func (p *pool) leaseNamed(name string, tried []string, versions VersionChoice) (*lease, bool) {
	targets := p.allowedTargets(versions)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range p.candidates(targets, tried, false, true) {
		if target.Name == name {
			return p.newLease(target, false, false), true
		}
	}
	return nil, false
}

// reportEnd reports how long the attempt took if the target was chosen for all entries together.
func (l *lease) reportEnd(verdict SendVerdict, took time.Duration) {
	if l.ended == nil {
		return
	}
	if verdict != SendAnswered {
		took = 0
	}
	l.ended(took)
}

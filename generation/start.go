package generation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/journal"
)

const (
	// retryAfter is when a refused caller may try again.
	retryAfter = time.Second
	// chooseBackoff and chooseBackoffLimit are the waits for a target during a resumption.
	chooseBackoff      = 20 * time.Millisecond
	chooseBackoffLimit = 500 * time.Millisecond
	// resumeLimit is how long a resumption waits for a target that runs the pinned version.
	resumeLimit = 2 * time.Minute
)

// starter starts one attempt, apart from the producer's goroutine.
type starter struct {
	producer *producer
	number   int
	output   []string
	// resumes tells that the generation ran before: the start waits for a target.
	resumes bool
	// records tells that the attempt becomes the one to which a successor attaches.
	records    bool
	dispatched bool
	exclude    []string
}

// run reports the attempt, or why there is none.
func (s *starter) run() {
	a, err := s.start()
	if s.producer.post(started{attempt: a, err: err}) || a == nil {
		return
	}
	a.closeStream()
	a.release(false)
}

func (s *starter) start() (*attempt, error) {
	isolated, release, err := s.producer.awaitAdmission()
	if err != nil {
		return nil, err
	}
	a, err := s.choose(isolated)
	if err != nil {
		release()
		return nil, err
	}
	a.onRelease = release
	return a, nil
}

// choose tries targets until one accepts. A resumption waits for one.
func (s *starter) choose(isolated bool) (*attempt, error) {
	p := s.producer
	deadline := time.Now().Add(resumeLimit)
	backoff := chooseBackoff
	for {
		a, err := s.pass(isolated)
		if err == nil {
			return a, nil
		}
		if p.ctx.Err() != nil || !s.resumes || time.Now().After(deadline) {
			return nil, s.refusal(err)
		}
		s.exclude = nil
		if wait.For(p.ctx, backoff) != nil {
			return nil, s.refusal(p.ctx.Err())
		}
		backoff = min(2*backoff, chooseBackoffLimit)
	}
}

// pass tries each target that the chooser offers. A resumption waits for its turn first, and keeps
// its place until the first token, which bounds the prefills that run at once.
func (s *starter) pass(isolated bool) (*attempt, error) {
	p := s.producer
	leave := func() {}
	if s.resumes {
		var err error
		leave, err = p.run.manager.pacer.enter(p.ctx, p.run.request.Priority)
		if err != nil {
			return nil, err
		}
	}
	for {
		a, err := s.try(isolated)
		if err == nil {
			a.onFirstToken = sync.OnceFunc(leave)
			return a, nil
		}
		if errors.Is(err, ErrNoTarget) || p.ctx.Err() != nil {
			leave()
			return nil, err
		}
	}
}

func (s *starter) refusal(err error) error {
	return &GivenUpError{Started: s.resumes || s.dispatched, RetryAfter: retryAfter, Cause: err}
}

// try asks one target. It excludes the target from further tries when that fails.
func (s *starter) try(isolated bool) (*attempt, error) {
	p := s.producer
	suspected := p.run.manager.targets.Suspected(time.Now())
	request := p.run.request
	choice := Choice{Request: &request, OutputTokens: len(s.output), Isolated: isolated}
	choice.Exclude = append(suspected, s.exclude...)
	lease, err := p.run.manager.options.Chooser.Choose(p.ctx, choice)
	if err != nil && len(suspected) > 0 {
		// A suspicion is this entry's view, and may be its own fault: a suspected target is better
		// than none.
		choice.Exclude = s.exclude
		lease, err = p.run.manager.options.Chooser.Choose(p.ctx, choice)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoTarget, err)
	}
	a, err := s.generate(lease)
	if err != nil {
		s.exclude = append(s.exclude, lease.Target.Metadata.Name)
		lease.Done(Usage{Failed: !definite(err)})
		return nil, err
	}
	return a, nil
}

// definite tells whether the target answered, or was never reached: it did not run the request.
func definite(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrNotLoaded) || errors.Is(err, ErrUnreachable)
}

func (s *starter) generate(lease *Lease) (*attempt, error) {
	p := s.producer
	id := StreamID{Generation: p.generation, Attempt: s.number}
	if s.records {
		p.writer.SetAttempt(journal.Attempt{Number: s.number, Target: lease.Target.Metadata.Name})
	}
	ctx, cancel := context.WithCancel(p.ctx)
	late := time.AfterFunc(p.policy.accept, cancel)
	dispatched := time.Now()
	request := StreamRequest{ID: id, Request: p.run.request, Output: s.output}
	stream, err := p.run.manager.options.Engine.Generate(ctx, lease.Target, request)
	if err == nil && !late.Stop() {
		stream.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		late.Stop()
		cancel()
		s.failed(lease, id, err)
		return nil, err
	}
	p.run.manager.stats.Attempts.Add(1)
	return &attempt{
		id:         id,
		target:     lease.Target,
		lease:      lease,
		stream:     stream,
		cancel:     cancel,
		dispatched: dispatched,
		progress:   time.Now(),
		verified:   len(s.output),
	}, nil
}

// failed takes note of a target that did not accept the attempt.
func (s *starter) failed(lease *Lease, id StreamID, err error) {
	p := s.producer
	if p.ctx.Err() != nil {
		return
	}
	name := lease.Target.Metadata.Name
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrNotLoaded) {
		p.run.manager.targets.Suspect(name, time.Now())
	}
	p.log("attempt-not-accepted", Field{"target", name}, Field{"error", err})
	if !definite(err) {
		s.dispatched = true
		p.run.manager.cancelStream(lease.Target, id)
	}
	s.number = p.nextNumber()
}

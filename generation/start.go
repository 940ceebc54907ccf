package generation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/journal"
)

const (
	// retryAfter is the delay after which a rejected caller may retry.
	retryAfter = time.Second
	// chooseBackoff and chooseBackoffLimit are the first and the longest delay between two searches for a
	// target when a generation is resumed.
	chooseBackoff      = 20 * time.Millisecond
	chooseBackoffLimit = 500 * time.Millisecond
	// resumeTimeout bounds the wait of a resumed generation for a target that runs the pinned version.
	resumeTimeout = 2 * time.Minute
)

// starter starts one attempt, in a goroutine of its own.
type starter struct {
	producer      *producer
	attemptNumber int
	output        []string
	// resuming is set if an attempt has run before: the start then waits for a target.
	resuming bool
	// journaled is set if the replicas learn of the attempt before a target does, so that the producer of
	// the next term attaches to it.
	journaled bool
	// mayHaveRun is set once a target may have run the attempt.
	mayHaveRun bool
	exclude    []string
	// unwanted is set once the silent stream that the attempt was to replace has resumed: no further target is tried.
	unwanted atomic.Bool
}

// errUnwanted: the silent stream that the attempt was to replace has resumed.
var errUnwanted = errors.New("generation: attempt no longer wanted")

// run starts the attempt and reports it, or the error, to the producer.
func (s *starter) run() {
	a, err := s.start()
	if s.producer.post(startMessage{attempt: a, err: err}) || a == nil {
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
	a, err := s.startWithRetries(isolated)
	if err != nil {
		release()
		return nil, err
	}
	a.onRelease = release
	return a, nil
}

// startWithRetries tries targets until one accepts. It searches again only if the generation is resumed.
func (s *starter) startWithRetries(isolated bool) (*attempt, error) {
	p := s.producer
	deadline := time.Now().Add(resumeTimeout)
	backoff := chooseBackoff
	for {
		a, err := s.tryTargets(isolated)
		if err == nil {
			return a, nil
		}
		if p.ctx.Err() != nil || errors.Is(err, errUnwanted) || !s.resuming || time.Now().After(deadline) {
			return nil, s.givenUp(err)
		}
		s.exclude = nil
		if wait.For(p.ctx, backoff) != nil {
			return nil, s.givenUp(p.ctx.Err())
		}
		backoff = min(2*backoff, chooseBackoffLimit)
	}
}

// tryTargets tries the targets that the chooser returns, one by one. A resumed generation first waits for
// a slot of the pacer and keeps it until the first token, which bounds the concurrent prefills.
func (s *starter) tryTargets(isolated bool) (*attempt, error) {
	p := s.producer
	releaseSlot := func() {}
	if s.resuming {
		var err error
		releaseSlot, err = p.run.manager.pacer.acquire(p.ctx, p.run.request.Priority)
		if err != nil {
			return nil, err
		}
	}
	for {
		a, err := s.tryTarget(isolated)
		if err == nil {
			a.onFirstToken = sync.OnceFunc(releaseSlot)
			return a, nil
		}
		if errors.Is(err, ErrNoTarget) || errors.Is(err, errUnwanted) || p.ctx.Err() != nil {
			releaseSlot()
			return nil, err
		}
	}
}

func (s *starter) givenUp(err error) error {
	return &GivenUpError{MayHaveRun: s.resuming || s.mayHaveRun, RetryAfter: retryAfter, Cause: err}
}

// tryTarget tries one target. If it fails, the target is excluded from further tries.
func (s *starter) tryTarget(isolated bool) (*attempt, error) {
	if s.unwanted.Load() {
		return nil, errUnwanted
	}
	p := s.producer
	suspected := p.run.manager.targets.Suspected(time.Now())
	request := p.run.request
	query := TargetQuery{Request: &request, OutputTokens: len(s.output), Isolated: isolated}
	query.Exclude = append(suspected, s.exclude...)
	lease, err := p.run.manager.options.Chooser.Choose(p.ctx, query)
	if err != nil && len(suspected) > 0 {
		// The suspicion is only this entry's view, and the fault may be its own: a suspected target is
		// better than none.
		query.Exclude = s.exclude
		lease, err = p.run.manager.options.Chooser.Choose(p.ctx, query)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoTarget, err)
	}
	a, err := s.openStream(lease)
	if err != nil {
		s.exclude = append(s.exclude, lease.Target.Metadata.Name)
		lease.Done(Usage{Failed: !provesNotRun(err)})
		return nil, err
	}
	return a, nil
}

// provesNotRun reports whether the target did not run the request: it answered so, or was never reached.
func provesNotRun(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrNotLoaded) || errors.Is(err, ErrUnreachable)
}

func (s *starter) openStream(lease *Lease) (*attempt, error) {
	p := s.producer
	id := StreamID{Generation: p.generation, Attempt: s.attemptNumber}
	if s.journaled {
		p.writer.SetAttempt(journal.Attempt{Number: s.attemptNumber, Target: lease.Target.Metadata.Name})
	}
	ctx, cancel := context.WithCancel(p.ctx)
	acceptTimer := time.AfterFunc(p.policy.acceptTimeout, cancel)
	dispatched := time.Now()
	request := StreamRequest{ID: id, Request: p.run.request, Output: s.output}
	stream, err := p.run.manager.options.Engine.Generate(ctx, lease.Target, request)
	if err == nil && !acceptTimer.Stop() {
		stream.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		acceptTimer.Stop()
		cancel()
		s.handleFailure(lease, id, err)
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

// handleFailure records that a target did not accept the attempt. The attempt is cancelled there if it
// may have run.
func (s *starter) handleFailure(lease *Lease, id StreamID, err error) {
	p := s.producer
	if p.ctx.Err() != nil {
		return
	}
	name := lease.Target.Metadata.Name
	if !errors.Is(err, ErrRefused) && !errors.Is(err, ErrNotLoaded) {
		p.run.manager.targets.Suspect(name, time.Now())
	}
	p.log("attempt-not-accepted", Field{"target", name}, Field{"error", err})
	if !provesNotRun(err) {
		s.mayHaveRun = true
		p.run.manager.cancelStream(lease.Target, id)
	}
	s.attemptNumber = p.nextNumber()
}

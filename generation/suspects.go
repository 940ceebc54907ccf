package generation

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// Suspects is the port to the deaths charged to fingerprints, in which all entries share.
type Suspects interface {
	// Charge records that target died while it ran the fingerprint.
	Charge(ctx context.Context, fingerprint, target string)
	// Clear records that the fingerprint finished on a target.
	Clear(ctx context.Context, fingerprint string)
	// Deaths returns the number of distinct targets charged to the fingerprint that this entry
	// knows of; it asks nobody.
	Deaths(fingerprint string) int
	// Isolate takes the deployment's one place for suspects; false when it is taken. The place
	// frees itself after the hold.
	Isolate(ctx context.Context, deployment, holder string, hold time.Duration) bool
	// Release gives the place back.
	Release(ctx context.Context, deployment, holder string)
}

const (
	// isolationHold is how long one suspect keeps others from starting.
	isolationHold = 10 * time.Second
	// isolationPoll is the time between tries to get the place for suspects.
	isolationPoll = 50 * time.Millisecond
	// suspectTimeout bounds a call that shares a charge.
	suspectTimeout = 200 * time.Millisecond
	// firstChargePatience is how long an attempt after a first death waits for other entries.
	firstChargePatience = 5 * time.Millisecond
)

// localSuspects keeps the charges of one entry.
type localSuspects struct {
	deaths *health.Deaths
	places *Places
}

func newLocalSuspects() *localSuspects {
	return &localSuspects{deaths: health.NewDeaths(), places: NewPlaces()}
}

// Charge implements Suspects.
func (s *localSuspects) Charge(_ context.Context, fingerprint, target string) {
	s.deaths.Charge(fingerprint, target, time.Now())
}

// Clear implements Suspects.
func (s *localSuspects) Clear(_ context.Context, fingerprint string) { s.deaths.Clear(fingerprint) }

// Deaths implements Suspects.
func (s *localSuspects) Deaths(fingerprint string) int {
	return s.deaths.Count(fingerprint, time.Now())
}

// Isolate implements Suspects.
func (s *localSuspects) Isolate(_ context.Context, deployment, holder string, hold time.Duration) bool {
	return s.places.Take(deployment, holder, time.Now().Add(hold), time.Now())
}

// Release implements Suspects.
func (s *localSuspects) Release(_ context.Context, deployment, holder string) {
	s.places.Release(deployment, holder)
}

// Places holds one place for suspects for each deployment. It is safe for concurrent use.
type Places struct {
	mu    sync.Mutex
	taken map[string]place
}

type place struct {
	holder string
	until  time.Time
}

// NewPlaces returns free places.
func NewPlaces() *Places { return &Places{taken: map[string]place{}} }

// Take takes or keeps the deployment's place; false when another holds it.
func (p *Places) Take(deployment, holder string, until, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	present, taken := p.taken[deployment]
	if taken && present.holder != holder && now.Before(present.until) {
		return false
	}
	p.taken[deployment] = place{holder: holder, until: until}
	return true
}

// Release frees the place if holder has it.
func (p *Places) Release(deployment, holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken[deployment].holder == holder {
		delete(p.taken, deployment)
	}
}

// admitSuspect waits until the request's fingerprint may run. It tells whether it must run isolated
// and returns the function that ends the isolation.
func (p *producer) admitSuspect() (bool, func(), error) {
	suspects := p.run.manager.options.Suspects
	for {
		deaths := suspects.Deaths(p.fingerprint)
		switch health.StandingOf(deaths) {
		case health.StandingClear:
			return false, func() {}, nil
		case health.StandingRefused:
			p.run.manager.stats.PoisonRefused.Add(1)
			return false, nil, &PoisonError{Key: p.run.request.Key, Targets: deaths}
		}
		if suspects.Isolate(p.ctx, p.run.request.Deployment, p.generation, isolationHold) {
			return true, p.releaseIsolation, nil
		}
		if wait.For(p.ctx, isolationPoll) != nil {
			return false, nil, p.ctx.Err()
		}
	}
}

func (p *producer) releaseIsolation() {
	p.shareSuspicion(func(ctx context.Context, suspects Suspects) {
		suspects.Release(ctx, p.run.request.Deployment, p.generation)
	})
}

// charge charges the target's death to the request's fingerprint. A new attempt awaits the other
// entries' answers, for a short time only after the first death known here: they may tell of others.
func (p *producer) charge(target string) {
	m := p.run.manager
	patience := firstChargePatience
	if m.options.Suspects.Deaths(p.fingerprint) > 0 {
		patience = suspectTimeout
	}
	shared := make(chan struct{})
	m.background.Go(func() {
		defer close(shared)
		ctx, cancel := context.WithTimeout(m.ctx, suspectTimeout)
		defer cancel()
		m.options.Suspects.Charge(ctx, p.fingerprint, target)
	})
	p.log("death-charged", Field{"target", target}, Field{"fingerprint", p.fingerprint})
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-shared:
	case <-timer.C:
	}
}

// clear tells that the request finished, if it was ever charged.
func (p *producer) clear() {
	if !p.crashRecorded {
		return
	}
	p.shareSuspicion(func(ctx context.Context, suspects Suspects) { suspects.Clear(ctx, p.fingerprint) })
}

func (p *producer) shareSuspicion(call func(context.Context, Suspects)) {
	m := p.run.manager
	m.background.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, suspectTimeout)
		defer cancel()
		call(ctx, m.options.Suspects)
	})
}

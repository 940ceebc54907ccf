package generation

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// CrashRecords is the port to the crashes of targets recorded against fingerprints, which all entries
// share. A fingerprint with several crashes is suspected to be a poison request: it runs isolated,
// then is refused.
type CrashRecords interface {
	// RecordCrash records that target crashed while it ran the fingerprint.
	RecordCrash(ctx context.Context, fingerprint, target string)
	// ClearCrashes records that a target ran the fingerprint without a crash, and discards its crashes.
	ClearCrashes(ctx context.Context, fingerprint string)
	// Crashes returns the number of distinct targets whose crash is recorded against the fingerprint
	// in this entry; it sends no request to other entries.
	Crashes(fingerprint string) int
	// AcquireIsolation acquires the deployment's only slot for suspected requests; false when another holds
	// it. The slot expires after hold.
	AcquireIsolation(ctx context.Context, deployment, holder string, hold time.Duration) bool
	// ReleaseIsolation returns the slot.
	ReleaseIsolation(ctx context.Context, deployment, holder string)
}

const (
	// isolationTTL is how long a suspected request keeps others from starting.
	isolationTTL = 10 * time.Second
	// isolationPollInterval is the time between attempts to acquire the isolation slot.
	isolationPollInterval = 50 * time.Millisecond
	// crashReportTimeout limits a call that updates the crash records of other entries.
	crashReportTimeout = 200 * time.Millisecond
	// firstCrashTimeout is how long an attempt after a first crash waits for the records of other
	// entries.
	firstCrashTimeout = 5 * time.Millisecond
)

// localCrashRecords keeps the crashes known to one entry.
type localCrashRecords struct {
	crashes *health.Crashes
	slots   *IsolationSlots
}

func newLocalCrashRecords() *localCrashRecords {
	return &localCrashRecords{crashes: health.NewCrashes(), slots: NewIsolationSlots()}
}

// RecordCrash implements CrashRecords.
func (s *localCrashRecords) RecordCrash(_ context.Context, fingerprint, target string) {
	s.crashes.Record(fingerprint, target, time.Now())
}

// ClearCrashes implements CrashRecords.
func (s *localCrashRecords) ClearCrashes(_ context.Context, fingerprint string) {
	s.crashes.Discard(fingerprint)
}

// Crashes implements CrashRecords.
func (s *localCrashRecords) Crashes(fingerprint string) int {
	return s.crashes.Count(fingerprint, time.Now())
}

// AcquireIsolation implements CrashRecords.
func (s *localCrashRecords) AcquireIsolation(_ context.Context, deployment, holder string, hold time.Duration) bool {
	return s.slots.Acquire(deployment, holder, time.Now().Add(hold), time.Now())
}

// ReleaseIsolation implements CrashRecords.
func (s *localCrashRecords) ReleaseIsolation(_ context.Context, deployment, holder string) {
	s.slots.Release(deployment, holder)
}

// IsolationSlots holds one slot for suspected requests per deployment. It is safe for concurrent use.
type IsolationSlots struct {
	mu    sync.Mutex
	taken map[string]isolationSlot
}

type isolationSlot struct {
	holder  string
	expires time.Time
}

// NewIsolationSlots returns IsolationSlots with all slots free.
func NewIsolationSlots() *IsolationSlots { return &IsolationSlots{taken: map[string]isolationSlot{}} }

// Acquire acquires or extends the deployment's slot; false when another holder has it.
func (s *IsolationSlots) Acquire(deployment, holder string, until, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, taken := s.taken[deployment]
	if taken && current.holder != holder && now.Before(current.expires) {
		return false
	}
	s.taken[deployment] = isolationSlot{holder: holder, expires: until}
	return true
}

// Release frees the slot if holder has it.
func (s *IsolationSlots) Release(deployment, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken[deployment].holder == holder {
		delete(s.taken, deployment)
	}
}

// awaitAdmission waits until the request's fingerprint may run, or returns a *PoisonError. It
// reports whether the fingerprint must run isolated, and returns the function that ends the
// isolation.
func (p *producer) awaitAdmission() (bool, func(), error) {
	records := p.run.manager.options.CrashRecords
	for {
		crashes := records.Crashes(p.fingerprint)
		switch health.RestrictionFor(crashes) {
		case health.RestrictionNone:
			return false, func() {}, nil
		case health.RestrictionRefused:
			p.run.manager.stats.PoisonRefused.Add(1)
			return false, nil, &PoisonError{Key: p.run.request.Key, Targets: crashes}
		}
		if records.AcquireIsolation(p.ctx, p.run.request.Deployment, p.generation, isolationTTL) {
			return true, p.releaseIsolation, nil
		}
		if wait.For(p.ctx, isolationPollInterval) != nil {
			return false, nil, p.ctx.Err()
		}
	}
}

func (p *producer) releaseIsolation() {
	p.updateCrashRecords(func(ctx context.Context, records CrashRecords) {
		records.ReleaseIsolation(ctx, p.run.request.Deployment, p.generation)
	})
}

// recordCrash records the target's crash against the request's fingerprint. It waits for the
// answers of the other entries, which may know of further crashes; after the first crash known here
// only for firstCrashTimeout.
func (p *producer) recordCrash(target string) {
	m := p.run.manager
	timeout := firstCrashTimeout
	if m.options.CrashRecords.Crashes(p.fingerprint) > 0 {
		timeout = crashReportTimeout
	}
	reported := make(chan struct{})
	m.background.Go(func() {
		defer close(reported)
		if m.options.IsDown != nil && !m.options.IsDown(target) {
			p.log("death-not-charged", Field{"target", target}, Field{"fingerprint", p.fingerprint})
			return
		}
		p.log("death-charged", Field{"target", target}, Field{"fingerprint", p.fingerprint})
		ctx, cancel := context.WithTimeout(m.ctx, crashReportTimeout)
		defer cancel()
		m.options.CrashRecords.RecordCrash(ctx, p.fingerprint, target)
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-reported:
	case <-timer.C:
	}
}

// clearCrashes discards the crashes of the fingerprint when the request has finished, if any was
// recorded.
func (p *producer) clearCrashes() {
	if !p.crashRecorded {
		return
	}
	p.updateCrashRecords(func(ctx context.Context, records CrashRecords) { records.ClearCrashes(ctx, p.fingerprint) })
}

// updateCrashRecords runs call in the background, limited by crashReportTimeout.
func (p *producer) updateCrashRecords(call func(context.Context, CrashRecords)) {
	m := p.run.manager
	m.background.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, crashReportTimeout)
		defer cancel()
		call(ctx, m.options.CrashRecords)
	})
}

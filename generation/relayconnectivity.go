package generation

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// ErrProbeRefused is wrapped by the error of a probe that was refused: the target accepts no connection, or something
// on the way refuses those of this entry.
var ErrProbeRefused = errors.New("generation: probe refused")

// reachability is what a probe tells of its target.
type reachability int

const (
	// reachable: the target answered.
	reachable reachability = iota
	// unreachable: the target is silent while this entry reaches others.
	unreachable
	// undetermined: neither the target nor a control target answered. This entry has lost its own
	// connectivity, which tells nothing of the target.
	undetermined
)

// probeResult is what one probe of a target found.
type probeResult int

const (
	probeAnswered probeResult = iota
	// probeRefused: the connection was refused at once.
	probeRefused
	probeUnanswered
)

func probeResultOf(err error) probeResult {
	switch {
	case err == nil:
		return probeAnswered
	case errors.Is(err, ErrProbeRefused):
		return probeRefused
	}
	return probeUnanswered
}

// controlResult is the outcome of a control check: probes of targets other than the suspected one.
type controlResult struct {
	sent, answered int
}

// connectivityLost reports whether control targets were probed and none answered.
func (r controlResult) connectivityLost() bool { return r.sent > 0 && r.answered == 0 }

// examination is what the probes of a target and a control check found.
type examination struct {
	target   probeResult
	controls controlResult
	// took is how long the probes took; more than their timeout if this process was paused meanwhile.
	took time.Duration
}

// judgeTarget returns the reachability of the examined target. Without a control target, the probes of the
// target alone decide.
func judgeTarget(found examination) reachability {
	switch {
	case found.target == probeAnswered:
		return reachable
	case found.controls.connectivityLost():
		return undetermined
	case found.target != probeRefused && found.took >= pausedExaminationTime:
		return undetermined
	}
	return unreachable
}

// maxControlTargets is the number of targets that a control check probes: two, so that a control target that
// is itself dark, with its availability zone, does not decide alone.
const maxControlTargets = 2

// chooseControlTargets returns the targets to probe when the probe of suspect was not answered; suspect is
// nil when no target is suspected. The control targets are in different availability zones, the first one
// not in the suspect's, and belong to different services where possible. The rotation varies the choice
// between checks.
func chooseControlTargets(suspect *directory.Target, candidates []*directory.Target, rotation int) []*directory.Target {
	var first, second *directory.Target
	bestFirst, bestSecond := -1, -1
	each := func(visit func(*directory.Target)) {
		for i := range candidates {
			candidate := candidates[(i+rotation)%len(candidates)]
			if suspect == nil || candidate.Key() != suspect.Key() {
				visit(candidate)
			}
		}
	}
	each(func(candidate *directory.Target) {
		if rank := rankOf(suspect == nil || candidate.AvailabilityZone != suspect.AvailabilityZone); rank > bestFirst {
			first, bestFirst = candidate, rank
		}
	})
	if first == nil {
		return nil
	}
	each(func(candidate *directory.Target) {
		if candidate.Key() == first.Key() {
			return
		}
		rank := rankOf(candidate.AvailabilityZone != first.AvailabilityZone, candidate.Service != first.Service,
			suspect == nil || candidate.AvailabilityZone != suspect.AvailabilityZone)
		if rank > bestSecond {
			second, bestSecond = candidate, rank
		}
	})
	if second == nil {
		return []*directory.Target{first}
	}
	return []*directory.Target{first, second}[:maxControlTargets]
}

// rankOf returns a number that orders by the preferences, the most important first.
func rankOf(preferences ...bool) int {
	rank := 0
	for _, preferred := range preferences {
		rank *= 2
		if preferred {
			rank++
		}
	}
	return rank
}

const (
	// probeTimeout limits a probe of a control target: several round trips.
	probeTimeout = 60 * time.Millisecond
	// probeRepeatDelay is the time after which an unanswered probe is repeated beside a control check.
	probeRepeatDelay = 20 * time.Millisecond
	// targetProbeTimeout limits both probes of a target. A target has longer to answer than the control
	// targets: as the delay of this entry's link grows, the control check fails first.
	targetProbeTimeout = 100 * time.Millisecond
	// pausedExaminationTime is the duration of an examination from which this process must have been paused:
	// its timeouts then say nothing of the target.
	pausedExaminationTime = 2 * targetProbeTimeout
	// lossEvidenceTTL is how long an unanswered control check shows that connectivity is lost.
	lossEvidenceTTL = time.Second
	// minRegainBackoff and maxRegainBackoff limit the delay between the checks of streams that wait for
	// connectivity. The caller should get its next event soon after it is back.
	minRegainBackoff = 50 * time.Millisecond
	maxRegainBackoff = 300 * time.Millisecond
)

// regainBackoff returns the delay before a stream tries again that has made a number of attempts of which
// nothing left this process.
func regainBackoff(unsentAttempts int) time.Duration {
	if unsentAttempts == 0 {
		return 0
	}
	backoff := minRegainBackoff
	for range unsentAttempts - 1 {
		backoff = min(2*backoff, maxRegainBackoff)
	}
	return backoff
}

// ConnectivityOptions configure a Connectivity.
type ConnectivityOptions struct {
	// Connect opens a connection to a target.
	Connect func(ctx context.Context, target *directory.Target) error
	// OnLost is called when connectivity is found lost; nil for nothing.
	OnLost func()
	// Log receives an event when connectivity is lost or regained; nil discards them.
	Log func(event string, fields ...Field)
}

// Connectivity distinguishes the silence of a target from the loss of this entry's own connectivity, by
// probing control targets. All streams of an entry share it. It is safe for concurrent use.
type Connectivity struct {
	options ConnectivityOptions
	losses  atomic.Int64

	mu sync.Mutex
	// check is the latest control check, which may be in progress.
	check    *controlCheck
	rotation int
	// lost is true from an unanswered control check until an answered probe.
	lost bool
	// lostAt is when connectivity was found lost, lossConfirmedAt when it was last found so.
	lostAt, lossConfirmedAt time.Time
	regainedAt              time.Time
	// regainCheckAt is when a check for regained connectivity was last started.
	regainCheckAt time.Time
	// answeredProbe is when the latest answered probe was sent.
	answeredProbe time.Time
	// probesFailed counts the probes that failed since one was answered.
	probesFailed int
}

// controlCheck is one control check. Its result is set before done is closed.
type controlCheck struct {
	startedAt time.Time
	done      chan struct{}
	result    controlResult
}

// NewConnectivity returns a Connectivity that is not lost.
func NewConnectivity(options ConnectivityOptions) *Connectivity {
	if options.Log == nil {
		options.Log = func(string, ...Field) {}
	}
	// Entries that find the same engine silent at once should not all probe the same control targets.
	return &Connectivity{options: options, rotation: int(time.Now().UnixNano() % 1e6)}
}

// examine probes a target and returns its reachability. If it does not answer soon, the probe is repeated
// beside a control check with the candidates, so that both depend on the same moment of the link.
func (c *Connectivity) examine(target *directory.Target, candidates func() []*directory.Target) reachability {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), targetProbeTimeout)
	defer cancel()
	first, repeated := c.startProbe(ctx, target), (<-chan probeResult)(nil)
	timer := time.NewTimer(probeRepeatDelay)
	defer timer.Stop()
	select {
	case result := <-first:
		switch result {
		case probeAnswered:
			return reachable
		case probeRefused:
			return c.judgeRefused(c.checkControls(target, candidates, startedAt))
		}
		first = nil
	case <-timer.C:
	}
	repeated = c.startProbe(ctx, target)
	check := make(chan *controlCheck, 1)
	go func() { check <- c.checkControls(target, candidates, startedAt) }()
	for first != nil || repeated != nil {
		var result probeResult
		select {
		case result = <-first:
			first = nil
		case result = <-repeated:
			repeated = nil
		}
		switch result {
		case probeAnswered:
			return reachable
		case probeRefused:
			return c.judgeRefused(<-check)
		}
	}
	controls := <-check
	judged := judgeTarget(examination{target: probeUnanswered, controls: controls.result, took: time.Since(startedAt)})
	if controls.result.connectivityLost() {
		c.recordLoss(controls)
	}
	return judged
}

// judgeRefused returns the reachability of a target whose probe was refused.
func (c *Connectivity) judgeRefused(controls *controlCheck) reachability {
	if controls.result.connectivityLost() {
		c.recordLoss(controls)
	}
	return judgeTarget(examination{target: probeRefused, controls: controls.result})
}

func (c *Connectivity) startProbe(ctx context.Context, target *directory.Target) <-chan probeResult {
	result := make(chan probeResult, 1)
	go func() { result <- c.probe(ctx, target) }()
	return result
}

// probe probes a target once.
func (c *Connectivity) probe(ctx context.Context, target *directory.Target) probeResult {
	sentAt := time.Now()
	err := c.options.Connect(ctx, target)
	result := probeResultOf(err)
	if result == probeUnanswered && errors.Is(ctx.Err(), context.Canceled) {
		return result // another probe was answered first
	}
	c.recordProbe(result, sentAt)
	return result
}

// checkControls returns a control check that started after the given time: a shared one, or else a new one.
// One is in progress at a time, and serves all probes that were sent before it.
func (c *Connectivity) checkControls(suspect *directory.Target, candidates func() []*directory.Target, after time.Time) *controlCheck {
	for {
		c.mu.Lock()
		if latest := c.check; latest != nil && (latest.running() || !latest.startedAt.Before(after)) {
			c.mu.Unlock()
			<-latest.done
			if !latest.startedAt.Before(after) {
				return latest
			}
			continue
		}
		check := &controlCheck{startedAt: time.Now(), done: make(chan struct{})}
		c.check = check
		c.rotation++
		rotation := c.rotation
		c.mu.Unlock()
		check.result = c.probeControls(chooseControlTargets(suspect, candidates(), rotation))
		close(check.done)
		return check
	}
}

func (c *controlCheck) running() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// probeControls probes control targets at the same time, and returns once one has answered or all have
// failed.
func (c *Connectivity) probeControls(targets []*directory.Target) controlResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan probeResult, len(targets))
	for _, target := range targets {
		go func() { results <- c.probe(ctx, target) }()
	}
	result := controlResult{sent: len(targets)}
	for range targets {
		if <-results == probeAnswered {
			result.answered++
			return result
		}
	}
	return result
}

// recordProbe records the result of any probe. An answer ends a loss; a refusal does not, since it may come from
// something on the way.
func (c *Connectivity) recordProbe(result probeResult, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result != probeAnswered {
		c.probesFailed++
		return
	}
	failed := c.probesFailed
	c.probesFailed = 0
	if sentAt.After(c.answeredProbe) {
		c.answeredProbe = sentAt
	}
	if !c.lost {
		return
	}
	c.lost = false
	c.regainedAt = time.Now()
	c.options.Log("connectivity-regained", Field{"away", c.regainedAt.Sub(c.lostAt)}, Field{"probes_failed", failed})
}

// recordLoss records that no control target answered a check, unless a later probe was answered.
func (c *Connectivity) recordLoss(check *controlCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answeredProbe.Before(check.startedAt) {
		return
	}
	c.lossConfirmedAt = time.Now()
	if c.lost {
		return
	}
	c.lost = true
	c.lostAt = c.lossConfirmedAt
	c.losses.Add(1)
	c.options.Log("connectivity-lost", Field{"probes_failed", c.probesFailed})
	if c.options.OnLost != nil {
		go c.options.OnLost()
	}
}

// Losses returns the number of times that connectivity was lost.
func (c *Connectivity) Losses() int64 { return c.losses.Load() }

// IsLost reports whether connectivity is lost, as far as recent checks tell.
func (c *Connectivity) IsLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost && time.Since(c.lossConfirmedAt) <= lossEvidenceTTL
}

// ClaimRegainCheck reports whether its caller should probe to find out if connectivity is back: while it is
// lost, one of the streams does so at a time. Arriving events don't show it, since they need nothing to be sent.
func (c *Connectivity) ClaimRegainCheck(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lost || now.Sub(c.regainCheckAt) < silentProbeInterval {
		return false
	}
	c.regainCheckAt = now
	return true
}

// wasLostSince reports whether connectivity was lost at some time after the given one.
func (c *Connectivity) wasLostSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lossConfirmedAt.After(since) || c.regainedAt.After(since)
}

// lastRegained returns when connectivity was last regained; the zero time if it was never lost.
func (c *Connectivity) lastRegained() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.regainedAt
}

// CheckLost reports whether connectivity is lost, by a control check of candidates other than the suspect that started
// after the given time.
func (c *Connectivity) CheckLost(suspect *directory.Target, candidates func() []*directory.Target, after time.Time) bool {
	check := c.checkControls(suspect, candidates, after)
	if !check.result.connectivityLost() {
		return false
	}
	c.recordLoss(check)
	return true
}

// awaitRegained waits for a delay and then until connectivity is not lost, or returns the error of ctx.
func (c *Connectivity) awaitRegained(ctx context.Context, candidates func() []*directory.Target, delay time.Duration) error {
	for {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		if !c.IsLost() || !c.CheckLost(nil, candidates, time.Now()) {
			return ctx.Err()
		}
		delay = min(max(2*delay, minRegainBackoff), maxRegainBackoff)
	}
}

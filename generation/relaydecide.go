package generation

import (
	"time"

	"github.com/azurebarrow/azurebarrow/health"
)

// relayEnding is how an attempt of a relayed stream ended.
type relayEnding int

const (
	// endingComplete: the stream is complete.
	endingComplete relayEnding = iota
	// endingRefused: the target did not run the attempt.
	endingRefused
	// endingAnswered: the target answered with a failure of its own.
	endingAnswered
	// endingBroken: the stream broke, or the target sent bytes that are not part of a stream.
	endingBroken
	// endingSilent: the stream was silent and the target accepted no probe.
	endingSilent
	// endingLinkLost: the stream was silent because the entry's link to the target is lost; peers reach the target.
	endingLinkLost
	// endingUnsent: nothing of the attempt left this process, because the entry's own connectivity is lost.
	endingUnsent
	// endingStalled: the target accepts probes, but the stream makes no progress.
	endingStalled
	// endingUnwanted: the request was refused while the target had not begun to answer it.
	endingUnwanted
	// endingDeadline and endingCallerDisconnected: the request itself is over.
	endingDeadline
	endingCallerDisconnected
)

// String returns the ending's name in logs.
func (e relayEnding) String() string {
	return [...]string{"complete", "refused", "answered", "broken", "silent", "link-lost", "unsent", "stalled", "unwanted", "deadline", "caller-gone"}[e]
}

// retryInput is what the decision to retry depends on.
type retryInput struct {
	ending    relayEnding
	resumable bool
	// attemptsRun counts the attempts that a target may have run, except those whose target was
	// lost; see countAttempts.
	attemptsRun, maxAttempts int
	// attempts counts all attempts.
	attempts int
	// moved reports that the stream left a target that may have been sound.
	moved bool
	// remaining is the time until the deadline.
	remaining time.Duration
}

// relayStep is the decision after the end of an attempt.
type relayStep int

const (
	// stepRetry: make another attempt.
	stepRetry relayStep = iota
	// stepFinish: end the request.
	stepFinish
)

const (
	// maxTotalAttempts limits the attempts of one request, refused ones included.
	maxTotalAttempts = 12
	// minAttemptTime is the minimum remaining time for which another attempt is made.
	minAttemptTime = 50 * time.Millisecond
)

// nextStep decides whether a request is retried.
func nextStep(in retryInput) relayStep {
	switch in.ending {
	case endingComplete, endingUnwanted, endingDeadline, endingCallerDisconnected:
		return stepFinish
	case endingUnsent:
		// No limit of attempts: nothing reached a target, and a retry waits for connectivity.
		if in.remaining < minAttemptTime {
			return stepFinish
		}
		return stepRetry
	case endingRefused:
		if in.moved && in.remaining >= minAttemptTime {
			return stepRetry // no number of refusals ends a stream that left a target which may have been sound
		}
	default:
		if !in.resumable || in.attemptsRun >= in.maxAttempts {
			return stepFinish
		}
	}
	if in.attempts >= maxTotalAttempts || in.remaining < minAttemptTime {
		return stepFinish
	}
	return stepRetry
}

// probeSensitivity determines the silence between two events after which the target is probed. A
// probe is one connection and does not interrupt the stream.
var probeSensitivity = health.Sensitivity{
	MeanMultiple: 3, Deviations: 4, Floor: 100 * time.Millisecond, InitialLimit: 250 * time.Millisecond,
}

const (
	// stallShare is the share of the gap objective after which a stalled stream is moved to another
	// target. The rest is for the move.
	stallShare = 0.7
	// stallMeanGaps is the number of mean gaps within which a stream never counts as stalled.
	stallMeanGaps = 6
	// maxStallDoublings limits the doublings of the silence after which a stream is moved.
	maxStallDoublings = 5
	// firstEventStallShare is the share of the first event's objective after which a stream without
	// an event is moved to another target.
	firstEventStallShare = 0.85
	// minFirstProbeDelay is the minimum delay until a target that has sent no event is probed.
	minFirstProbeDelay = 250 * time.Millisecond
	// firstProbeShare is the share of the first event's objective between probes before that event.
	// Prefilling a prompt takes a second, and a probe costs a connection; the rest of the objective
	// is ample for a move.
	firstProbeShare = 0.125
	// silentProbeInterval is the time between probes of a target that stays silent between events.
	silentProbeInterval = 300 * time.Millisecond
	// defaultGapObjective and defaultFirstEventObjective apply to routes without objectives.
	defaultGapObjective        = 2 * time.Second
	defaultFirstEventObjective = 10 * time.Second
)

// silenceLimits are the times for which an attempt may be silent.
type silenceLimits struct {
	// probeAfter is the silence after which the target is probed, and probeInterval the time
	// between further probes; stallTimeout is the silence after which the stream is moved although
	// the target accepts probes.
	probeAfter, probeInterval, stallTimeout time.Duration
}

// silenceLimitsFor returns the limits of an attempt. hasEvents reports whether it has sent an event, gaps are the times between its
// events. moves counts the earlier attempts that stalled: each doubles the silence after which the stream is moved again, since
// all engines may be slow.
func silenceLimitsFor(request *RelayRequest, hasEvents bool, gaps *health.Gaps, moves int) silenceLimits {
	moves = min(moves, maxStallDoublings)
	if !hasEvents {
		objective := request.FirstEventObjective
		if objective <= 0 {
			objective = defaultFirstEventObjective
		}
		interval := max(minFirstProbeDelay, scale(objective, firstProbeShare))
		return silenceLimits{probeAfter: interval, probeInterval: interval, stallTimeout: scale(objective, firstEventStallShare) << moves}
	}
	objective := request.GapObjective
	if objective <= 0 {
		objective = defaultGapObjective
	}
	stall := max(scale(objective, stallShare)<<moves, stallMeanGaps*gaps.Mean())
	return silenceLimits{probeAfter: gaps.SilenceLimit(probeSensitivity), probeInterval: silentProbeInterval, stallTimeout: stall}
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// silenceInput is what the judgement of an attempt's silence depends on.
type silenceInput struct {
	limits silenceLimits
	// silence is the time since the last event, or since connectivity was regained after it.
	silence time.Duration
	// sinceProbe is the time since the latest probe after the last event has ended; hasProbe is false if there
	// was none.
	sinceProbe time.Duration
	hasProbe   bool
	// probeAnswered reports whether that probe was answered.
	probeAnswered bool
}

// silenceStep is the judgement of an attempt's silence.
type silenceStep struct {
	stalled bool
	// probeIn is the time until the next probe, and checkIn until the next judgement, also while a probe is in
	// progress. They are not positive if it is due.
	probeIn, checkIn time.Duration
}

// maxAnswerAge is the age up to which an answered probe shows that a target is reachable whose stream is
// about to be moved as stalled.
const maxAnswerAge = silentProbeInterval

// judgeSilence decides whether a stream is stalled, and when the target is to be probed. A stream stalls only
// at a target that answers: otherwise the silence may be the entry's own loss of connectivity.
func judgeSilence(in silenceInput) silenceStep {
	due := in.silence >= in.limits.stallTimeout
	if due && in.hasProbe && in.probeAnswered && in.sinceProbe <= maxAnswerAge {
		return silenceStep{stalled: true}
	}
	interval := in.limits.probeInterval
	if due {
		interval = min(interval, silentProbeInterval)
	}
	probeIn := interval - in.sinceProbe
	if !in.hasProbe {
		probeIn = min(in.limits.probeAfter, in.limits.stallTimeout) - in.silence
	}
	switch {
	case probeIn <= 0:
		// The end of the probe leads to the next judgement.
		return silenceStep{probeIn: probeIn, checkIn: interval}
	case due:
		return silenceStep{probeIn: probeIn, checkIn: probeIn}
	}
	return silenceStep{probeIn: probeIn, checkIn: min(probeIn, in.limits.stallTimeout-in.silence)}
}

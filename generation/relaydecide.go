package generation

import (
	"time"

	"github.com/azurebarrow/azurebarrow/health"
)

// relayEnding tells how an attempt of a relayed stream ended.
type relayEnding int

const (
	// endingComplete: the stream is complete.
	endingComplete relayEnding = iota
	// endingRefused: the target did not run the attempt.
	endingRefused
	// endingAnswered: the target answered with a failure of its own.
	endingAnswered
	// endingBroken: the stream broke off, or bytes came that are no stream.
	endingBroken
	// endingSilent: the target does not answer any more.
	endingSilent
	// endingStalled: the target answers, but the stream does not go on.
	endingStalled
	// endingDeadline and endingCallerGone end the request.
	endingDeadline
	endingCallerGone
)

// String returns the ending as it stands in logs.
func (e relayEnding) String() string {
	return [...]string{"complete", "refused", "answered", "broken", "silent", "stalled", "deadline", "caller-gone"}[e]
}

// relaySituation is what the choice of the next step depends on.
type relaySituation struct {
	ending    relayEnding
	resumable bool
	// ran counts the attempts that a target may have run, without those whose target was lost.
	ran, maxAttempts int
	// sends counts all attempts.
	sends int
	// left is the time until the deadline.
	left time.Duration
}

// relayStep is what follows the end of an attempt.
type relayStep int

const (
	// stepRetry: send the request again.
	stepRetry relayStep = iota
	// stepFinish: the request is over.
	stepFinish
)

const (
	// maxSends bounds the attempts of one request, refused ones included.
	maxSends = 12
	// shortestAttempt is the time left in which another attempt is still of use.
	shortestAttempt = 50 * time.Millisecond
)

// nextStep decides whether a request is sent again.
func nextStep(s relaySituation) relayStep {
	switch s.ending {
	case endingComplete, endingDeadline, endingCallerGone:
		return stepFinish
	case endingRefused:
	default:
		if !s.resumable || s.ran >= s.maxAttempts {
			return stepFinish
		}
	}
	if s.sends >= maxSends || s.left < shortestAttempt {
		return stepFinish
	}
	return stepRetry
}

// relaySensitivity tells when the silence between two events is worth a look at the target. A look
// is a connection; nothing is given up by it.
var relaySensitivity = health.Sensitivity{
	Means: 3, Deviations: 4, Floor: 100 * time.Millisecond, Unknown: 250 * time.Millisecond,
}

const (
	// stallShare is the part of the gap objective after which a stream that does not go on, at a
	// target that answers, is moved. The rest is for the move.
	stallShare = 0.7
	// stallMeans is the multiple of the mean gap that is always waited for.
	stallMeans = 6
	// firstEventShare is the part of the first event's objective after which the stream is moved.
	firstEventShare = 0.85
	// firstLook is when a target that has not sent the first event is looked at, at the earliest.
	firstLook = 250 * time.Millisecond
	// firstLookShare is the part of the first event's objective between looks before it. A prompt takes a
	// second to read, and a look costs a connection; what is left of the objective is ample for a move.
	firstLookShare = 0.125
	// nextLook is the time between looks at a target that stays silent.
	nextLook = 300 * time.Millisecond
	// lookTimeout bounds a look: several round trips.
	lookTimeout = 60 * time.Millisecond
	// defaultGapObjective and defaultFirstEventObjective hold for routes without objectives.
	defaultGapObjective        = 2 * time.Second
	defaultFirstEventObjective = 10 * time.Second
)

// patience tells how long an attempt may be silent.
type patience struct {
	// look is the silence after which the target is looked at, and nextLook the time between further
	// looks; stall is the silence after which the stream is moved though the target answers.
	look, nextLook, stall time.Duration
}

// relayPatience returns the patience with an attempt that has sent the given gaps.
func relayPatience(request *RelayRequest, begun bool, gaps *health.Gaps) patience {
	if !begun {
		objective := request.FirstEventObjective
		if objective <= 0 {
			objective = defaultFirstEventObjective
		}
		look := max(firstLook, scale(objective, firstLookShare))
		return patience{look: look, nextLook: look, stall: scale(objective, firstEventShare)}
	}
	objective := request.GapObjective
	if objective <= 0 {
		objective = defaultGapObjective
	}
	stall := max(scale(objective, stallShare), stallMeans*gaps.Mean())
	return patience{look: gaps.Bound(relaySensitivity), nextLook: nextLook, stall: stall}
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

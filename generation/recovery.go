package generation

import (
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/health"
)

// Action is what a producer does next about its attempts.
type Action int

// Actions.
const (
	// ActionWait: do nothing yet.
	ActionWait Action = iota
	// ActionAttach: attach to the running stream again, which costs no engine work.
	ActionAttach
	// ActionReplace: cancel the attempts and start a new one.
	ActionReplace
	// ActionSpeculate: start a second attempt beside the silent one.
	ActionSpeculate
)

// situation is the input of nextAction.
type situation struct {
	Prefer v1.RecoveryPreference
	// HasAttempt is set if there is an attempt, Broken if the newest one's stream ended without the end
	// marker.
	HasAttempt, Broken bool
	// TargetStopping is set if the newest attempt's target is draining and stops before the attempt would
	// finish.
	TargetStopping bool
	// Starting is set while an attempt starts, Attaching while the producer attaches to a stream.
	Starting, Attaching bool
	// Resumable is set if the target can resume a stream, AttachFailed if attaching to it was tried and no
	// event has arrived since.
	Resumable, AttachFailed bool
	// Silence is the time since the last progress, Bound the silence that counts as suspicious.
	Silence, Bound time.Duration
	// BudgetLeft is set if more duplicated work is allowed, Parallel if a second attempt is running already.
	BudgetLeft, Parallel bool
}

// isSilent reports whether the newest attempt has a stream that has been silent for too long.
func (s situation) isSilent() bool {
	return s.HasAttempt && !s.Broken && s.Silence >= s.Bound
}

// unconfirmedLossMultiple is the multiple of the bound after which a silent target counts as lost if it
// can't resume streams, so that attaching can't confirm the loss.
const unconfirmedLossMultiple = 2

// nextAction returns the next action of a producer.
func nextAction(s situation) Action {
	switch {
	case s.Starting:
		return ActionWait
	case !s.HasAttempt:
		return ActionReplace
	case s.TargetStopping:
		return ActionReplace
	case s.Broken:
		return nextActionBroken(s)
	case s.Silence < s.Bound:
		return ActionWait
	case s.Prefer == v1.PreferLatency && s.BudgetLeft && !s.Parallel:
		return ActionSpeculate
	}
	return nextActionSilent(s)
}

func nextActionBroken(s situation) Action {
	if s.Attaching {
		return ActionWait
	}
	if s.Resumable && !s.AttachFailed {
		return ActionAttach
	}
	return ActionReplace
}

// nextActionSilent confirms the loss of a silent target by attaching, before a new attempt is paid for.
func nextActionSilent(s situation) Action {
	if s.Attaching {
		return ActionWait
	}
	if s.Resumable && !s.AttachFailed {
		return ActionAttach
	}
	if s.AttachFailed || s.Silence >= unconfirmedLossMultiple*s.Bound {
		return ActionReplace
	}
	return ActionWait
}

// policy holds the time limits of a recovery preference.
type policy struct {
	// tokenSensitivity bounds the silence between two tokens.
	tokenSensitivity health.Sensitivity
	// firstTokenTimeout bounds the silence before an attempt's first token.
	firstTokenTimeout time.Duration
	// acceptTimeout bounds the time until a target accepts an attempt.
	acceptTimeout time.Duration
	// attachTimeout bounds the time until a target confirms that it resumes a stream.
	attachTimeout time.Duration
}

var latencyPolicy = policy{
	tokenSensitivity:  health.Sensitivity{MeanMultiple: 4, Deviations: 6, Floor: 100 * time.Millisecond, InitialLimit: time.Second},
	firstTokenTimeout: 2 * time.Second,
	acceptTimeout:     250 * time.Millisecond,
	attachTimeout:     50 * time.Millisecond,
}

var costPolicy = policy{
	tokenSensitivity:  health.Sensitivity{MeanMultiple: 10, Deviations: 10, Floor: 400 * time.Millisecond, InitialLimit: 2 * time.Second},
	firstTokenTimeout: 5 * time.Second,
	acceptTimeout:     time.Second,
	attachTimeout:     300 * time.Millisecond,
}

func policyOf(recovery v1.Recovery) policy {
	if recovery.Prefer == v1.PreferLatency {
		return latencyPolicy
	}
	return costPolicy
}

// Defaults of a deployment's recovery policy.
const (
	defaultDetachedGrace     = 30 * time.Second
	defaultDuplicationBudget = 0.02
)

func detachedGrace(recovery v1.Recovery) time.Duration {
	if recovery.DetachedGrace > 0 {
		return time.Duration(recovery.DetachedGrace)
	}
	return defaultDetachedGrace
}

package entry

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// noticeLimit has a target's ID as subject and its limit in requests a second as value; 0 if it has none any more.
const noticeLimit membership.NoticeKind = "target-limit"

// sendLimits are what targets say about the requests that they want: the limits that they name for all entries
// together, and the pauses that they ask of this entry. It implements service.Limits, generation.TargetLimits and
// passthrough.Limits.
type sendLimits struct {
	*admission.TargetLimits
	pauses  *admission.TargetPauses
	brittle *admission.BrittleTargets
	// targets returns a service's targets, startOf when a target's incarnation started.
	targets func(service string) []*directory.Target
	startOf func(target string) int64
	// serviceOf returns the service of a target; empty if it is not known.
	serviceOf func(target string) string
	log       func(event string, fields ...generation.Field)
	// leaving is called with a target that says it leaves.
	leaving func(target string)
}

// Available implements passthrough.Limits.
func (s *sendLimits) Available(target string, now time.Time) bool {
	return s.pauses.Left(target, s.startOf(target), now) == 0 && s.allowsBrittle(target, now) && s.TargetLimits.Available(target, now)
}

// allowsBrittle reports whether a target has room for a request of this entry if it is brittle.
func (s *sendLimits) allowsBrittle(target string, now time.Time) bool {
	if s.brittle.BrittleCount() == 0 {
		return true
	}
	var service []admission.BrittleTarget
	for _, each := range s.targets(s.serviceOf(target)) {
		service = append(service, admission.BrittleTarget{ID: each.ID, Slots: each.Slots})
	}
	return s.brittle.Allows(target, service, now)
}

// Begin implements passthrough.Limits.
func (s *sendLimits) Begin(target string) (end func()) { return s.brittle.Begin(target) }

// ObserveBrittle implements passthrough.Limits.
func (s *sendLimits) ObserveBrittle(target string, perSecond float64, brittle, turnedAway bool, sent time.Time) {
	now := time.Now()
	if s.brittle.Observe(target, perSecond, brittle, sent, now) {
		s.log("target-brittle", generation.Field{Key: "target", Value: target}, generation.Field{Key: "brittle", Value: brittle},
			generation.Field{Key: "turned_away_per_second", Value: perSecond})
	}
	if turnedAway {
		s.brittle.TurnedAway(target, now)
	}
}

// Take implements service.Limits. The pause is taken from where the request is sent.
func (s *sendLimits) Take(target string) bool {
	now := time.Now()
	return s.pauses.Left(target, s.startOf(target), now) == 0 && s.allowsBrittle(target, now) && s.TargetLimits.Take(target, now)
}

// TakePause implements passthrough.Limits.
func (s *sendLimits) TakePause(target string) bool {
	return s.pauses.Take(target, s.startOf(target), time.Now())
}

// ObserveLeaving implements passthrough.Limits.
func (s *sendLimits) ObserveLeaving(target string) { s.leaving(target) }

// ObservePause implements passthrough.Limits.
func (s *sendLimits) ObservePause(target string, pause time.Duration) {
	s.pauses.Observe(target, s.startOf(target), pause, time.Now())
}

// retryAfterSpread is the share by which a Retry-After that follows from pauses is lengthened at random, so that callers
// don't return together.
const retryAfterSpread = 0.25

// RetryAfter implements service.Limits: if all targets are paused, it is the shortest rest of a pause.
func (s *sendLimits) RetryAfter(service string) time.Duration {
	now, shortest := time.Now(), time.Duration(0)
	var ids []string
	for _, target := range s.targets(service) {
		left := s.pauses.Left(target.ID, target.StartedMs, now)
		if left == 0 {
			ids = append(ids, target.ID)
			continue
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(ids) > 0 || shortest == 0 {
		return s.TargetLimits.RetryAfter(ids)
	}
	return shortest + time.Duration(retryAfterSpread*rand.Float64()*float64(shortest))
}

func (e *Entry) buildLimits() {
	e.limits = &sendLimits{
		TargetLimits: admission.NewTargetLimits(admission.TargetLimitsOptions{
			Members: e.members,
			Share:   func(limit admission.TargetLimit) { go e.members.Broadcast(limitNotice(limit)) },
			Log:     e.logLimit,
		}),
		pauses: admission.NewTargetPauses(func(target string, pause time.Duration) {
			e.log("target-pause", generation.Field{Key: "target", Value: target}, generation.Field{Key: "asked", Value: pause})
		}),
		targets: func(service string) []*directory.Target { return e.directory.Snapshot().AvailableTargets(service) },
		brittle: admission.NewBrittleTargets(e.members),
		log:     e.log,
		serviceOf: func(target string) string {
			if known := e.directory.Snapshot().Target(target); known != nil {
				return known.Service
			}
			return ""
		},
		leaving: func(target string) { e.directory.ReportLeaving(target) },
		startOf: func(target string) int64 {
			if known := e.directory.Snapshot().Target(target); known != nil {
				return known.StartedMs
			}
			return 0
		},
	}
}

func (e *Entry) logLimit(limit admission.TargetLimit, source string) {
	e.log("target-limit", generation.Field{Key: "target", Value: limit.Target}, generation.Field{Key: "per_second", Value: limit.PerSecond},
		generation.Field{Key: "version", Value: limit.Version}, generation.Field{Key: "source", Value: source})
}

func limitNotice(limit admission.TargetLimit) membership.Notice {
	return membership.Notice{
		Kind: noticeLimit, Subject: limit.Target, Version: limit.Version, Value: strconv.FormatFloat(limit.PerSecond, 'g', -1, 64),
	}
}

// receiveNotice hands a notice of another entry to the component that it is for.
func (e *Entry) receiveNotice(notice membership.Notice) {
	if notice.Kind != noticeLimit {
		e.crashRecords.receive(notice)
		return
	}
	perSecond, err := strconv.ParseFloat(notice.Value, 64)
	if err != nil || !(perSecond >= 0) {
		e.log("limit-notice-unusable", generation.Field{Key: "target", Value: notice.Subject}, generation.Field{Key: "value", Value: notice.Value})
		return
	}
	e.limits.Receive(admission.TargetLimit{Target: notice.Subject, PerSecond: perSecond, Version: notice.Version}, time.Now())
}

package entry

import (
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// noticeLimit has a target's ID as subject and its limit in requests a second as value; 0 if it has none any more.
const noticeLimit membership.NoticeKind = "target-limit"

// sharedLimits shares the limits that targets name among the entries. It implements service.Limits and
// generation.TargetLimits.
type sharedLimits struct {
	*admission.TargetLimits
	// targetIDs returns the IDs of a service's targets.
	targetIDs func(service string) []string
}

// Take implements service.Limits.
func (s *sharedLimits) Take(target string) bool { return s.TargetLimits.Take(target, time.Now()) }

// RetryAfter implements service.Limits.
func (s *sharedLimits) RetryAfter(service string) time.Duration {
	return s.TargetLimits.RetryAfter(s.targetIDs(service))
}

func (e *Entry) buildLimits() {
	e.limits = &sharedLimits{
		TargetLimits: admission.NewTargetLimits(admission.TargetLimitsOptions{
			Members: e.members,
			Share:   func(limit admission.TargetLimit) { go e.members.Broadcast(limitNotice(limit)) },
			Log:     e.logLimit,
		}),
		targetIDs: func(service string) []string {
			var ids []string
			for _, target := range e.directory.Snapshot().AvailableTargets(service) {
				ids = append(ids, target.ID)
			}
			return ids
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

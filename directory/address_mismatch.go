package directory

import (
	"context"
	"slices"
	"time"
)

// Identifier queries the process at an address.
type Identifier interface {
	// Identify returns what the engine at the address reports of itself.
	Identify(ctx context.Context, address string) (EngineReport, error)
}

// EngineReport is what an engine reports of itself. It doesn't name the version of its software.
type EngineReport struct {
	Models []string
	// StartedMs is when the engine started, in Unix milliseconds; 0 if it doesn't say so.
	StartedMs int64
}

// identifyTimeout limits a call of the Identifier. Engines answer within a few round trips.
const identifyTimeout = 150 * time.Millisecond

// ReportAddressMismatch reports an address mismatch: another target answered at the address of this one, so
// that this incarnation has ended and gets no new work. found is the ID of the other one, the replacement
// target, or empty if it is not known. If the replacement is an engine and proven to be of the same service, it is used
// as a provisional target: the store may be unavailable for long and could not announce it meanwhile.
// ReportAddressMismatch never blocks. It discards the report if the queue is full; the next request that is
// dispatched to the target reports the mismatch again.
func (m *Manager) ReportAddressMismatch(target *Target, found string) {
	proven := m.provesService(target, m.Uptime())
	select {
	case m.updates <- func(time.Time) { m.recordMismatch(target, found, proven) }:
	default:
	}
}

func (m *Manager) recordMismatch(target *Target, found string, proven bool) {
	known := m.known[target.ID]
	if known == nil || !known.SameIncarnation(target) || m.mismatched[target.ID] != nil {
		return
	}
	m.mismatched[target.ID] = target
	if found != "" {
		m.excludeBefore(known, found)
	}
	m.report(EventAddressMismatch, target)
	m.publish()
	if found == "" || m.known[found] != nil || m.options.Identifier == nil || m.configuration == nil {
		return
	}
	if !proven {
		m.options.Observe(Event{Kind: EventReplacementUnusable, Subject: found, Detail: target.Address, Err: errServiceUnproven})
		return
	}
	go m.identifyReplacement(target, found, m.configuration)
}

// identifyReplacement queries the models of the replacement target, which is of the same service as the replaced one. If
// only this service has engines with these models, it adds the replacement as a provisional target.
func (m *Manager) identifyReplacement(replaced *Target, found string, configuration *Configuration) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	report, err := m.options.Identifier.Identify(ctx, replaced.Address)
	if err != nil || serviceOfModels(configuration, report.Models) != replaced.Service {
		m.options.Observe(Event{Kind: EventReplacementUnusable, Subject: found, Detail: replaced.Address, Err: err})
		return
	}
	replacement := *replaced
	replacement.ID = found
	replacement.StartedMs = report.StartedMs
	if report.StartedMs <= replaced.StartedMs {
		// The real start isn't known. This one is later than that of the replaced target, and earlier than that
		// of a target that registers at this address.
		replacement.StartedMs, replacement.StartUnknown = replaced.StartedMs+1, true
	}
	replacement.Provisional = true
	if replaced.Version != "" {
		replacement.Version = provisionalVersion(&replacement)
	}
	replacement.Unregistered = false
	replacement.Draining = false
	m.enqueue(ctx, func(now time.Time) { m.addProvisional(&replacement, now) })
}

// addProvisional adds a target that has no object in the store. It ignores one whose object was deleted a
// short time ago: that target has drained; it may still answer for a while but gets no new work.
func (m *Manager) addProvisional(replacement *Target, now time.Time) {
	if m.known[replacement.ID] != nil || m.feed.hasRecord(KindTarget, replacement.ID) {
		return
	}
	m.known[replacement.ID] = replacement
	m.provisionalSince[replacement.ID] = now
	replacement.FirstSeen = now
	m.report(EventProvisionalTargetAdded, replacement)
	m.publish()
}

// serviceOfModels returns the service whose engines run exactly these models; empty if there is none or
// more than one.
func serviceOfModels(configuration *Configuration, models []string) string {
	found := ""
	for _, service := range configuration.Services {
		if service.Engine == nil || !slices.Equal(service.Engine.Models, models) {
			continue
		}
		if found != "" {
			return ""
		}
		found = service.Name
	}
	return found
}

package directory

import (
	"context"
	"slices"
	"time"
)

// Identifier is the port that asks what runs at an address.
type Identifier interface {
	// Models returns the models of the engine at the address.
	Models(ctx context.Context, address string) ([]string, error)
}

// identifyTimeout bounds the question; engines answer within a few round trips.
const identifyTimeout = 150 * time.Millisecond

// Dispute takes back a target at whose address another one answered, so that this incarnation is
// over. found is the ID of the other one, empty when it is not known: it is used as a provisional
// target if it is an engine of the same service, since the store may be away for long and can't tell
// of it. Dispute never blocks; one that finds the queue full is raised again by the next request that
// meets the target.
func (m *Manager) Dispute(target *Target, found string) {
	select {
	case m.updates <- func(time.Time) { m.dispute(target, found) }:
	default:
	}
}

func (m *Manager) dispute(target *Target, found string) {
	known := m.known[target.ID]
	if known == nil || !known.SameIncarnation(target) || m.disputed[target.ID] != nil {
		return
	}
	m.disputed[target.ID] = target
	m.report(EventTargetDisputed, target)
	m.publish()
	if found != "" && m.known[found] == nil && m.options.Identifier != nil && m.configuration != nil {
		go m.identify(target, found, m.configuration)
	}
}

// identify asks the successor what it is and adopts it if it can only be of the same service.
func (m *Manager) identify(predecessor *Target, found string, configuration *Configuration) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	models, err := m.options.Identifier.Models(ctx, predecessor.Address)
	if err != nil || serviceOfModels(configuration, models) != predecessor.Service {
		m.options.Observe(Event{Kind: EventSuccessorUnknown, Subject: found, Detail: predecessor.Address, Err: err})
		return
	}
	successor := *predecessor
	successor.ID = found
	// A real entry of this address has a later start.
	successor.Born = predecessor.Born + 1
	successor.Provisional = true
	successor.Gone = false
	successor.Leaving = false
	m.post(ctx, func(now time.Time) { m.adopt(&successor, now) })
}

// adopt uses a target that has no entry. One that had an entry has left: it may serve on for a while,
// but gets no new work.
func (m *Manager) adopt(successor *Target, now time.Time) {
	if m.known[successor.ID] != nil || m.feed.knew(KindTarget, successor.ID) {
		return
	}
	m.known[successor.ID] = successor
	m.adopted[successor.ID] = now
	successor.Seen = now
	m.report(EventTargetAdopted, successor)
	m.publish()
}

// serviceOfModels returns the only service whose engines run the models; empty if there is none or
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

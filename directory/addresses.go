package directory

// addressHolders returns, by address, the target that is taken to run there: of those at which no other one has answered, the
// one that started last. Objects of earlier targets may still be in the store, since a target that crashes can't remove its
// object. A target of a service that the configuration doesn't name takes no address from one that it names: other writers
// leave such objects in the store.
func (m *Manager) addressHolders() map[string]*Target {
	holders := make(map[string]*Target, len(m.known))
	for id, target := range m.known {
		if m.mismatched[id] != nil {
			continue
		}
		if current := holders[target.Address]; current == nil || m.succeeds(target, current) {
			holders[target.Address] = target
		}
	}
	return holders
}

// succeeds reports whether a, at the address of b, is taken to have replaced b.
func (m *Manager) succeeds(a, b *Target) bool {
	if inA, inB := m.isConfigured(a.Service), m.isConfigured(b.Service); inA != inB {
		return inA
	}
	return startedLater(a, b)
}

// isConfigured reports whether the configuration names the service.
func (m *Manager) isConfigured(service string) bool {
	return m.configuration != nil && m.configuration.names(service)
}

// excludePredecessors excludes the targets that ran at the address of this one before it, for good: their objects may stay in
// the store for longer than that of this one. It is called when this one is no longer listed there. A target that neither drained
// nor answered may never have run there, and excludes none.
func (m *Manager) excludePredecessors(target *Target) {
	if target.Draining || m.answers.has(target) {
		m.excludeBefore(target, "")
	}
}

// excludeBefore excludes the targets that started before this one at its address, but for the one with the ID except.
func (m *Manager) excludeBefore(target *Target, except string) {
	for id, known := range m.known {
		if id != target.ID && id != except && known.Address == target.Address && m.succeeds(target, known) {
			m.mismatched[id] = known
		}
	}
}

// reportReplaced reports each target whose address has a new holder.
func (m *Manager) reportReplaced(holders map[string]*Target) {
	for id, target := range m.known {
		holder := holders[target.Address]
		if holder == nil || holder == target || m.mismatched[id] != nil {
			delete(m.replaced, id)
			continue
		}
		if m.replaced[id] == holder.ID {
			continue
		}
		m.replaced[id] = holder.ID
		m.options.Observe(Event{
			Kind: EventTargetReplaced, Subject: id, Revision: m.targetRevision,
			Detail: target.Service + " at " + target.Address + ", now held by " + holder.ID + " of " + holder.Service,
		})
	}
	for id := range m.replaced {
		if m.known[id] == nil {
			delete(m.replaced, id)
		}
	}
}

// startedLater reports whether a started later than b. With equal start times a registered target counts
// as the later one, else the one with the greater ID.
func startedLater(a, b *Target) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if a.Unregistered != b.Unregistered {
		return b.Unregistered
	}
	return a.ID > b.ID
}

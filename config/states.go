package config

import (
	"maps"
	"slices"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// States returns the state of every known resource, ordered by kind and name. The caller must not
// change the slice.
func (m *Manager) States() []ResourceState {
	m.statesMu.Lock()
	defer m.statesMu.Unlock()
	// Every change of a resource activates a new snapshot, so that the states of an unchanged
	// snapshot need no second validation.
	if current := m.current.Load(); m.statesSnapshot != current || !m.Ready() {
		m.states, m.statesSnapshot = m.validatedStates(), current
	}
	return m.states
}

func (m *Manager) validatedStates() []ResourceState {
	states, documents := m.store.states()
	unresolved := map[string]v1.Findings{}
	for _, finding := range v1.Validate(documents).OfScope(v1.ScopeReference) {
		unresolved[finding.File] = append(unresolved[finding.File], finding)
	}
	for i := range states {
		states[i].Unresolved = unresolved[states[i].Key.String()]
	}
	return states
}

func (s *store) states() (states []ResourceState, accepted []v1.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range v1.Kinds() {
		records := s.kinds[kind].records
		for _, name := range slices.Sorted(maps.Keys(records)) {
			known := records[name]
			states = append(states, known.state())
			if known.document != nil {
				accepted = append(accepted, *known.document)
			}
		}
	}
	return states, accepted
}

func (r *record) state() ResourceState {
	state := ResourceState{
		Key:          v1.ResourceKey{Kind: r.newest.Kind, Name: r.newest.Name},
		Revision:     r.newest.Revision,
		UID:          r.newest.UID,
		Value:        r.newest.Value,
		SpecRevision: r.specRevision,
		Refused:      r.findings,
	}
	if r.document != nil {
		state.Accepted = r.document.Resource
	}
	if len(r.findings) > 0 {
		state.SpecRevision = r.newest.Revision
		return state
	}
	state.Generation = r.document.Resource.Meta().Generation
	return state
}

package rolloutcontrol

import (
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// filteredTargets are the targets that Available returned for a slice of targets.
type filteredTargets struct {
	from, targets []*directory.Target
	without       string
	only          bool
}

// Available returns the targets that may get work at all: after a rollout only those of the version that serves from then on, if there are
// any. For the same targets it returns the same slice until a rollout ends.
func (m *Manager) Available(service string, targets []*directory.Target) []*directory.Target {
	if m == nil || len(targets) == 0 {
		return targets
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running := m.runningState(service)
	state := m.services[service]
	var version string
	var only bool
	switch {
	case state == nil:
		return targets
	case running != nil && running.stage != rollout.RolledBack:
		return targets
	case running != nil || state.status.State == rollout.StateRolledBack:
		version = state.order.To
	default:
		version, only = state.order.To, true
	}
	last := m.filtered[service]
	if len(last.from) == len(targets) && &last.from[0] == &targets[0] && last.without == version && last.only == only {
		return last.targets
	}
	last = filteredTargets{from: targets, without: version, only: only}
	for _, target := range targets {
		// A provisional target replaced one that served; it may not be able to register while the store is unavailable.
		if (target.Version == version) == only || directory.IsProvisionalVersion(target.Version) {
			last.targets = append(last.targets, target)
		}
	}
	if len(last.targets) == 0 {
		last.targets = targets
	}
	m.filtered[service] = last
	return last.targets
}

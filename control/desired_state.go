package control

import (
	"maps"
	"slices"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
)

// desiredStates returns every engine of the configuration with the weights that it should have
// loaded, sorted by name. Engines that no deployment names are included, without desired weights.
func desiredStates(snapshot *config.Snapshot) []TargetState {
	states := map[string]*TargetState{}
	for name, target := range snapshot.Targets {
		if target.Spec.Type == v1.TargetEngine {
			states[name] = &TargetState{Target: *target, Fencing: v1.FencingEnforced}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Deployments)) {
		deployment := snapshot.Deployments[name]
		if deployment.Spec.Type == v1.DeploymentGeneration {
			addDesired(states, deployment.Spec)
		}
	}
	ordered := make([]TargetState, 0, len(states))
	for _, name := range slices.Sorted(maps.Keys(states)) {
		state := states[name]
		if len(state.Desired) == 0 {
			state.Fencing = v1.FencingIgnored // no deployment declares that it checks tokens
		}
		ordered = append(ordered, *state)
	}
	return ordered
}

// addDesired adds the weights of one deployment, and its fencing mode, to the engines that it names.
func addDesired(states map[string]*TargetState, spec v1.DeploymentSpec) {
	wanted := []Weights{{Model: spec.Model, Version: spec.Version}}
	for _, adapter := range spec.Adapters {
		wanted = append(wanted, Weights{Model: spec.Model, Version: spec.Version, Adapter: adapter.Name})
	}
	for _, name := range spec.Targets {
		state := states[name]
		if state == nil {
			continue
		}
		if spec.Fencing != v1.FencingEnforced {
			state.Fencing = v1.FencingIgnored
		}
		for _, weights := range wanted {
			if !slices.Contains(state.Desired, weights) {
				state.Desired = append(state.Desired, weights)
			}
		}
	}
}

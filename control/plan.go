package control

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// Weights identifies what an engine loads: a version of a model, or an adapter for that version.
type Weights struct {
	Model   string
	Version string
	// Adapter is empty for the version itself.
	Adapter string
}

// base returns the weights of the version that an adapter is for.
func (w Weights) base() Weights { return Weights{Model: w.Model, Version: w.Version} }

func compareWeights(a, b Weights) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}

// Inventory is what an engine reports about itself.
type Inventory struct {
	Incarnation string
	Role        string
	Loaded      []Weights
	Loading     []Weights
	// Fence is the highest fencing token that the engine has seen.
	Fence Token
}

// CommandKind is the kind of a command.
type CommandKind string

// Kinds of commands.
const (
	CommandLoad    CommandKind = "load"
	CommandUnload  CommandKind = "unload"
	CommandSetRole CommandKind = "role"
)

// RoleServe is the role of an engine that accepts requests.
const RoleServe = "serve"

// Command is a command to an engine.
type Command struct {
	ID      string
	Kind    CommandKind
	Weights Weights
	Role    string
	// Fence is the fencing token of the sender's lease.
	Fence Token
}

// TargetState is the desired and the observed state of one engine.
type TargetState struct {
	Target v1.Target
	// Fencing is v1.FencingEnforced if deployments name the target and all of them declare it.
	Fencing v1.FencingMode
	// Desired holds the weights of the deployments that name the target.
	Desired  []Weights
	Draining bool
	// Observed reports whether Inventory was read in this pass.
	Observed  bool
	Inventory Inventory
}

// Action is one command to one target, proposed by Plan.
type Action struct {
	Target  string
	Kind    CommandKind
	Weights Weights
}

// unloadDelay is how long weights must not have been desired before they are unloaded: longer than
// the configuration of any entry lags behind.
const unloadDelay = 10 * time.Second

// Plan returns the actions that bring the targets closer to their desired state: at most one for each
// target, since a target is observed again after each command. surplusAge returns for how long
// loaded weights have not been desired. The result depends only on the arguments.
func Plan(targets []TargetState, surplusAge func(target string, w Weights) time.Duration) []Action {
	copies := countCopies(targets)
	var actions []Action
	for _, target := range targets {
		if !target.Observed || target.Draining {
			continue
		}
		action, ok := planTarget(target, copies, surplusAge)
		if !ok {
			continue
		}
		if action.Kind == CommandLoad {
			copies.loading[action.Weights]++
		}
		actions = append(actions, action)
	}
	return actions
}

// copies counts, for each Weights, the targets that have loaded them or are loading them.
type copies struct {
	loaded  map[Weights]int
	loading map[Weights]int
}

func countCopies(targets []TargetState) copies {
	c := copies{loaded: map[Weights]int{}, loading: map[Weights]int{}}
	for _, target := range targets {
		if !target.Observed {
			continue
		}
		for _, weights := range target.Inventory.Loaded {
			c.loaded[weights]++
		}
		for _, weights := range target.Inventory.Loading {
			c.loading[weights]++
		}
	}
	return c
}

// mayLoad reports whether another copy may be loaded now: only one copy is loaded until a target has
// loaded the weights successfully.
func (c copies) mayLoad(weights Weights) bool {
	return c.loaded[weights] > 0 || c.loading[weights] == 0
}

// planTarget returns the next action for one target: its role, then missing weights, then the unloading
// of weights that are not desired.
func planTarget(target TargetState, c copies, surplusAge func(string, Weights) time.Duration) (Action, bool) {
	name := target.Target.Metadata.Name
	if target.Inventory.Role != RoleServe {
		return Action{Target: name, Kind: CommandSetRole}, true
	}
	if len(target.Inventory.Loading) > 0 {
		return Action{}, false // a target loads one at a time
	}
	missing, complete := nextMissing(target, c)
	if missing != nil {
		return Action{Target: name, Kind: CommandLoad, Weights: *missing}, true
	}
	if !complete {
		return Action{}, false
	}
	for _, weights := range surplus(target) {
		if surplusAge(name, weights) >= unloadDelay {
			return Action{Target: name, Kind: CommandUnload, Weights: weights}, true
		}
	}
	return Action{}, false
}

// nextMissing returns the first desired weights that are not loaded and may be loaded now, and reports
// whether all desired weights are loaded. A version comes before its adapters.
func nextMissing(target TargetState, c copies) (next *Weights, complete bool) {
	complete = true
	desired := slices.Clone(target.Desired)
	slices.SortFunc(desired, compareWeights)
	for _, weights := range desired {
		if slices.Contains(target.Inventory.Loaded, weights) {
			continue
		}
		complete = false
		hasBase := weights.Adapter == "" || slices.Contains(target.Inventory.Loaded, weights.base())
		if next == nil && hasBase && c.mayLoad(weights) {
			next = &weights
		}
	}
	return next, complete
}

// surplus returns the weights that are loaded but not desired, adapters before their versions.
func surplus(target TargetState) []Weights {
	var list []Weights
	for _, weights := range target.Inventory.Loaded {
		if !slices.Contains(target.Desired, weights) {
			list = append(list, weights)
		}
	}
	slices.SortFunc(list, func(a, b Weights) int { return compareWeights(b, a) })
	return list
}

package engine

import (
	"slices"
	"time"
)

// Kinds of commands.
const (
	commandLoad    = "load"
	commandUnload  = "unload"
	commandSetRole = "role"
)

// Order is a command to the engine, the body of POST /v1/orders.
type Command struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fence   int64  `json:"fence"`
}

func (o Command) version() Version {
	return Version{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
}

// controlState is the state that commands change.
type controlState struct {
	role    string
	loaded  []Version
	loading []Version
	fence   int64
}

func (c *controlState) reset(options Options) {
	c.role = "serve"
	c.loaded = slices.Clone(options.Loaded)
	c.loading = nil
}

func (c *controlState) isLoaded(v Version) bool { return slices.Contains(c.loaded, v) }

// commandRefusal is the response to a command with a stale fencing token; Fence is the highest token seen.
type commandRefusal struct {
	Code  string `json:"code"`
	Fence int64  `json:"fence"`
}

// execute applies a command. A command with a stale fencing token is refused if Options.CheckFence
// is set, and only counted otherwise.
func (e *Engine) execute(order Command) *commandRefusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Fence < e.control.fence
	if stale && e.options.CheckFence {
		e.stats.FencedCommands++
		return &commandRefusal{Code: "fenced", Fence: e.control.fence}
	}
	if stale {
		e.stats.StaleCommands++
	}
	e.control.fence = max(e.control.fence, order.Fence)
	e.stats.Commands++
	e.applyCommand(order)
	return nil
}

func (e *Engine) applyCommand(order Command) {
	version := order.version()
	switch order.Kind {
	case commandLoad:
		e.beginLoad(version)
	case commandUnload:
		e.control.loaded = slices.DeleteFunc(e.control.loaded, func(v Version) bool { return v == version })
	case commandSetRole:
		e.control.role = order.Role
	}
}

func (e *Engine) beginLoad(version Version) {
	if e.control.isLoaded(version) || slices.Contains(e.control.loading, version) {
		return
	}
	e.control.loading = append(e.control.loading, version)
	e.stats.WeightLoads++
	incarnation := e.incarnation
	time.AfterFunc(e.options.WeightLoadTime, func() { e.finishLoad(version, incarnation) })
}

// finishLoad marks a version as loaded, unless the engine has died since the load began.
func (e *Engine) finishLoad(version Version, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return
	}
	e.control.loading = slices.DeleteFunc(e.control.loading, func(v Version) bool { return v == version })
	e.control.loaded = append(e.control.loaded, version)
}

package enginestatus

import (
	"slices"
	"sync"

	"github.com/azurebarrow/azurebarrow/generation"
)

// roleServe is the role of engines that accept requests. Engines without roles report an empty one.
const roleServe = "serve"

// loadedModel is a model version, with or without an adapter, that an engine has loaded.
type loadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Inventories holds the last reported inventory of each engine. It implements routing.Inventory.
type Inventories struct {
	mutex    sync.RWMutex
	byTarget map[string]inventoryAnswer
}

// NewInventories returns Inventories without any engine.
func NewInventories() *Inventories { return &Inventories{byTarget: map[string]inventoryAnswer{}} }

// Serves implements routing.Inventory.
func (i *Inventories) Serves(target string, request *generation.Request) bool {
	i.mutex.RLock()
	defer i.mutex.RUnlock()
	inventory, known := i.byTarget[target]
	if !known || len(inventory.Loaded) == 0 {
		return true // unknown: the engine rejects what it has not loaded
	}
	if inventory.Role != "" && inventory.Role != roleServe {
		return false
	}
	wanted := loadedModel{Model: request.Model, Version: request.Version, Adapter: request.Adapter}
	return slices.Contains(inventory.Loaded, wanted)
}

// update records the inventory of a target. It reports whether the incarnation of the target
// changed.
func (i *Inventories) update(target string, inventory inventoryAnswer) (restarted bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	former, known := i.byTarget[target]
	i.byTarget[target] = inventory
	return known && former.Incarnation != inventory.Incarnation
}

// remove deletes the inventory of a target that is no longer polled or has a new address.
func (i *Inventories) remove(target string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.byTarget, target)
}

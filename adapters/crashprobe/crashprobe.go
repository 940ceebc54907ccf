// Package crashprobe finds out whether targets whose connections ended have crashed.
package crashprobe

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/health"
)

// probeDelay is the time from the end of a connection to the probe: the system may close a process's connections a
// moment before its listener.
const probeDelay = 10 * time.Millisecond

// probeOpen is the time for which the connection of a probe must stay open.
const probeOpen = 20 * time.Millisecond

// Prober finds out whether targets whose connections ended have crashed. It is safe for concurrent use.
type Prober struct {
	pool *targethttp.Pool
	// router asks peers, since this entry's own link may be lost.
	router *detour.Router
	probes singleflight.Group
}

// New returns a Prober that connects to targets through the pool and asks peers through the router.
func New(pool *targethttp.Pool, router *detour.Router) *Prober {
	return &Prober{pool: pool, router: router}
}

// IsDown reports whether the target accepts no connection any more. Requests that lost the same target share a probe;
// a connection that it accepts is kept for later requests.
func (p *Prober) IsDown(target health.CrashedTarget) bool {
	key := (&directory.Target{ID: target.ID, Address: target.Address}).Key()
	down, _, _ := p.probes.Do(key, func() (any, error) {
		accepts := func() bool {
			return p.pool.Probe(context.Background(), key, target.Address, probeOpen) == nil // the pool limits the time
		}
		time.Sleep(probeDelay)
		if accepts() {
			return false, nil
		}
		return p.router.IsDown(context.Background(), detour.Target{ID: target.ID, Address: target.Address}, probeOpen, accepts), nil
	})
	return down.(bool)
}

package azurebarrow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/draining"
	"github.com/azurebarrow/azurebarrow/generation"
)

// weightUseGrace is how long model weights count as in use after an attempt has ended, so that the
// next attempt finds them still loaded.
const weightUseGrace = time.Minute

// weightUse counts the running attempts per model weights.
type weightUse struct {
	mu     sync.Mutex
	counts map[control.Weights]int
	// ended is the time at which the last attempt with the weights ended.
	ended map[control.Weights]time.Time
}

func newWeightUse() *weightUse {
	return &weightUse{counts: map[control.Weights]int{}, ended: map[control.Weights]time.Time{}}
}

func (u *weightUse) begin(weights control.Weights) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[weights]++
}

func (u *weightUse) end(weights control.Weights) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[weights]--
	u.ended[weights] = time.Now()
}

// inUse reports whether an attempt uses the weights or ended within weightUseGrace. An attempt with an
// adapter also uses the weights of the model version under it.
func (u *weightUse) inUse(weights control.Weights) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for used, count := range u.counts {
		if used != weights && (weights.Adapter != "" || used.Model != weights.Model || used.Version != weights.Version) {
			continue
		}
		if count > 0 || time.Since(u.ended[used]) < weightUseGrace {
			return true
		}
	}
	return false
}

// guardedChooser keeps new work from draining targets, whether or not the wrapped chooser knows that
// they are draining, and counts the weights in use.
type guardedChooser struct {
	chooser         generation.Chooser
	drainingTargets *draining.Tracker
	weights         *weightUse
}

// Choose implements generation.Chooser.
func (g *guardedChooser) Choose(ctx context.Context, query generation.TargetQuery) (*generation.Lease, error) {
	query.Exclude = append(slices.Clone(query.Exclude), g.drainingTargets.DrainingTargets()...)
	lease, err := g.chooser.Choose(ctx, query)
	if err != nil {
		return nil, err
	}
	if err := g.drainingTargets.CheckNewWork(lease.Target.Metadata.Name); err != nil {
		lease.Done(generation.Usage{})
		return nil, err
	}
	weights := control.Weights{Model: query.Request.Model, Version: query.Request.Version, Adapter: query.Request.Adapter}
	g.weights.begin(weights)
	done := lease.Done
	lease.Done = func(usage generation.Usage) {
		g.weights.end(weights)
		done(usage)
	}
	return lease, nil
}

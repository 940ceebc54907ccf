//go:build review

package rig

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// badDuration is the time to the deadline of the rollouts to a version that is bad without regard to load.
const badDuration = 60 * time.Second

// badVersion orders a rollout to a version that turns bad at a time after the order: a share of its responses are failures or, if slow is set,
// take four times as long. Without the trouble it stays sound.
func badVersion(from time.Duration, share float64, slow bool) func(folder string, trouble bool) int {
	return func(folder string, trouble bool) int {
		var bad atomic.Bool
		isBad := func() bool { return bad.Load() && rand.Float64() < share }
		r := orderRollout(folder, badDuration, func(e *engine) {
			e.fails = func(int) bool { return !slow && isBad() }
			e.slower = func(int) time.Duration {
				if slow && isBad() {
					return 4
				}
				return 1
			}
		}, func(rolloutStatus) {})
		if trouble {
			time.Sleep(time.Until(r.ordered.Add(from)))
			bad.Store(true)
			r.say("v2 turns bad")
		}
		return r.finish(trouble, nil)
	}
}

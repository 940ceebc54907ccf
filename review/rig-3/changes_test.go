//go:build review

package rig

import (
	"slices"
	"syscall"
	"time"
)

// loadLimit is the number of requests a second from which on an engine of the new version fails some of them.
const loadLimit = 32

// leaderLost orders a rollout to a version that is bad under load only. As the last step has begun, the process that writes the status
// stands still for some time or, if that is 0, is killed and started again, as many times. One of soundOf requests beyond the load limit is
// answered well.
func leaderLost(frozen time.Duration, times, soundOf int) func(folder string, trouble bool) int {
	return func(folder string, trouble bool) int { return loseLeader(folder, trouble, frozen, times, soundOf) }
}

func loseLeader(folder string, trouble bool, frozen time.Duration, times, soundOf int) int {
	steps := 0 // the statuses come one after the other
	lastStep := make(chan struct{}, times)
	r := orderRollout(folder, 70*time.Second, func(e *engine) { e.fails = failsUnderLoad(soundOf) }, func(status rolloutStatus) {
		if status.Stage == "shift" && status.Share == 1 && steps < times {
			steps++
			lastStep <- struct{}{}
		}
	})
	if !trouble {
		return r.finish(true, nil)
	}
	var out []outOfTouch
	for range times {
		select {
		case <-lastStep:
		case <-r.finished:
			r.say("the last step did not begin")
			return exitUnable
		}
		leader := coordinator(r.entries, rolloutService)
		time.Sleep(500 * time.Millisecond)
		lostAt := time.Now()
		if frozen > 0 {
			check(leader.command.Process.Signal(syscall.SIGSTOP))
			r.say("%s stands still, the process that last wrote to the store under a condition", leader.name)
			time.Sleep(frozen)
			check(leader.command.Process.Signal(syscall.SIGCONT))
			r.say("%s goes on", leader.name)
		} else {
			leader.kill()
			r.say("%s is killed, the process that last wrote to the store under a condition", leader.name)
			time.Sleep(500 * time.Millisecond)
			leader.start()
			r.say("%s is started again", leader.name)
		}
		out = append(out, outOfTouch{leader.name, lostAt, time.Now().Add(stableWindow)})
	}
	return r.finish(true, out)
}

// failsUnderLoad returns whether the n-th run fails: those beyond the load limit, but for one of soundOf.
func failsUnderLoad(soundOf int) func(n int) bool {
	var recent []time.Time // guarded by the engine's lock
	return func(n int) bool {
		now := time.Now()
		recent = slices.DeleteFunc(append(recent, now), func(t time.Time) bool { return now.Sub(t) > time.Second })
		return len(recent) > loadLimit && n%soundOf != 0
	}
}

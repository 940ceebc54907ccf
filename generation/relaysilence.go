package generation

import (
	"context"
	"time"
)

// handleWaitingEvents handles the events that wait, up to the first one that was received after the failed probe was sent: this goroutine
// may run late, and the probe's as well, and a target that has sent an event since is reachable. The reading goroutine can't receive the next
// event before the one before is handled, so that an event may wait at the socket if that was handled late.
func (a *activeAttempt) handleWaitingEvents(ctx context.Context) (ending relayEnding, ended bool, err error) {
	for !a.lastReceived.After(a.monitor.failedProbeSentAt) {
		var message relayMessage
		var waits bool
		if isLate := !a.lastReceived.IsZero() && a.lastProgress.Sub(a.lastReceived) > minTimerDelay; isLate {
			timer := time.NewTimer(minTimerDelay)
			select {
			case message = <-a.messages:
				waits = true
			case <-timer.C:
			}
			timer.Stop()
		} else {
			select {
			case message = <-a.messages:
				waits = true
			default:
			}
		}
		if !waits {
			return 0, false, nil
		}
		if ending, ended, err = a.handleMessage(ctx, message); ended {
			return ending, true, err
		}
	}
	return 0, false, nil
}

// silence returns how long the target has been silent. The time in which the entry's own connectivity was lost
// does not count.
func (a *activeAttempt) silence(now time.Time) time.Duration {
	since := a.lastProgress
	if regained := a.run.relay.connectivity.lastRegained(); regained.After(since) {
		since = regained
	}
	return now.Sub(since)
}

// isSilent reports whether the target has been silent for so long that it is probed.
func (a *activeAttempt) isSilent(now time.Time) bool {
	return a.silence(now) >= silenceLimitsFor(a.run.request, a.eventCount > 0, &a.gaps, a.run.moves).probeAfter
}

func (a *activeAttempt) probe() <-chan struct{} {
	return a.run.relay.monitors.probe(a.monitor, a.run.request.Service)
}

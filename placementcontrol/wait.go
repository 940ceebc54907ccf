package placementcontrol

import (
	"context"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/wait"
)

const (
	// repeatTimeout limits a repeated request, which the coordinator holds for holdTime.
	repeatTimeout = holdTime + placeTimeout
	// minRepeatInterval is the least time between two repeated requests, if a coordinator doesn't hold them.
	minRepeatInterval = 200 * time.Millisecond
	// A stream waits for its first event for waitObjectives times its objective at most, and until deadlineReserve before its deadline.
	// waitMargin is the further time in which the coordinator, which knows the same limits, refuses it.
	waitObjectives   = 3
	defaultObjective = 10 * time.Second
	deadlineReserve  = 2 * time.Second
	waitMargin       = 500 * time.Millisecond
	// A coordinator's Retry-After is kept within these bounds.
	minRetryAfter, maxRetryAfter = 200 * time.Millisecond, 8 * time.Second
)

// refresh updates the engines of a query.
func refresh(query *generation.RelayQuery) {
	if query.Latest != nil {
		query.Engines, query.Fits = query.Latest()
	}
}

// awaitRoom repeats a request that was queued until it is decided, and updates its position in the queue, the query and the engines that the
// request excludes.
func (m *Manager) awaitRoom(ctx context.Context, query *generation.RelayQuery, request *Request, position *int) (answer Answer, coordinator, reason string) {
	begun := m.options.Now()
	m.stats.Queued.Add(1)
	m.options.Observe(Event{Kind: EventQueued, Service: request.Service, Request: query.Request, Priority: request.Priority, Position: *position})
	defer func() { m.options.Waited(m.options.Now().Sub(begun)) }()
	objective := request.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	limit := query.Arrived.Add(waitObjectives * objective)
	if latest := query.Deadline.Add(-deadlineReserve); latest.Before(limit) {
		limit = latest
	}
	limit = limit.Add(waitMargin)
	request.Queued = true
	defer func() { request.Queued = false }()
	for {
		live := m.options.View.Live()
		switch {
		case m.options.Stopping():
			return Answer{}, "", ReasonStopping
		case !m.isShared(len(live)):
			return Answer{}, "", ReasonDeclined
		}
		if query.Latest != nil {
			refresh(query)
			var ok bool
			if request.Exclude, ok = m.excluded(*query); !ok {
				return Answer{}, "", ReasonUnusable
			}
		}
		sent := m.options.Now()
		request.Waited, request.TimeLeft = sent.Sub(query.Arrived), query.Deadline.Sub(sent)
		limited, cancel := context.WithTimeout(ctx, repeatTimeout)
		answer, coordinator, reason = m.query(limited, live, *request)
		cancel()
		switch {
		case reason != "" || !answer.Queued || ctx.Err() != nil:
			return answer, coordinator, reason
		case m.options.Now().After(limit):
			return Answer{}, "", ReasonTimeout
		}
		*position = answer.Position
		if wait.For(ctx, minRepeatInterval-m.options.Now().Sub(sent)) != nil {
			return Answer{}, "", ReasonTimeout
		}
	}
}

// refuse returns the error of a stream that the coordinator refused.
func (m *Manager) refuse(query generation.RelayQuery, answer Answer, position int) error {
	retryAfter := min(max(answer.RetryAfter, minRetryAfter), maxRetryAfter)
	m.stats.RefusedEarly.Add(1)
	m.options.Observe(Event{
		Kind: EventRefusedEarly, Service: query.Service, Request: query.Request, Priority: query.Priority, Position: position, RetryAfter: retryAfter,
	})
	return &generation.NoRoomError{RetryAfter: retryAfter}
}

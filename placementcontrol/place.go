package placementcontrol

import (
	"context"
	"slices"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
)

// PlaceStream implements generation.RelayPlacer.
func (m *Manager) PlaceStream(ctx context.Context, query generation.RelayQuery) (*directory.Target, error) {
	live := m.options.View.Live()
	if query.Spec == nil || !m.isShared(len(live)) {
		return m.Local.PlaceStream(ctx, query)
	}
	exclude, ok := m.excluded(query)
	if !ok || query.Begun && query.Fits != nil {
		m.stats.PlacedByVersion.Add(1)
		return m.Local.PlaceStream(ctx, query)
	}
	engine, reason, err := m.placeShared(ctx, live, &query, exclude)
	if engine != nil || err != nil {
		return engine, err
	}
	m.countFallback(query.Service, reason)
	return m.Local.PlaceStream(ctx, query)
}

// takesAll reports whether the stream may go to all engines of its service that this entry knows, but for the excluded ones.
func (m *Manager) takesAll(query generation.RelayQuery) bool {
	_, available := m.options.Service(query.Service)
	if query.Fits != nil || len(available) != len(query.Engines) {
		return false
	}
	return len(available) == 0 || &available[0] == &query.Engines[0]
}

// excluded returns the IDs of the service's engines that the query does not allow; ok is false if there are too many. The coordinator knows
// all engines, and nothing of the versions that the request may go to.
func (m *Manager) excluded(query generation.RelayQuery) (exclude []string, ok bool) {
	exclude = slices.Clone(query.Exclude)
	if m.takesAll(query) {
		return exclude, len(exclude) <= maxExcluded
	}
	usable := make(map[string]bool, len(query.Engines))
	for _, engine := range query.Engines {
		usable[engine.ID] = query.Allows(engine)
	}
	_, available := m.options.Service(query.Service)
	for _, engine := range available {
		if !usable[engine.ID] && !slices.Contains(query.Exclude, engine.ID) {
			exclude = append(exclude, engine.ID)
		}
	}
	return exclude, len(exclude) <= maxExcluded
}

// usableEngine returns the engine of an answer as this entry knows it now, nil if the stream can't go there. Engines may have come, gone or
// restarted while the stream waited.
func (m *Manager) usableEngine(query generation.RelayQuery, takesAll bool, answer Answer) *directory.Target {
	isAnswer := func(engine *directory.Target) bool {
		return engine.ID == answer.Engine && engine.Address == answer.Address
	}
	_, available := m.options.Service(query.Service)
	index := slices.IndexFunc(available, isAnswer)
	if index < 0 || !query.Allows(available[index]) {
		return nil
	}
	engine := available[index]
	isQueried := func(queried *directory.Target) bool { return isAnswer(queried) && queried.Version == engine.Version }
	if !takesAll && !slices.ContainsFunc(query.Engines, isQueried) {
		return nil
	}
	return engine
}

// placeShared has the coordinator choose the engine. Without an engine and an error, reason says why this entry must place the stream. It
// refreshes the query of a stream that has waited.
func (m *Manager) placeShared(ctx context.Context, live []membership.Peer, query *generation.RelayQuery, exclude []string) (engine *directory.Target, reason string, err error) {
	request := Request{
		Zone: m.options.View.Self().AvailabilityZone, ID: shorten(query.Request), Customer: query.Customer, Priority: query.Priority, Size: query.Size,
		CachedAt: query.CachedAt, Affinity: shorten(query.Affinity), Exclude: exclude, Objective: query.Objective, Begun: query.Begun,
	}
	request.Service = query.Service
	// What the query allows now says whether a stream with Latest may use an engine.
	takesAll := query.Latest == nil && m.takesAll(*query)
	if query.Arrived.IsZero() {
		query.Arrived = m.options.Now()
	}
	timeLeft := placeTimeout
	for {
		if !m.beginQuery(*query) {
			return nil, ReasonUnusable, nil
		}
		begun := m.options.Now()
		request.Waited, request.TimeLeft = begun.Sub(query.Arrived), query.Deadline.Sub(begun)
		limited, cancel := context.WithTimeout(ctx, timeLeft)
		answer, coordinator, reason := m.query(limited, live, request)
		cancel()
		timeLeft -= m.options.Now().Sub(begun)
		position := answer.Position
		if answer.Queued && !query.Begun {
			answer, coordinator, reason = m.awaitRoom(ctx, query, &request, &position)
			refresh(query)
			timeLeft = placeTimeout
		}
		if query.Begun || !answer.Refused {
			m.countQuery(*query)
		}
		switch {
		case ctx.Err() != nil:
			if answer.Engine != "" {
				m.recordAnswer(*query, answer, coordinator, false)
			}
			return nil, "", ctx.Err()
		case reason != "":
			return nil, reason, nil
		case answer.Refused && !query.Begun:
			return nil, "", m.refuse(*query, answer, position)
		case answer.Engine == "":
			return nil, ReasonNoEngine, nil
		}
		engine := m.usableEngine(*query, takesAll, answer)
		m.recordAnswer(*query, answer, coordinator, engine != nil)
		if engine != nil {
			if coordinator == m.options.View.Self().Name {
				m.stats.PlacedBySelf.Add(1)
			} else {
				m.stats.PlacedByCoordinator.Add(1)
			}
			return engine, "", nil
		}
		request.Exclude = append(request.Exclude, answer.Engine)
	}
}

// beginQuery reports whether there is a further query for an attempt of the request. An engine that was answered before was not used.
func (m *Manager) beginQuery(query generation.RelayQuery) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	known := m.choices[query.Request]
	if known == nil || now.Sub(known.at) >= choiceTTL {
		known = &choice{at: now, service: query.Service}
		m.choices[query.Request] = known
	}
	m.releaseUnused(known)
	return known.queries < maxQueries
}

// countQuery counts a query for an attempt of the request. Refused ones don't count, nor do those that are not decided yet: a caller that
// returns with the same request would have its stream placed without room.
func (m *Manager) countQuery(query generation.RelayQuery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.choices[query.Request]
	if known == nil {
		known = &choice{at: m.options.Now(), service: query.Service}
		m.choices[query.Request] = known
	}
	known.queries++
}

// recordAnswer records the engine that the coordinator reserved for the request.
func (m *Manager) recordAnswer(query generation.RelayQuery, answer Answer, coordinator string, isUsable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.choices[query.Request]
	if known == nil {
		known = &choice{at: m.options.Now(), service: query.Service}
		m.choices[query.Request] = known
	}
	m.releaseUnused(known)
	known.at = m.options.Now()
	known.engine, known.ticket = answer.Engine, ticket{answer.Ticket, coordinator, m.options.Now()}
	if !isUsable {
		m.releaseUnused(known)
	}
}

// releaseUnused has the next message release the reservation of an engine that was not used. The caller holds mu.
func (m *Manager) releaseUnused(known *choice) {
	if known.engine == "" {
		return
	}
	state := m.service(known.service)
	state.included = append(state.included, known.ticket)
	known.engine = ""
}

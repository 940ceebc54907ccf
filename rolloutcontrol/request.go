package rolloutcontrol

import (
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/rollout"
)

// reconnectGrace is the time for which a stream that broke counts as needing its version: its caller may reconnect for the rest.
const reconnectGrace = 3 * time.Second

// Request is a request of a caller in progress: it chooses the versions that may get it, and counts at which version it is.
// It is safe for concurrent use.
type Request struct {
	manager *Manager
	service string
	// isNew reports that the gate has let the request through to the new version of the order.
	isNew bool
	order rollout.Order
	// takesProvisional reports that a target may get the request of which no version is known.
	takesProvisional bool
	// attempts counts the attempts, version is that of the last one.
	attempts int
	version  string
	// running counts the attempts in progress by version.
	running map[string]int
	// endedAt is when the request ended while its stream may be taken up; zero before.
	endedAt time.Time
}

// Begin counts a request of the service and chooses its version. Resumed is set for the rest of a stream, which stays on the version that
// began it.
func (m *Manager) Begin(service string, resumed bool) *Request {
	if m == nil {
		return nil
	}
	r := &Request{manager: m, service: service, running: map[string]int{}}
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.runningState(service); state != nil && !resumed {
		r.order = state.order
		r.isNew = state.gate.Allow(m.options.Now())
	}
	if m.requests[service] == nil {
		m.requests[service] = map[*Request]bool{}
	}
	m.requests[service][r] = true
	return r
}

// End counts the end of the request. A stream that is not complete may be taken up.
func (r *Request) End(mayResume bool) {
	if r == nil {
		return
	}
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.attempts == 0 {
		r.revoke()
	}
	if mayResume && r.attempts > 0 {
		r.endedAt = m.options.Now()
		return
	}
	delete(m.requests[r.service], r)
}

// revoke takes the permission of the gate back.
func (r *Request) revoke() {
	if !r.isNew {
		return
	}
	r.isNew = false
	if state := r.manager.runningState(r.service); state != nil && state.order == r.order {
		state.gate.Revoke()
	}
}

// Allows reports whether a target of the version may get the next attempt.
func (r *Request) Allows(version string) bool {
	if r == nil {
		return true
	}
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.runningState(r.service)
	if state == nil || !m.servesOther(r.service, state.order.To) {
		return true
	}
	if directory.IsProvisionalVersion(version) {
		return r.takesProvisional
	}
	toNew := r.isNew && r.order == state.order
	if r.attempts > 0 {
		toNew = state.takesAll(m.options.Now())
	}
	return toNew == (version == state.order.To)
}

// FallBack widens what Allows returns, after no target was found. It returns false if it can't.
func (r *Request) FallBack() bool {
	if r == nil {
		return false
	}
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	switch {
	case r.isNew && r.attempts == 0:
		r.revoke()
	case !r.takesProvisional && r.manager.runningState(r.service) != nil:
		r.takesProvisional = true
	default:
		return false
	}
	return true
}

// BeginAttempt counts an attempt at a target of the version. The returned Attempt must be ended.
func (r *Request) BeginAttempt(route, version string) *Attempt {
	if r == nil {
		return nil
	}
	m := r.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &Attempt{request: r, route: route, version: version, begun: m.options.Now()}
	if state := m.runningState(r.service); state != nil {
		a.order = state.order
		state.pending(version).AddStarted()
		if version == state.order.To {
			m.stats.SentNew.Add(1)
		}
		if version == state.order.To && !(r.isNew && r.attempts == 0 && r.order == state.order) {
			state.gate.AddSent()
		}
	}
	a.first = r.attempts == 0
	a.gated = a.first && r.isNew
	r.attempts++
	r.version = version
	r.running[version]++
	return a
}

// needsOther reports whether the request is at another version than the given one, or may need one.
func (r *Request) needsOther(version string) bool {
	if r.attempts == 0 {
		return !r.isNew
	}
	if r.version != version {
		return true
	}
	for running, count := range r.running {
		if running != version && count > 0 {
			return true
		}
	}
	return false
}

// Attempt is an attempt of a request in progress. A nil one counts nothing.
type Attempt struct {
	request        *Request
	route, version string
	begun          time.Time
	// order is the one that was carried out as the attempt began.
	order rollout.Order
	// first reports that the attempt is the first one of its request, gated that the gate let it through.
	first, gated bool
	// answered reports that the response, or the first event of a stream, was recorded.
	answered, ended bool
}

// MaySend reports whether the attempt, which begins no rest of a stream, may still be sent to its version: since the request chose
// it, the share may have run out, or the version may have been rolled back.
func (a *Attempt) MaySend() bool {
	if a == nil {
		return true
	}
	m := a.request.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	state := m.runningState(a.request.service)
	if state == nil {
		ended := m.services[a.request.service]
		return ended == nil || ended.status.State != rollout.StateRolledBack || a.version != ended.order.To || !m.servesOther(a.request.service, ended.order.To)
	}
	if a.version != state.order.To || !m.servesOther(a.request.service, state.order.To) {
		return true
	}
	if a.first {
		return a.gated && a.order == state.order && state.gate.Open(now)
	}
	return state.takesAll(now)
}

// Withdraw takes back an attempt that was not sent. A report may have counted it already, which only makes the exposure look larger;
// Stats counts it still.
func (a *Attempt) Withdraw() {
	if a == nil {
		return
	}
	m := a.request.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.runningState(a.request.service)
	if state == nil || state.order != a.order {
		return
	}
	if evidence := state.pending(a.version); evidence.Started > 0 {
		evidence.Started--
	}
	if a.version != state.order.To {
		return
	}
	state.gate.Revoke()
}

// Answered records the response or the first event of a stream.
func (a *Attempt) Answered() {
	if a == nil {
		return
	}
	a.record(rollout.Answered)
}

// Fail records that the attempt failed; after Answered, that the rest of the stream did.
func (a *Attempt) Fail(outcome rollout.Outcome) {
	if a == nil {
		return
	}
	a.record(outcome)
}

func (a *Attempt) record(outcome rollout.Outcome) {
	m := a.request.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.runningState(a.request.service)
	if state == nil || state.order != a.order {
		return
	}
	evidence := state.pending(a.version)
	if a.answered {
		if outcome != rollout.Answered {
			evidence.RecordLateFailure(a.route, outcome)
		}
		return
	}
	a.answered = true
	evidence.Record(a.route, outcome, m.options.Now().Sub(a.begun))
}

// End counts the end of the attempt.
func (a *Attempt) End() {
	if a == nil {
		return
	}
	m := a.request.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if !a.ended {
		a.ended = true
		a.request.running[a.version]--
	}
}

package directory

import (
	"errors"
	"sync"
	"time"
)

// errServiceUnproven: nothing proves that a replacement target belongs to the service of the replaced one.
var errServiceUnproven = errors.New("its service is not proven")

// answerTimes are the latest times at which targets are known to have run, by Target.Key: those at which requests were sent
// that they answered. An answer may be received much later than it was sent, so that the time of its receipt proves nothing.
type answerTimes struct {
	mu   sync.Mutex
	sent map[string]time.Duration
}

// RecordAnswered records that the target with the ID at the address answered a request that was sent to it at a time of
// Uptime. The answer must be proven to be its own. Targets that are not known are ignored.
func (m *Manager) RecordAnswered(id, address string, sent time.Duration) {
	target := m.Snapshot().Target(id)
	if target == nil || target.Address != address {
		return
	}
	m.answers.mu.Lock()
	defer m.answers.mu.Unlock()
	key := target.Key()
	m.answers.sent[key] = max(sent, m.answers.sent[key])
}

// Uptime returns the time of the clock that RecordAnswered takes. It includes the time while the machine was suspended.
func (m *Manager) Uptime() time.Duration { return m.options.Uptime() }

func (a *answerTimes) has(target *Target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, answered := a.sent[target.Key()]
	return answered
}

func (a *answerTimes) forget(target *Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sent, target.Key())
}

// provesService reports whether what runs at a target's address at a time of Uptime belongs to the service of the target.
// The platform gives an address to another service only once Options.AddressReuse has passed since the end of its target.
// Nothing else proves the service: engines of several services run the same models.
func (m *Manager) provesService(target *Target, at time.Duration) bool {
	m.answers.mu.Lock()
	defer m.answers.mu.Unlock()
	sent, answered := m.answers.sent[target.Key()]
	return answered && at-sent < m.options.AddressReuse
}

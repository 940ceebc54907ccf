package config

import (
	"context"
	"errors"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
)

const (
	// longestWatch is how long one watch call of an idle entry waits for a change; these calls are
	// all that its configuration costs the platform.
	longestWatch = 15 * time.Second
	// shortestWatch is the wait after a change or a failure, when a call that hangs must be
	// noticed soon.
	shortestWatch = time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = time.Second
	// peerQuestionTimeout bounds the question to peers at start.
	peerQuestionTimeout = 500 * time.Millisecond
	// platformPatience is how long a starting entry waits for a silent platform while peers have
	// answered.
	platformPatience = 700 * time.Millisecond
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	// roleInterval is the time between two looks at whether this entry has to watch.
	roleInterval = 250 * time.Millisecond

	platformSource = "platform"
)

// bootstrapThenWatch makes the entry ready and then watches the platform while that is its duty.
func (m *Manager) bootstrapThenWatch(ctx context.Context) {
	asked := m.askPeers(ctx)
	m.bootstrap(ctx, asked)
	m.watchPlatform(ctx)
}

// bootstrap registers and lists until the lists are known to be current, or peers that have a
// configuration in force stand in for a platform that does not answer.
func (m *Manager) bootstrap(ctx context.Context, asked <-chan bool) {
	current := make(chan struct{})
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan struct{}, 1)
	go m.listUntilCurrent(stop, current, failed)
	var patience <-chan time.Time
	peerAnswered := false
	platformFailed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-current:
			m.awaitPeers(ctx, asked)
			m.becomeReady(platformSource)
			return
		case ready := <-asked:
			peerAnswered = ready
			asked = nil
			if !ready {
				asked = m.askPeersLater(ctx)
			}
			patience = time.After(platformPatience)
		case <-failed:
			platformFailed = true
		case <-patience:
			platformFailed = true
		}
		if peerAnswered && platformFailed {
			m.becomeReady("peers")
			return
		}
	}
}

// awaitPeers waits for the pending question to the peers, which has its own time-out.
func (m *Manager) awaitPeers(ctx context.Context, asked <-chan bool) {
	if asked == nil {
		return
	}
	timeout := time.NewTimer(peerQuestionTimeout)
	defer timeout.Stop()
	select {
	case <-asked:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// listUntilCurrent closes current once every kind is known up to the registration's revision. It
// reports each failure of the platform in failed.
func (m *Manager) listUntilCurrent(ctx context.Context, current chan<- struct{}, failed chan<- struct{}) {
	retry := m.jitter.backoff()
	for ctx.Err() == nil {
		err := m.registerAndList(ctx)
		if err == nil && m.isCurrent() {
			close(current)
			return
		}
		if err != nil {
			m.observe(Event{Kind: EventSourceFailed, Source: platformSource, Err: err})
			select {
			case failed <- struct{}{}:
			default:
			}
		}
		_ = wait.For(ctx, retry.next())
	}
}

func (m *Manager) registerAndList(ctx context.Context) error {
	if m.registered.Load() == 0 {
		if err := m.register(ctx); err != nil {
			return err
		}
	}
	return m.listAll(ctx)
}

// isCurrent tells whether the store reflects at least the registration's revision.
func (m *Manager) isCurrent() bool {
	bound := m.registered.Load()
	return bound != 0 && m.store.revision() >= bound
}

// register writes this entry's own object. The write is conditional and returns the platform's
// present revision, which a read need not: reads may be stale.
func (m *Manager) register(ctx context.Context) error {
	expected := objects.MustNotExist
	for {
		registration := m.options.Registration
		object, err := m.options.Platform.Put(ctx, KindEntry, registration.Name, expected, registration.encode())
		if err == nil {
			m.registered.Store(object.Revision)
			return nil
		}
		var conflict *objects.ConflictError
		if !errors.As(err, &conflict) || conflict.Present == expected {
			return err
		}
		expected = conflict.Present
	}
}

// listAll reads every kind that is not yet known to be current.
func (m *Manager) listAll(ctx context.Context) error {
	for _, position := range m.store.positions() {
		if bound := m.registered.Load(); bound != 0 && position.Revision >= bound {
			continue
		}
		if err := m.listKind(ctx, position.Kind); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) listKind(ctx context.Context, kind string) error {
	list, err := m.options.Platform.List(ctx, kind)
	if err != nil {
		return err
	}
	m.apply(platformSource, []Delta{deltaOf(kind, list)})
	return nil
}

// watchPlatform watches while this entry is among the watchers of its availability zone, or while
// no peer answers it.
func (m *Manager) watchPlatform(ctx context.Context) {
	retry := m.jitter.backoff()
	watch := shortestWatch
	for ctx.Err() == nil {
		if !m.mustWatch() {
			_ = wait.For(ctx, roleInterval)
			continue
		}
		changed, err := m.watchOnce(ctx, m.jitter.spread(watch))
		watch = min(2*watch, longestWatch)
		if changed || err != nil {
			watch = shortestWatch
		}
		if err != nil {
			m.observe(Event{Kind: EventSourceFailed, Source: platformSource, Err: err})
			_ = wait.For(ctx, retry.next())
			continue
		}
		retry.reset()
	}
}

// watchOnce makes one watch call and tells whether it brought changes.
func (m *Manager) watchOnce(ctx context.Context, wait time.Duration) (changed bool, err error) {
	if m.registered.Load() == 0 {
		// An entry that started during an outage has not registered yet.
		if err := m.register(ctx); err != nil {
			return false, err
		}
	}
	after := m.store.revision()
	if after == unknownRevision {
		return true, m.listAll(ctx)
	}
	call, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	list, err := m.options.Platform.Watch(call, v1.Kinds(), after, wait)
	if errors.Is(err, objects.ErrTooOld) {
		return true, m.relist(ctx)
	}
	if err != nil {
		return false, err
	}
	m.apply(platformSource, deltasOf(v1.Kinds(), list))
	return len(list.Items) > 0, nil
}

// relist reads every kind after the platform has forgotten the changes since the last watch.
func (m *Manager) relist(ctx context.Context) error {
	for _, kind := range v1.Kinds() {
		if err := m.listKind(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

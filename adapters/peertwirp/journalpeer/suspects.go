package journalpeer

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
)

const (
	// suspectHolders is the number of entries that hold the charges of a fingerprint.
	suspectHolders = 3
	// suspectTimeout bounds the call to one of them.
	suspectTimeout = 50 * time.Millisecond
)

// Suspects shares the charges against fingerprints among the entries: the first ranks of a
// fingerprint hold them, and the first of a deployment its place for suspects. It implements
// generation.Suspects.
type Suspects struct {
	client *Client
	deaths *health.Crashes
	places *generation.IsolationSlots
}

// NewSuspects returns Suspects that reach other entries through client.
func NewSuspects(client *Client) *Suspects {
	return &Suspects{client: client, deaths: health.NewCrashes(), places: generation.NewIsolationSlots()}
}

// Charge implements generation.Suspects. What the holders know of the fingerprint is learned here;
// a fingerprint with several deaths is told to every entry, so that each can judge it at once.
func (s *Suspects) RecordCrash(ctx context.Context, fingerprint, target string) {
	s.deaths.Record(fingerprint, target, time.Now())
	request := &SuspectRequest{Action: SuspectAction_SUSPECT_ACTION_CHARGE, Fingerprint: fingerprint, Targets: []string{target}}
	for _, reply := range s.tell(ctx, s.holders(fingerprint), request) {
		s.learn(fingerprint, reply.Targets)
	}
	targets := s.deaths.Targets(fingerprint, time.Now())
	if health.RestrictionFor(len(targets)) == health.RestrictionNone {
		return
	}
	everywhere := &SuspectRequest{Action: SuspectAction_SUSPECT_ACTION_CHARGE, Fingerprint: fingerprint, Targets: targets}
	s.tell(ctx, s.client.view.Live(), everywhere)
}

func (s *Suspects) learn(fingerprint string, targets []string) {
	now := time.Now()
	for _, target := range targets {
		s.deaths.Record(fingerprint, target, now)
	}
}

// Clear implements generation.Suspects.
func (s *Suspects) ClearCrashes(ctx context.Context, fingerprint string) {
	s.deaths.Discard(fingerprint)
	request := &SuspectRequest{Action: SuspectAction_SUSPECT_ACTION_CLEAR, Fingerprint: fingerprint}
	s.tell(ctx, s.client.view.Live(), request)
}

// Deaths implements generation.Suspects.
func (s *Suspects) Crashes(fingerprint string) int { return s.deaths.Count(fingerprint, time.Now()) }

// holders returns the entries that hold the charges of a fingerprint.
func (s *Suspects) holders(fingerprint string) []membership.Peer {
	ranked := membership.Rank(s.client.view.Live(), fingerprint)
	return ranked[:min(suspectHolders, len(ranked))]
}

// tell calls peers at once and returns the answers that came.
func (s *Suspects) tell(ctx context.Context, peers []membership.Peer, request *SuspectRequest) []*SuspectReply {
	request.ProtocolVersion = protocolVersion
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []*SuspectReply
	var group sync.WaitGroup
	for _, peer := range peers {
		if peer.Name == s.client.view.Self().Name {
			continue
		}
		group.Go(func() {
			reply, err := s.client.to(peer).Suspect(ctx, request)
			if err != nil {
				return // the other holders answer
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	group.Wait()
	return replies
}

// Isolate implements generation.Suspects. A place whose holder can't be asked is granted by the next
// in rank.
func (s *Suspects) AcquireIsolation(ctx context.Context, deployment, holder string, hold time.Duration) bool {
	request := &SuspectRequest{
		ProtocolVersion: protocolVersion,
		Action:          SuspectAction_SUSPECT_ACTION_ISOLATE,
		Deployment:      deployment,
		Holder:          holder,
		HoldMs:          hold.Milliseconds(),
	}
	for _, peer := range membership.Rank(s.client.view.Live(), deployment) {
		if peer.Name == s.client.view.Self().Name {
			now := time.Now()
			return s.places.Acquire(deployment, holder, now.Add(hold), now)
		}
		reply, err := s.ask(ctx, peer, request)
		if err == nil {
			return reply.Granted
		}
	}
	return false
}

// Release implements generation.Suspects.
func (s *Suspects) ReleaseIsolation(ctx context.Context, deployment, holder string) {
	s.places.Release(deployment, holder)
	request := &SuspectRequest{
		ProtocolVersion: protocolVersion,
		Action:          SuspectAction_SUSPECT_ACTION_RELEASE,
		Deployment:      deployment,
		Holder:          holder,
	}
	for _, peer := range membership.Rank(s.client.view.Live(), deployment) {
		if peer.Name == s.client.view.Self().Name {
			return
		}
		if _, err := s.ask(ctx, peer, request); err == nil {
			return
		}
	}
}

func (s *Suspects) ask(ctx context.Context, peer membership.Peer, request *SuspectRequest) (*SuspectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return s.client.to(peer).Suspect(ctx, request)
}

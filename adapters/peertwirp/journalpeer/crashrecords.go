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
	// crashRecordReplicas is the number of entries that hold the crash records of a fingerprint.
	crashRecordReplicas = 3
	// crashRecordTimeout limits a call to another entry, or a round of concurrent calls.
	crashRecordTimeout = 50 * time.Millisecond
)

// CrashRecords shares the crashes recorded against request fingerprints among the entries, to find poison
// requests. The first entries by rendezvous hash of a fingerprint hold its crash records, and the first
// entry by rendezvous hash of a deployment holds the deployment's isolation slot. CrashRecords implements
// generation.CrashRecords.
type CrashRecords struct {
	client         *Client
	crashes        *health.Crashes
	isolationSlots *generation.IsolationSlots
}

// NewCrashRecords returns a CrashRecords without crash records that calls other entries through client.
func NewCrashRecords(client *Client) *CrashRecords {
	return &CrashRecords{client: client, crashes: health.NewCrashes(), isolationSlots: generation.NewIsolationSlots()}
}

// RecordCrash implements generation.CrashRecords. It sends the crash to the entries that hold the records
// of the fingerprint, and records the crashes that they return. If the fingerprint is then restricted, it
// sends the crashes to all entries, so that each of them can isolate or refuse it without asking others.
func (s *CrashRecords) RecordCrash(ctx context.Context, fingerprint, target string) {
	s.crashes.Record(fingerprint, target, time.Now())
	request := &SuspectRequest{Action: SuspectAction_SUSPECT_ACTION_CHARGE, Fingerprint: fingerprint, Targets: []string{target}}
	for _, reply := range s.callAll(ctx, s.replicas(fingerprint), request) {
		s.recordCrashes(fingerprint, reply.Targets)
	}
	targets := s.crashes.Targets(fingerprint, time.Now())
	if health.RestrictionFor(len(targets)) == health.RestrictionNone {
		return
	}
	broadcast := &SuspectRequest{Action: SuspectAction_SUSPECT_ACTION_CHARGE, Fingerprint: fingerprint, Targets: targets}
	s.callAll(ctx, s.client.view.Live(), broadcast)
}

func (s *CrashRecords) recordCrashes(fingerprint string, targets []string) {
	now := time.Now()
	for _, target := range targets {
		s.crashes.Record(fingerprint, target, now)
	}
}

// ClearCrashes implements generation.CrashRecords.
func (s *CrashRecords) ClearCrashes(ctx context.Context, fingerprint string) {
	s.crashes.AllowParts([]string{health.RequestPart(fingerprint)})
	request := &SuspectRequest{Action: SuspectAction_SUSPECT_ACTION_CLEAR, Fingerprint: fingerprint}
	s.callAll(ctx, s.client.view.Live(), request)
}

// Crashes implements generation.CrashRecords.
func (s *CrashRecords) Crashes(fingerprint string) int {
	return s.crashes.Count(fingerprint, time.Now())
}

// replicas returns the entries that hold the crash records of the fingerprint.
func (s *CrashRecords) replicas(fingerprint string) []membership.Peer {
	ranked := membership.Rank(s.client.view.Live(), fingerprint)
	return ranked[:min(crashRecordReplicas, len(ranked))]
}

// callAll calls all peers except this entry concurrently, and returns the replies that arrive within
// crashRecordTimeout.
func (s *CrashRecords) callAll(ctx context.Context, peers []membership.Peer, request *SuspectRequest) []*SuspectReply {
	request.ProtocolVersion = protocolVersion
	ctx, cancel := context.WithTimeout(ctx, crashRecordTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []*SuspectReply
	var group sync.WaitGroup
	for _, peer := range peers {
		if peer.Name == s.client.view.Self().Name {
			continue
		}
		group.Go(func() {
			reply, err := s.client.clientFor(peer).Suspect(ctx, request)
			if err != nil {
				return // the replies of the other entries are enough
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	group.Wait()
	return replies
}

// AcquireIsolation implements generation.CrashRecords. If the entry that holds the deployment's slot is
// unreachable, the next entry by rendezvous hash grants the slot.
func (s *CrashRecords) AcquireIsolation(ctx context.Context, deployment, holder string, hold time.Duration) bool {
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
			return s.isolationSlots.Acquire(deployment, holder, now.Add(hold), now)
		}
		reply, err := s.call(ctx, peer, request)
		if err == nil {
			return reply.Granted
		}
	}
	return false
}

// ReleaseIsolation implements generation.CrashRecords.
func (s *CrashRecords) ReleaseIsolation(ctx context.Context, deployment, holder string) {
	s.isolationSlots.Release(deployment, holder)
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
		if _, err := s.call(ctx, peer, request); err == nil {
			return
		}
	}
}

func (s *CrashRecords) call(ctx context.Context, peer membership.Peer, request *SuspectRequest) (*SuspectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, crashRecordTimeout)
	defer cancel()
	return s.client.clientFor(peer).Suspect(ctx, request)
}

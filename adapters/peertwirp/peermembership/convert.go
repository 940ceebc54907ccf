// Package peermembership sends and serves membership probes between entries over Twirp.
package peermembership

import (
	rpc "github.com/azurebarrow/azurebarrow/adapters/peertwirp/membershiprpc"
	"github.com/azurebarrow/azurebarrow/membership"
)

func peerToWire(peer membership.Peer) *rpc.Peer {
	return &rpc.Peer{
		Name:             peer.Name,
		Address:          peer.Address,
		AvailabilityZone: peer.AvailabilityZone,
		Incarnation:      peer.Incarnation,
	}
}

func peerFromWire(peer *rpc.Peer) membership.Peer {
	return membership.Peer{
		Name:             peer.GetName(),
		Address:          peer.GetAddress(),
		AvailabilityZone: peer.GetAvailabilityZone(),
		Incarnation:      peer.GetIncarnation(),
	}
}

func deltasToWire(deltas []membership.Delta) []*rpc.Delta {
	list := make([]*rpc.Delta, len(deltas))
	for i, delta := range deltas {
		list[i] = &rpc.Delta{Peer: peerToWire(delta.Peer), State: rpc.State(delta.State)}
	}
	return list
}

func deltasFromWire(deltas []*rpc.Delta) []membership.Delta {
	list := make([]membership.Delta, 0, len(deltas))
	for _, delta := range deltas {
		state := delta.GetState()
		if state < rpc.State_STATE_ALIVE || state > rpc.State_STATE_LEFT {
			continue // a state of a newer protocol, unknown to this build
		}
		list = append(list, membership.Delta{
			Peer:  peerFromWire(delta.GetPeer()),
			State: membership.State(state),
		})
	}
	return list
}

func noticesToWire(notices []membership.Notice) []*rpc.Notice {
	list := make([]*rpc.Notice, len(notices))
	for i, notice := range notices {
		list[i] = &rpc.Notice{
			Kind:    string(notice.Kind),
			Subject: notice.Subject,
			Version: notice.Version,
			Value:   notice.Value,
		}
	}
	return list
}

func noticesFromWire(notices []*rpc.Notice) []membership.Notice {
	list := make([]membership.Notice, len(notices))
	for i, notice := range notices {
		list[i] = membership.Notice{
			Kind:    membership.NoticeKind(notice.GetKind()),
			Subject: notice.GetSubject(),
			Version: notice.GetVersion(),
			Value:   notice.GetValue(),
		}
	}
	return list
}

func convertFingerprints[To, From ~uint64](list []From) []To {
	converted := make([]To, len(list))
	for i, fingerprint := range list {
		converted[i] = To(fingerprint)
	}
	return converted
}

func messageToWire(message membership.Message) *rpc.Message {
	wire := &rpc.Message{
		Protocol: message.Protocol,
		From:     peerToWire(message.From),
		Deltas:   deltasToWire(message.Deltas),
		Notices:  noticesToWire(message.Notices),
		Dead:     convertFingerprints[uint64](message.Dead),
	}
	if request := message.PageRequest; request != nil {
		wire.PageRequest = &rpc.PageRequest{After: request.After, MaxBytes: int32(request.MaxBytes)}
	}
	if page := message.Page; page != nil {
		wire.Page = &rpc.Page{Deltas: deltasToWire(page.Deltas), Last: page.Last}
	}
	return wire
}

func messageFromWire(wire *rpc.Message) membership.Message {
	message := membership.Message{
		Protocol: wire.GetProtocol(),
		From:     peerFromWire(wire.GetFrom()),
		Deltas:   deltasFromWire(wire.GetDeltas()),
		Notices:  noticesFromWire(wire.GetNotices()),
		Dead:     convertFingerprints[membership.Fingerprint](wire.GetDead()),
	}
	if request := wire.GetPageRequest(); request != nil {
		message.PageRequest = &membership.PageRequest{
			After:    request.GetAfter(),
			MaxBytes: int(request.GetMaxBytes()),
		}
	}
	if page := wire.GetPage(); page != nil {
		message.Page = &membership.Page{Deltas: deltasFromWire(page.GetDeltas()), Last: page.GetLast()}
	}
	return message
}

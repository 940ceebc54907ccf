package peermembership

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/membership"
)

// echoMember answers a probe with the received message. HandleProbe sets the sender's name to "b", and
// HandleProbeVia keeps the peer to probe in probedPeer.
type echoMember struct{ probedPeer membership.Peer }

func (e *echoMember) HandleProbe(_ context.Context, message membership.Message) (membership.Message, error) {
	message.From.Name = "b"
	return message, nil
}

func (e *echoMember) HandleProbeVia(_ context.Context, peer membership.Peer, message membership.Message) (membership.Message, error) {
	e.probedPeer = peer
	return message, nil
}

// TestMessageRoundTrip checks that no field of a message is lost or changed by the conversions.
func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	member := &echoMember{}
	prefix, handler := NewHandler(member)
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := membership.Peer{Name: "b", Address: server.Listener.Addr().String(), AvailabilityZone: "z", Incarnation: 7}
	sent := membership.Message{
		Protocol:    membership.ProtocolVersion,
		From:        membership.Peer{Name: "a", Address: "127.0.0.1:1", AvailabilityZone: "y", Incarnation: 3},
		Deltas:      []membership.Delta{{Peer: peer, State: membership.StateSuspect}},
		Dead:        []membership.Fingerprint{1, 1 << 63},
		Notices:     []membership.Notice{{Kind: membership.NoticeTargetDraining, Subject: "t1", Version: 4, Value: "v"}},
		PageRequest: &membership.PageRequest{After: "x", MaxBytes: 99},
		Page:        &membership.Page{Deltas: []membership.Delta{{Peer: peer, State: membership.StateAlive}}, Last: true},
	}
	prober := NewProber(server.Client())
	got, err := prober.Probe(t.Context(), peer, sent)
	is.NoErr(err)
	want := sent
	want.From.Name = "b"
	is.Equal(got, want)
	got, err = prober.ProbeVia(t.Context(), peer, sent.From, sent)
	is.NoErr(err)
	is.Equal(got, sent)
	is.Equal(member.probedPeer, sent.From)
}

func TestProbeOfClosedPortFails(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	peer := membership.Peer{Name: "b", Address: server.Listener.Addr().String()}
	server.Close()
	_, err := NewProber(http.DefaultClient).Probe(t.Context(), peer, membership.Message{})
	is.True(err != nil)
}

package configpeer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/standin/platform"
)

const validModel = `{"apiVersion":"azurebarrow.dev/v1","kind":"Model","metadata":{"name":"m"},"spec":{"versions":[{"name":"v1"}]}}`

const invalidModel = `{"apiVersion":"azurebarrow.dev/v1","kind":"Model","metadata":{"name":"m"},"spec":{"versions":[]}}`

// startEntry runs a Manager and serves its configuration over HTTP; it returns the Manager and the peer
// at which the other entry reaches it.
func startEntry(t *testing.T, name, platformURL string, view membership.View) (*config.Manager, membership.Peer) {
	client := &http.Client{}
	manager := config.NewManager(config.Options{
		Platform:     platformhttp.New(platformURL, platformhttp.Options{}),
		Peers:        NewClient(client),
		View:         view,
		Registration: config.Registration{Name: name},
	})
	mux := http.NewServeMux()
	mux.Handle(NewHandler(manager))
	server := httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = manager.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.CloseIdleConnections()
		server.Close()
	})
	return manager, membership.Peer{Name: name, Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestEntryFollowsConfigurationOfPeer starts an entry whose platform is unreachable while the platform
// holds an invalid resource. The entry must use the version that its peer accepted, and follow later changes.
func TestEntryFollowsConfigurationOfPeer(t *testing.T) {
	is := is.New(t)
	store := platform.New(platform.DefaultOptions())
	server := httptest.NewServer(store)
	defer server.Close()
	store.Put(v1.KindModel, "m", []byte(validModel))
	first, peer := startEntry(t, "e1", server.URL, nil)
	is.NoErr(first.WaitReady(t.Context()))
	accepted := first.Snapshot().Models["m"].Metadata.Revision
	updates, cancel := first.Subscribe()
	defer cancel()
	<-updates
	store.Put(v1.KindModel, "m", []byte(invalidModel))

	// No platform listens at the second entry's URL: its configuration comes from the first entry.
	self := membership.Peer{Name: "e2"}
	view := membership.Static{This: self, Peers: []membership.Peer{peer, self}}
	second, _ := startEntry(t, "e2", "http://127.0.0.1:1", view)
	is.NoErr(second.WaitReady(t.Context()))
	is.Equal(second.Snapshot().Models["m"].Metadata.Revision, accepted)
	store.Put(v1.KindModel, "m", []byte(validModel))
	for snapshot := range subscribe(t, second) {
		if snapshot.Models["m"].Metadata.Revision > accepted {
			break
		}
	}
	revision, ready, err := NewClient(&http.Client{}).Report(t.Context(), peer)
	is.NoErr(err)
	is.True(ready)
	is.True(revision > accepted)
}

// subscribe returns a channel of the manager's snapshots, which is open until the test ends.
func subscribe(t *testing.T, manager *config.Manager) <-chan *config.Snapshot {
	updates, cancel := manager.Subscribe()
	t.Cleanup(cancel)
	return updates
}

func TestMessageOfNewerProtocolVersionIsRejected(t *testing.T) {
	is := is.New(t)
	server := &Server{manager: config.NewManager(config.Options{})}
	_, err := server.Follow(t.Context(), &FollowRequest{ProtocolVersion: protocolVersion + 1, WaitMs: time.Second.Milliseconds()})
	failed, ok := err.(twirp.Error)
	is.True(ok)
	is.Equal(failed.Code(), twirp.FailedPrecondition)
	is.True(strings.Contains(failed.Msg(), "protocol version 2"))
}

// slowAnswer is an HTTP transport whose answers arrive in pieces that together take transferTime.
type slowAnswer struct {
	body         []byte
	transferTime time.Duration
}

func (a slowAnswer) RoundTrip(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	go func() {
		const pieces = 100
		for i := range pieces {
			if wait.For(request.Context(), a.transferTime/pieces) != nil {
				_ = writer.CloseWithError(request.Context().Err())
				return
			}
			_, _ = writer.Write(a.body[i*len(a.body)/pieces : (i+1)*len(a.body)/pieces])
		}
		_ = writer.Close()
	}()
	header := http.Header{"Content-Type": {"application/protobuf"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: reader, Request: request}, nil
}

// Guards against an answer that is cut while it arrives, and asked for again from the start for ever.
func TestLongAnswerIsNotCutWhileDataArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reply := &FollowReply{Ready: true, Deltas: []*Delta{{Kind: v1.KindModel, Items: []*Item{{Object: &Object{Name: "m", Value: make([]byte, 10_000)}}}}}}
		body, err := proto.Marshal(reply)
		is.NoErr(err)
		// 10,000 targets are 2.4 MB, which take 1.9 s at 1.25 MB/s; here beside as much callers' traffic.
		client := NewClient(&http.Client{Transport: slowAnswer{body, 3800 * time.Millisecond}})
		update, err := client.Follow(t.Context(), membership.Peer{Address: "peer:1"}, nil, 0)
		is.NoErr(err)
		is.Equal(len(update.Deltas), 1)
	})
}

// Guards against a call that hangs unnoticed after the answer has begun, or before.
func TestSilentPeerTimesOut(t *testing.T) {
	for name, pieces := range map[string]int{"before the answer": 0, "within the answer": 50} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := NewClient(&http.Client{Transport: silentAnswer{pieces}})
				start := time.Now()
				const wait = time.Second
				_, err := client.Follow(t.Context(), membership.Peer{Address: "peer:1"}, nil, wait)
				is.True(err != nil)
				is.True(time.Since(start) <= wait+2*callTimeout)
			})
		})
	}
}

// silentAnswer is an HTTP transport whose answers end after a number of pieces, without an end of the body.
type silentAnswer struct{ pieces int }

func (a silentAnswer) RoundTrip(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	go func() {
		for range a.pieces {
			_ = wait.For(request.Context(), 10*time.Millisecond)
			_, _ = writer.Write([]byte("piece"))
		}
		<-request.Context().Done()
		_ = writer.CloseWithError(request.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: reader, Request: request}, nil
}

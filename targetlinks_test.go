package azurebarrow

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/enginehttp"
	"github.com/azurebarrow/azurebarrow/adapters/servicehttp"
	"github.com/azurebarrow/azurebarrow/adapters/targetcall"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/service"
	"github.com/azurebarrow/azurebarrow/standin/linkfault"
)

// startServer serves a handler on loopback and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newCutLinks returns the links of an entry without links to targets, before the peers at the addresses.
func newCutLinks(t *testing.T, targets []string, peers ...string) *targetLinks {
	t.Helper()
	links := linkfault.New()
	links.Apply(linkfault.Refuse)
	return newModelLinks(links.Dial, targets, peers...)
}

func newModelLinks(dial func(ctx context.Context, network, address string) (net.Conn, error), targets []string, peers ...string) *targetLinks {
	view := membership.Static{This: membership.Peer{Name: "self"}}
	view.Peers = append(view.Peers, view.This)
	for _, address := range peers {
		view.Peers = append(view.Peers, membership.Peer{Name: address, Address: address})
	}
	return newTargetLinks(linkOptions{
		name: "self", view: view, dial: dial, draining: func() bool { return false }, log: func(string, ...generation.Field) {},
		targets: func() []*directory.Target {
			var known []*directory.Target
			for _, address := range targets {
				known = append(known, &directory.Target{ID: address, Address: address})
			}
			return known
		},
	})
}

// startHelper starts a peer with sound links.
func startHelper(t *testing.T, targets ...string) string {
	t.Helper()
	mux := http.NewServeMux()
	newModelLinks(nil, targets).mount(mux)
	return startServer(t, mux)
}

func onceRequest() service.Request {
	return service.Request{Method: http.MethodPost, Path: "/weighings", Body: []byte("412 kg"), RequestKey: "k1", Once: true}
}

// Guards against a peer of a former build, which knows no exchanges, being taken for one that sent the call, or for proof
// that the target is down.
func TestPeersOfAFormerBuildAreToldFromHelpers(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	target := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	former := func() string { return startServer(t, http.NewServeMux()) }
	call := func(links *targetLinks) error {
		transport := servicehttp.New(servicehttp.Options{Send: links.send})
		_, err := transport.Do(t.Context(), service.Target{Address: target}, onceRequest())
		return err
	}
	mixed := newCutLinks(t, []string{target}, former(), former(), former(), startHelper(t, target))
	for range 10 {
		is.NoErr(call(mixed))
	}
	is.Equal(runs.Load(), int64(10))

	all := newCutLinks(t, []string{target, "127.0.0.1:1"}, former(), former())
	var notSent *service.NotSentError
	is.True(errors.As(call(all), &notSent))
	is.True(!all.isDown(target)) // neither this entry nor a peer knows
	is.Equal(runs.Load(), int64(10))
}

// Guards against a second send, through another peer, of a call that a peer may have sent when it died.
func TestCallIsNotSentAgainWhenItsPeerDies(t *testing.T) {
	is := is.New(t)
	var runs, deaths atomic.Int64
	target := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	dying := func() string {
		mux := http.NewServeMux()
		newModelLinks(nil, []string{target}).mount(mux)
		return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/target-exchanges" {
				mux.ServeHTTP(w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			deaths.Add(1)
			panic(http.ErrAbortHandler)
		}))
	}
	links := newCutLinks(t, []string{target}, dying(), dying(), dying())
	_, err := servicehttp.New(servicehttp.Options{Send: links.send}).Do(t.Context(), service.Target{Address: target}, onceRequest())
	is.True(err != nil)
	var notSent *service.NotSentError
	is.True(!errors.As(err, &notSent)) // unknown
	is.Equal(deaths.Load(), int64(1))
	is.Equal(runs.Load(), int64(0))
}

// Guards against streams that arrive through a peer only at their end, and against engines that work on for a stream which
// was closed or cancelled through a peer.
func TestStreamAndCancelPassThroughAPeer(t *testing.T) {
	is := is.New(t)
	closed, cancelled := make(chan struct{}), make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `data: {"requestId":"g","attempt":1,"index":0,"token":"a"}`+"\n\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(closed)
	})
	mux.HandleFunc("DELETE /v1/streams/g/1", func(http.ResponseWriter, *http.Request) { cancelled <- struct{}{} })
	address := startServer(t, mux)
	links := newCutLinks(t, []string{address}, startHelper(t, address))
	engines := enginehttp.New(enginehttp.Options{Send: links.send})
	target := &v1.Target{Spec: v1.TargetSpec{Address: address}}
	id := generation.StreamID{Generation: "g", Attempt: 1}
	stream, err := engines.Generate(t.Context(), target, generation.StreamRequest{ID: id})
	is.NoErr(err)
	event, err := stream.Recv() // while the engine keeps the stream open
	is.NoErr(err)
	is.Equal(event.Token.Text, "a")
	stream.Close()
	<-closed
	is.NoErr(engines.Cancel(t.Context(), target, id))
	<-cancelled
	is.Equal(links.router.DetouredCount(), int64(2))
}

// crashLog counts recorded crashes.
type crashLog struct {
	service.CrashRecords
	recorded chan string
}

func (l crashLog) RecordCrash(work health.Work, target health.CrashedTarget) {
	l.recorded <- target.Address
}

// Guards against crashes that an entry records because it has lost its own links, and against crashes that are missed.
func TestOnlyTargetsThatPeersDoNotReachAreRecordedAsCrashed(t *testing.T) {
	is := is.New(t)
	running := startServer(t, http.NewServeMux())
	gone := freeAddress(t)
	helpers := []string{startHelper(t, running, gone), startHelper(t, running, gone), startHelper(t, running, gone)}
	links := newCutLinks(t, []string{running, gone}, helpers...)
	log := crashLog{recorded: make(chan string, 2)}
	calls := callCrashes{log, links}
	calls.RecordCrash(health.Work{}, health.CrashedTarget{ID: "s1", Address: running})
	time.Sleep(200 * time.Millisecond)
	calls.RecordCrash(health.Work{}, health.CrashedTarget{ID: "s2", Address: gone})
	is.Equal(<-log.recorded, gone)
	is.Equal(len(log.recorded), 0)
	is.True(!links.isDown(running))
}

// Guards against an entry that stops while it sends a request for a peer, and against one that takes more of them then.
func TestDrainWaitsForRequestsOfPeers(t *testing.T) {
	is := is.New(t)
	began, finish := make(chan struct{}), make(chan struct{})
	target := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-finish
	}))
	helper := newModelLinks(nil, []string{target})
	var draining atomic.Bool
	helper.options.draining = draining.Load
	mux := http.NewServeMux()
	helper.mount(mux)
	transport := servicehttp.New(servicehttp.Options{Send: newCutLinks(t, []string{target}, startServer(t, mux)).send})
	answered := make(chan error, 1)
	go func() {
		_, err := transport.Do(t.Context(), service.Target{Address: target}, onceRequest())
		answered <- err
	}()
	<-began
	draining.Store(true)
	_, err := transport.Do(t.Context(), service.Target{Address: target}, onceRequest())
	var notSent *service.NotSentError
	is.True(errors.As(err, &notSent))
	drained := make(chan struct{})
	go func() { helper.drain(); close(drained) }()
	select {
	case <-drained:
		t.Error("drained while a request was in progress")
	case <-time.After(5 * helpedPollInterval):
	}
	close(finish)
	is.NoErr(<-answered)
	<-drained
}

// Guards against calls that a cut link holds up until after their target has left: the link returns, and the kernel sends them.
func TestNativeCallHeldUpOnACutLinkIsGivenUpWhenItsTargetLeaves(t *testing.T) {
	is := is.New(t)
	const bound = 2 * time.Second // in which all entries stop sending to a target that leaves
	conns := make(chan net.Conn, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(targetcall.IDHeader, r.Header.Get(targetcall.IDHeader))
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			conns <- conn
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	target := server.Listener.Addr().String()
	links := newModelLinks(nil, []string{target})
	links.options.workAddresses = func() map[string]bool { return nil }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = links.giveUpHeldUp(ctx) }()
	transport := servicehttp.New(servicehttp.Options{Send: links.send})
	_, err := transport.Do(ctx, service.Target{Address: target}, onceRequest())
	is.NoErr(err)
	is.NoErr(linkfault.Drop(<-conns))
	time.Sleep(20 * time.Millisecond) // the connection is idle at its other end
	began := time.Now()
	_, err = transport.Do(ctx, service.Target{Address: target}, onceRequest())
	is.True(errors.Is(err, targethttp.ErrHeldUp))
	is.True(time.Since(began) < bound)
}

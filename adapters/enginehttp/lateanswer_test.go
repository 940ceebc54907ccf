package enginehttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/generation"
)

// callIDHeader is the field by which an engine's answer names its call.
const callIDHeader = "Azurebarrow-Call-Id"

// settleTime lets what follows an answer arrive, and the goroutine that wrote the request end.
const settleTime = 10 * time.Millisecond

// repeatingEngine refuses the first call of each connection and accepts the others. If it is faulty, it writes its answer to the
// call before once more at first.
type repeatingEngine struct {
	conns atomic.Int64
	// refusal is the status and body of the first answer of a connection, named tells whether answers name their calls.
	refusal string
	named   bool
	faulty  bool
}

func (s *repeatingEngine) start(t *testing.T) *v1.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, s.conns.Add(1))
		}
	}()
	return &v1.Target{Metadata: v1.Metadata{Name: "t1"}, Spec: v1.TargetSpec{Address: listener.Addr().String()}}
}

func (s *repeatingEngine) serve(conn net.Conn, number int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	former := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		name := ""
		if s.named {
			name = callIDHeader + ": " + request.Header.Get(callIDHeader) + "\r\n"
		}
		if s.faulty {
			_, _ = io.WriteString(conn, former)
		}
		status, body, _ := strings.Cut(s.refusal, " ")
		if former != "" || number > 1 {
			status, body = "200", "data: {\"requestId\":\"g2\",\"attempt\":1,\"index\":0,\"finish\":\"stop\"}\n\n"
		}
		former = fmt.Sprintf("HTTP/1.1 %s x\r\n%sContent-Length: %d\r\n\r\n%s", status, name, len(body), body)
		_, _ = io.WriteString(conn, former)
	}
}

// engineCalls are the calls that a late answer could be taken for.
var engineCalls = map[string]func(context.Context, *Engine, *v1.Target) (generation.Stream, error){
	"generate": func(ctx context.Context, e *Engine, target *v1.Target) (generation.Stream, error) {
		return e.Generate(ctx, target, generation.StreamRequest{ID: generation.StreamID{Generation: "g2", Attempt: 1}})
	},
	"attach": func(ctx context.Context, e *Engine, target *v1.Target) (generation.Stream, error) {
		return e.Attach(ctx, target, generation.StreamID{Generation: "g2", Attempt: 1}, 0)
	},
	"cancel": func(ctx context.Context, e *Engine, target *v1.Target) (generation.Stream, error) {
		return nil, e.Cancel(ctx, target, generation.StreamID{Generation: "g2", Attempt: 1})
	},
}

// Guards against an earlier refusal that an engine writes once more: the next generation on the connection was taken for refused,
// and ran at a second engine, while this one ran it.
func TestLateRefusalIsNotTakenForThatOfTheNextCall(t *testing.T) {
	for _, refusal := range []string{`503 {"code":"overloaded"}`, `503 {"code":"leaving"}`, `404 {"code":"not-loaded"}`, `404 {"code":"unknown-stream"}`} {
		for _, named := range []bool{true, false} {
			for name, call := range engineCalls {
				t.Run(fmt.Sprintf("%s/named=%v/%s", refusal, named, name), func(t *testing.T) {
					is := is.New(t)
					target := (&repeatingEngine{refusal: refusal, named: named, faulty: true}).start(t)
					draining := 0
					engine := New(Options{ObserveDraining: func(string) { draining++ }})
					_, err := engine.Generate(t.Context(), target, generation.StreamRequest{})
					is.True(err != nil) // refused
					drainingBefore := draining
					time.Sleep(settleTime)
					stream, err := call(t.Context(), engine, target)
					is.NoErr(err)
					is.Equal(draining, drainingBefore)
					if stream == nil {
						return
					}
					defer stream.Close()
					event, err := stream.Recv()
					is.NoErr(err)
					is.Equal(event.ID.Generation, "g2")
				})
			}
		}
	}
}

func TestConnectionsAreKeptOnlyToEnginesThatNameCalls(t *testing.T) {
	for named, want := range map[bool]int64{true: 1, false: 2} {
		t.Run(fmt.Sprintf("named=%v", named), func(t *testing.T) {
			is := is.New(t)
			server := &repeatingEngine{refusal: `503 {"code":"overloaded"}`, named: named}
			target := server.start(t)
			engine := New(Options{})
			_, err := engine.Generate(t.Context(), target, generation.StreamRequest{})
			is.True(errors.Is(err, generation.ErrRefused))
			time.Sleep(settleTime)
			stream, err := engineCalls["generate"](t.Context(), engine, target)
			is.NoErr(err)
			defer stream.Close()
			_, err = stream.Recv()
			is.NoErr(err)
			is.Equal(server.conns.Load(), want)
		})
	}
}

package targethttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/linkfault"
)

const (
	// giveUpAfter is the time after which the tests give a request up, returnsAfter that after which the link then returns.
	giveUpAfter, returnsAfter = 100 * time.Millisecond, 300 * time.Millisecond
	// retransmissionTime is longer than the pause between two retransmissions of what was held up for that long.
	retransmissionTime = 2 * time.Second
)

// linkedTarget is a target at the end of a link that the test cuts.
type linkedTarget struct {
	*scriptedTarget
	conns    chan net.Conn
	requests chan string
}

// newLinkedTarget returns a target that answers the requests "first" and reports all of them.
func newLinkedTarget(t *testing.T) *linkedTarget {
	t.Helper()
	linked := &linkedTarget{conns: make(chan net.Conn, 16), requests: make(chan string, 16)}
	linked.scriptedTarget = newScriptedTarget(t, func(_ *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
		linked.conns <- conn
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			id := request.Header.Get("X-Request-Id")
			linked.requests <- id
			if id == "first" {
				_, _ = io.WriteString(conn, answerText(id, "ok"))
			}
		}
	})
	return linked
}

// Guards against requests that reach a target seconds after they were given up: the kernel sends again what a cut link held up.
func TestRequestGivenUpOverACutLinkNeverReachesItsTarget(t *testing.T) {
	for _, bodyBytes := range []int{4, 64 << 10} {
		t.Run(strconv.Itoa(bodyBytes), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target, p := newLinkedTarget(t), NewPool(Options{})
			_, err := exchangeBody(t, p, target.address(), newTestRequest("first"))
			is.NoErr(err)
			is.Equal(<-target.requests, "first")
			waitForIdleConn(t, p)
			conn := <-target.conns
			is.NoErr(linkfault.Drop(conn))
			ctx, cancel := context.WithTimeout(t.Context(), giveUpAfter)
			defer cancel()
			request := newTestRequest("second")
			request.Body = make([]byte, bodyBytes)
			_, err = p.Do(ctx, "key", target.address(), request)
			is.True(err != nil)
			is.Equal(p.UnacknowledgedCount(), int64(1))
			time.Sleep(returnsAfter)
			is.NoErr(linkfault.Restore(conn))
			select {
			case id := <-target.requests:
				t.Fatalf("%s reached the target after it was given up", id)
			case <-time.After(retransmissionTime):
			}
		})
	}
}

// Guards against targets that keep running an abandoned request: they learn of its end, also over a link that was cut
// as it was given up.
func TestTargetLearnsOfTheEndOfARequestThatReachedIt(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	conns, requests := make(chan net.Conn, 1), make(chan struct{}, 1)
	target := newScriptedTarget(t, func(target *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
		if _, ok := target.read(reader); ok {
			conns <- conn
			requests <- struct{}{}
			_, _ = reader.ReadByte()
			close(ended)
		}
	})
	p := NewPool(Options{})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := p.Do(ctx, "key", target.address(), newTestRequest("1"))
		failed <- err
	}()
	conn := <-conns
	<-requests
	time.Sleep(giveUpAfter) // the request is acknowledged
	is.NoErr(linkfault.Drop(conn))
	cancel()
	is.True(<-failed != nil)
	is.Equal(p.UnacknowledgedCount(), int64(0))
	time.Sleep(returnsAfter)
	is.NoErr(linkfault.Restore(conn))
	select {
	case <-ended:
	case <-time.After(retransmissionTime):
		t.Fatal("the target keeps running the abandoned request")
	}
}

// checkHeldUp calls GiveUpHeldUp, for targets that all leave, as an entry does, for a while.
func checkHeldUp(p *Pool, lasts time.Duration) {
	const interval = 50 * time.Millisecond
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(interval) {
		p.GiveUpHeldUp(func(string) bool { return false }, time.Now())
	}
}

// Guards against requests that are cut off at a target that leaves, while it works on them or its link is slow.
func TestRequestsThatReachALeavingTargetAreNotGivenUp(t *testing.T) {
	const works, bodyBytes = 2 * heldUpLimit, 8 << 20
	for _, slowLink := range []bool{true, false} {
		t.Run(map[bool]string{true: "the link is slow", false: "the target works long"}[slowLink], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := newScriptedTarget(t, func(target *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if slowLink {
					for range bodyBytes >> 18 {
						_, _ = io.CopyN(io.Discard, request.Body, 1<<18)
						time.Sleep(works * (1 << 18) / bodyBytes)
					}
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if !slowLink {
					time.Sleep(works)
				}
				_, _ = io.WriteString(conn, answerText("1", "ok"))
			})
			p := NewPool(Options{})
			go checkHeldUp(p, 2*works)
			request := newTestRequest("1")
			if slowLink {
				request.Body = make([]byte, bodyBytes)
			}
			body, err := exchangeBody(t, p, target.address(), request)
			is.NoErr(err)
			is.Equal(body, "ok")
		})
	}
}

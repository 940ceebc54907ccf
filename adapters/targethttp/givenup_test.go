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

// newLinkedTarget returns a target that answers the requests "first" and tells of all.
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

// Guards against targets that work on for nobody: they learn of the end of a request that reached them, also over a link that was cut
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
		t.Fatal("the target works on for nobody")
	}
}

package peerexchange

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
)

// Guards against an answer that its target broke off, in its head or body, and that looks whole through a peer, or as if nothing had
// run.
func TestAnswerCutAfterEachByteIsNoAnswerThroughAPeer(t *testing.T) {
	const head = "X-Request-Id: r1\r\nX-Response-Signature: s\r\n"
	answers := []struct {
		name, answer string
		// endsWithConnection reports that the body ends with the connection: it can be cut off by a reset only.
		endsWithConnection bool
	}{
		{"with a length", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 5\r\n\r\nhello", false},
		{"in chunks", "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 5\r\n\r\nhello", false},
		{"without a length", "HTTP/1.1 200 OK\r\n" + head + "\r\nhello", true},
		{"a failure", "HTTP/1.1 500 Oops\r\n" + head + "Content-Length: 2\r\n\r\nno", false},
	}
	peer := newPeer(t)
	for _, each := range answers {
		end := len(each.answer)
		if each.endsWithConnection {
			end = strings.Index(each.answer, "\r\n\r\n") + len("\r\n\r\n")
		}
		for cut := range end {
			t.Run(fmt.Sprintf("%s/%d", each.name, cut), func(t *testing.T) {
				is := is.New(t)
				target, _ := newRawTarget(t, each.answer[:cut], false)
				answer, err := newClient().Do(t.Context(), peer, target, time.Second, request("POST"))
				if err != nil {
					var notSent *NotSentError
					is.True(!errors.As(err, &notSent)) // the target may have run it
					is.True(targethttp.IsConnectionLost(err))
					return
				}
				_, err = io.ReadAll(answer.Body)
				answer.Close()
				is.True(err != nil && targethttp.IsConnectionLost(err))
			})
		}
	}
}

package service

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/idempotency"
)

// crashingTransport loses the connection of each call with badPath, whose target crashes; the others are answered.
type crashingTransport struct{ sends chan string }

const badPath = "/bad"

func (c *crashingTransport) Do(_ context.Context, target Target, request Request) (idempotency.Answer, error) {
	if request.Path != badPath {
		return idempotency.Answer{Status: 200}, nil
	}
	c.sends <- target.Name
	return idempotency.Answer{}, io.ErrUnexpectedEOF
}

// Guards against calls of the native interface that crash target after target, whatever their class.
func TestCallOfAnyClassThatCrashesTargetsIsRefused(t *testing.T) {
	// A refused call may be tried again a few times; the users' bound is three.
	const maxSends = 3 + 3
	for _, class := range []v1.CallClass{v1.ClassInteractive, v1.ClassIdempotent, v1.ClassAtMostOnce} {
		t.Run(string(class), func(t *testing.T) {
			transport := &crashingTransport{sends: make(chan string, 1000)}
			withFixture(t, threeTargets(), func(is *is.I, w *fixture) {
				w.executor.options.Transport = transport
				for i := range 40 {
					call := Call{
						Customer: "c", Key: fmt.Sprint("k", i), Deployment: "records", Class: class,
						Method: "POST", Path: badPath, Timeout: time.Second,
					}
					result := w.executor.Do(context.Background(), call)
					is.True(result.Answer == nil)
				}
				time.Sleep(time.Minute) // the breakers let targets be tried again
				sound := Call{Customer: "c", Key: "sound", Deployment: "records", Class: class, Method: "POST", Path: "/good", Timeout: time.Second}
				is.Equal(w.executor.Do(context.Background(), sound).Outcome, OutcomeAnswered)
			})
			is := is.New(t)
			t.Logf("%d sends", len(transport.sends))
			is.True(len(transport.sends) <= maxSends)
		})
	}
}

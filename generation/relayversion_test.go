package generation

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// newVersionFixture is a relayFixture whose targets have the versions, in the order a, b, c.
func newVersionFixture(versions []string, scripts map[string][]script) *relayFixture {
	f := newRelayFixture(scripts)
	for i, version := range versions {
		f.openTargets[i].Version = version
	}
	return f
}

// Guards against a stream that goes on, in one answer, at an engine of another software version.
func TestBrokenStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v1", "v2"}, map[string][]script{
			"a": {{events: []int64{1, 2}, end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{3, 4}, end: io.EOF}},
			"c": {{events: []int64{3, 4}, end: io.EOF}},
		})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(len(f.engine.attempts), 2)
		is.Equal(f.engine.attempts[1].Target.ID, "b")
		is.Equal(f.engine.attempts[0].Backup.ID, "b") // no copy at an engine that can't use it
	})
}

// Guards against a stream that is joined because no engine of its version is left.
func TestStreamEndsWhenNoEngineOfItsVersionIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v2", "v2"}, map[string][]script{
			"a": {{events: []int64{1, 2}, end: io.ErrUnexpectedEOF}, {refuse: &RelayRefusedError{Unreachable: true, Cause: errors.New("refused")}}},
			"b": {{events: []int64{3, 4}, end: io.EOF}},
			"c": {{events: []int64{3, 4}, end: io.EOF}},
		})
		is.Equal(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), ErrRelayBroken)
		for _, attempt := range f.engine.attempts {
			is.Equal(attempt.Target.ID, "a")
		}
	})
}

// Guards against a request without an event that is held to the version of an engine that sent nothing.
func TestStreamWithoutAnEventMayBeginAtAnyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v2", "v2"}, map[string][]script{
			"a": {{end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{1, 2}, end: io.EOF}},
		})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(f.engine.attempts[1].Target.ID, "b")
	})
}

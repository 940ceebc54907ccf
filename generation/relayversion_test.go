package generation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
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
		gone := script{refuse: &RelayRefusedError{Unreachable: true, Cause: errors.New("refused")}}
		f := newVersionFixture([]string{"v1", "v1", "v2"}, map[string][]script{
			"a": {{events: []int64{1, 2}, end: io.ErrUnexpectedEOF}, gone},
			"b": {gone, gone},
			"c": {{events: []int64{3, 4}, end: io.EOF}},
		})
		is.Equal(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}), ErrRelayBroken)
		for _, attempt := range f.engine.attempts {
			is.Equal(attempt.Target.Version, "v1")
		}
	})
}

// Guards against a request without an event that is held to the version of an engine that sent nothing.
func TestStreamWithoutAnEventMayBeginAtAnyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v1", "v2"}, map[string][]script{
			"a": {{end: io.ErrUnexpectedEOF}},
			"b": {{end: io.ErrUnexpectedEOF}},
			"c": {{events: []int64{1, 2}, end: io.EOF}},
		})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(f.engine.attempts[2].Target.ID, "c")
	})
}

// fakeVersions is StreamVersions with fixed answers. It counts what is shared.
type fakeVersions struct {
	found  map[string]string
	shared []string
	// formerVersions are versions that served before the entry started.
	formerVersions []string
	ended          []string
}

func (f *fakeVersions) ConfirmOnlyVersion(context.Context, *RelayRequest, string) bool { return true }
func (f *fakeVersions) IsOnlyVersion(_, version string) bool {
	return !slices.ContainsFunc(f.formerVersions, func(former string) bool { return former != version })
}

func (f *fakeVersions) EndStream(request *RelayRequest, complete bool) {
	f.ended = append(f.ended, fmt.Sprint(request.ID, " ", complete))
}

func (f *fakeVersions) ShareVersion(_ context.Context, request *RelayRequest, version string) int {
	f.shared = append(f.shared, request.ID+" "+version)
	return 2
}

func (f *fakeVersions) FindVersion(_ context.Context, request *RelayRequest) (string, bool) {
	version, found := f.found[request.Resumes]
	return version, found
}

// Guards against streams that a caller takes up at an engine of another version, and against their refusal where it
// doesn't matter.
func TestTakenUpStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	for _, each := range []struct {
		name     string
		versions []string
		resumes  string
		target   string
		refused  bool
	}{
		{"known", []string{"v1", "v2", "v1"}, "first", "b", false},
		{"nobody knows", []string{"v1", "v2", "v1"}, "lost", "", true},
		{"the caller names none", []string{"v1", "v2", "v1"}, "", "", true},
		{"nobody knows, but one version serves", []string{"v1", "v1", "v1"}, "lost", "a", false},
		{"no engine of the version is left", []string{"v1", "v3", "v1"}, "first", "", true},
		{"engines without a version", []string{"v1", "", "v1"}, "unnamed", "", true},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				goesOn := []script{{events: []int64{8, 9}, end: io.EOF}}
				f := newVersionFixture(each.versions, map[string][]script{"a": goesOn, "b": goesOn, "c": goesOn})
				f.relay.options.Versions = &fakeVersions{found: map[string]string{"first": "v2", "unnamed": ""}}
				request := relayRequest()
				request.LastEvent, request.Resumes = 7, each.resumes
				err := f.relay.Run(t.Context(), request, &recordingSink{})
				if each.refused {
					var givenUp *GivenUpError
					is.True(errors.As(err, &givenUp))
					is.True(!givenUp.MayHaveRun && givenUp.RetryAfter > 0)
					is.Equal(len(f.engine.attempts), 0)
					return
				}
				is.NoErr(err)
				is.Equal(f.engine.attempts[0].Target.ID, each.target)
			})
		})
	}
}

// Guards against streams whose version nobody else knows since only one served when they began, and against sharing it
// while one serves.
func TestVersionIsSharedOnceASecondOneServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v1", "v1"}, map[string][]script{"a": {{events: eventsUpTo(40), pause: 100 * time.Millisecond, end: io.EOF}}})
		versions := &fakeVersions{}
		f.relay.options.Versions = versions
		time.AfterFunc(2*time.Second, func() {
			is.Equal(len(versions.shared), 0)
			f.mu.Lock()
			defer f.mu.Unlock()
			second := *f.openTargets[2]
			second.Version = "v2"
			f.openTargets = append(slices.Clone(f.openTargets[:2]), &second)
		})
		is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
		is.Equal(versions.shared, []string{"r v1"})
	})
}

// Guards against an engine that started again under its ID with another version after the attempt was sent to it.
func TestStreamLeavesAnEngineThatChangedItsVersionUnderItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v1", "v2"}, map[string][]script{
			"a": {{events: []int64{1, 2}, end: io.ErrUnexpectedEOF}},
			"b": {{events: []int64{3, 4}, pause: 200 * time.Millisecond, end: io.EOF}},
		})
		time.AfterFunc(100*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			again := *f.openTargets[1]
			again.Version, again.StartedMs = "v2", 9
			f.openTargets = []*directory.Target{f.openTargets[0], &again, f.openTargets[2]}
		})
		sink := &recordingSink{}
		is.Equal(f.relay.Run(t.Context(), relayRequest(), sink), ErrRelayBroken)
		is.Equal(sink.events, []int64{1, 2})
	})
}

// Guards against streams that begin at the only engine of a version and can't go on once it is lost.
func TestNewStreamsBeginAtAVersionWithSeveralEngines(t *testing.T) {
	for _, each := range []struct {
		versions []string
		target   string
	}{
		{[]string{"v1", "v2", "v2"}, "b"},
		{[]string{"v2", "v1", "v2"}, "a"},
		{[]string{"v1", "v2", "v3"}, "a"}, // each version has one: any is as good
		{[]string{"v1", "v1", "v1"}, "a"},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			whole := []script{{events: []int64{1, 2}, end: io.EOF}}
			f := newVersionFixture(each.versions, map[string][]script{"a": whole, "b": whole, "c": whole})
			is.NoErr(f.relay.Run(t.Context(), relayRequest(), &recordingSink{}))
			is.Equal(f.engine.attempts[0].Target.ID, each.target)
		})
	}
}

// Guards against a stream that an entry which has just started sends to the only version that it sees, although another one
// served before, or may have.
func TestTakenUpStreamOfUnknownVersionIsRefusedIfAnotherVersionServedBefore(t *testing.T) {
	for _, each := range []struct {
		former  []string
		refused bool
	}{{nil, false}, {[]string{"v2"}, false}, {[]string{"v1", "v2"}, true}, {[]string{"v1"}, true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			goesOn := []script{{events: []int64{8, 9}, end: io.EOF}}
			f := newVersionFixture([]string{"v2", "v2", "v2"}, map[string][]script{"a": goesOn})
			f.relay.options.Versions = &fakeVersions{formerVersions: each.former}
			request := relayRequest()
			request.LastEvent, request.Resumes = 7, "lost"
			err := f.relay.Run(t.Context(), request, &recordingSink{})
			var givenUp *GivenUpError
			is.Equal(errors.As(err, &givenUp), each.refused)
			is.True(!each.refused || !givenUp.MayHaveRun && givenUp.RetryAfter > 0)
			is.Equal(len(f.engine.attempts) == 0, each.refused)
		})
	}
}

// engineWithHook calls a function before each attempt.
type engineWithHook struct {
	*scriptedEngine
	beforeOpen func()
}

func (e engineWithHook) Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
	e.beforeOpen()
	return e.scriptedEngine.Open(ctx, attempt)
}

// Guards against a stream that began while one version served and goes on at one that came since its caller took it up.
func TestTakenUpStreamIsBoundToTheOnlyVersionThatEverServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v1", "v1"}, map[string][]script{
			"a": {{refuse: &RelayRefusedError{Cause: errors.New("full")}}},
			"b": {{events: []int64{8, 9}, end: io.EOF}},
			"c": {{events: []int64{8, 9}, end: io.EOF}},
		})
		f.relay.options.Versions = &fakeVersions{}
		f.relay.options.Engine = engineWithHook{f.engine, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			newer := *f.openTargets[1]
			newer.Version = "v2"
			f.openTargets = []*directory.Target{f.openTargets[0], &newer, f.openTargets[2]}
		}}
		request := relayRequest()
		request.LastEvent, request.Resumes = 7, "lost"
		is.NoErr(f.relay.Run(t.Context(), request, &recordingSink{}))
		is.Equal(f.engine.attempts[1].Target.ID, "c")
	})
}

// Guards against streams whose version is known no longer, since they run for longer than records are held, and against records
// that are kept of complete streams.
func TestVersionOfALongStreamIsSharedAgainAndItsEndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newVersionFixture([]string{"v1", "v1", "v2"}, map[string][]script{"a": {{events: eventsUpTo(1300), pause: 100 * time.Millisecond, end: io.EOF}}})
		versions := &fakeVersions{}
		f.relay.options.Versions = versions
		request := relayRequest()
		request.Deadline = time.Now().Add(10 * time.Minute)
		is.NoErr(f.relay.Run(t.Context(), request, &recordingSink{}))
		is.Equal(versions.shared, []string{"r v1", "r v1", "r v1"}) // at 0 s, 60 s and 120 s of 130 s
		is.Equal(versions.ended, []string{"r true"})
	})
}

// Guards against a stream that is resumed at an engine which replaced another and has not registered: it may run other software.
func TestStreamCrossesUnregisteredEnginesOnlyOnceTheirVersionIsKnown(t *testing.T) {
	broken := io.ErrUnexpectedEOF
	begun := func(events ...int64) []script {
		return []script{{events: events, pause: 50 * time.Millisecond, end: broken}}
	}
	whole := func(events ...int64) []script { return []script{{events: events, end: io.EOF}} }
	for _, each := range []struct {
		name     string
		versions []string
		scripts  map[string][]script
		// registersAs is the version under which c registers after a second; empty if it never does.
		registersAs string
		beginsAtC   bool
		events      []int64
		err         error
	}{
		{"v1 waits for c", []string{"v1", "v2", ""}, map[string][]script{"a": begun(1, 2), "b": whole(3, 4), "c": whole(3, 4)}, "v1", false, []int64{1, 2, 3, 4}, nil},
		{"c turns out to be v2", []string{"v1", "v2", ""}, map[string][]script{"a": begun(1, 2), "b": whole(3, 4), "c": whole(3, 4)}, "v2", false, []int64{1, 2}, ErrRelayBroken},
		{"c never registers", []string{"v1", "v2", ""}, map[string][]script{"a": begun(1, 2), "b": whole(3, 4), "c": whole(3, 4)}, "", false, []int64{1, 2}, ErrRelayBroken},
		{"began at c, goes on there", []string{"v1", "v1", ""}, map[string][]script{"c": {{events: []int64{1, 2}, end: broken}, {events: []int64{3, 4}, end: io.EOF}}, "b": whole(3, 4)}, "", true, []int64{1, 2, 3, 4}, nil},
		{"began at c, which registers as v1", []string{"v1", "v1", ""}, map[string][]script{"c": {{events: []int64{1, 2}, pause: 400 * time.Millisecond, end: broken}}, "a": whole(3, 4), "b": whole(3, 4)}, "v1", true, []int64{1, 2, 3, 4}, nil},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newVersionFixture(each.versions, each.scripts)
				c := f.openTargets[2]
				c.Provisional, c.StartUnknown, c.Version = true, true, "unregistered/c"
				if each.beginsAtC {
					f.openTargets = []*directory.Target{c, f.openTargets[0], f.openTargets[1]}
				} else {
					defer time.AfterFunc(120*time.Millisecond, func() { // a ends
						f.mu.Lock()
						defer f.mu.Unlock()
						f.openTargets = slices.Clone(f.openTargets[1:])
					}).Stop()
				}
				timer := time.AfterFunc(time.Second, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					if each.registersAs == "" {
						return
					}
					registered := *c
					registered.Provisional, registered.StartUnknown, registered.Version, registered.StartedMs = false, false, each.registersAs, 9
					f.openTargets = slices.Clone(f.openTargets)
					f.openTargets[slices.Index(f.openTargets, c)] = &registered
				})
				defer timer.Stop()
				sink := &recordingSink{}
				err := f.relay.Run(t.Context(), relayRequest(), sink)
				is.Equal(err, each.err)
				is.Equal(sink.events, each.events)
			})
		})
	}
}

// anyVersion is the choice of versions of a request that may go to any.
type anyVersion struct{}

func (anyVersion) Allows(string) bool { return true }
func (anyVersion) FallBack() bool     { return false }

// Guards against KV cache copies of streams of the old version at engines of the new one during a rollout, which would get more work than
// its share allows: at the backup that the attempt is sent with, at an engine that takes a lost backup's place, also under its
// address, and when an engine of the old version restarts.
func TestStreamsMakeNoCopiesAtAnotherVersion(t *testing.T) {
	for _, newEngines := range []int{1, 2, 5} {
		for _, comesBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d new engines, an old one comes back: %v", newEngines, comesBack), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newVersionFixture([]string{"v1", "v1", "v2"}, map[string][]script{"a": {{events: eventsUpTo(80), pause: 50 * time.Millisecond, end: io.EOF}}})
					for i := range newEngines - 1 {
						f.openTargets = append(f.openTargets, &directory.Target{ID: fmt.Sprint("new", i), Address: fmt.Sprint("new", i, ":1"), Version: "v2"})
					}
					backup := f.openTargets[1]
					replace := func(with ...*directory.Target) {
						f.mu.Lock()
						defer f.mu.Unlock()
						f.openTargets = append([]*directory.Target{f.openTargets[0]}, append(with, f.openTargets[2:]...)...)
					}
					time.AfterFunc(300*time.Millisecond, func() {
						replace(&directory.Target{ID: "b2", Address: backup.Address, Version: "v2", FirstSeen: time.Now()})
					})
					if comesBack {
						time.AfterFunc(1500*time.Millisecond, func() {
							replace(&directory.Target{ID: "b3", Address: "b3:1", Version: "v1", FirstSeen: time.Now()})
						})
					}
					request := relayRequest()
					request.Versions = anyVersion{}
					is.NoErr(f.relay.Run(t.Context(), request, &recordingSink{}))
					is.Equal(f.engine.attempts[0].Backup.ID, "b")
					is.Equal(len(f.engine.copyHolders) > 0, comesBack)
					for _, holder := range f.engine.copyHolders {
						is.Equal(holder.Version, "v1")
					}
				})
			})
		}
	}
}

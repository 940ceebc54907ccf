package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// Bounds of the users' deployments for streams and software versions.
const (
	// maxJoinedStreams is the number of streams that may hold events of two versions.
	maxJoinedStreams = 2
	// minResumedShare is the share of taken-up streams that must go on, of the share of new ones that begin.
	minResumedShare = 0.5
)

// Behavior of the modelled streams.
const (
	versionFirstEvent = 400 * time.Millisecond
	versionEventEvery = 100 * time.Millisecond
	versionEvents     = 40
	// versionTries is how often a caller sends one request.
	versionTries = 2
)

// versionClient serves streams whose events name the version of the engine that made them.
type versionClient struct{ fleet *crashFleet }

func (c versionClient) Open(ctx context.Context, attempt generation.RelayAttempt) (generation.RelayStream, error) {
	engine := c.fleet.engine(attempt.Target.ID)
	if engine == nil {
		return nil, &generation.RelayRefusedError{Unreachable: true, Cause: errors.New("connection refused")}
	}
	return &versionStream{ctx: ctx, engine: engine, last: max(0, attempt.LastEvent)}, nil
}
func (versionClient) CopyKVCache(context.Context, *directory.Target, string, *directory.Target) (string, error) {
	return "", errors.New("no copies")
}
func (versionClient) FreeCopy(context.Context, *directory.Target, string) error { return nil }
func (versionClient) Probe(context.Context, *directory.Target) error            { return nil }

type versionStream struct {
	ctx    context.Context
	engine *modelEngine
	last   int64
	begun  bool
}

func (s *versionStream) Head() any { return nil }
func (s *versionStream) Close()    {}

func (s *versionStream) Next() (generation.RelayEvent, error) {
	if s.last == versionEvents {
		return generation.RelayEvent{}, io.EOF
	}
	pause := versionEventEvery
	if !s.begun {
		pause, s.begun = versionFirstEvent, true
	}
	select {
	case <-time.After(pause):
	case <-s.engine.crashed:
		return generation.RelayEvent{}, io.ErrUnexpectedEOF
	case <-s.ctx.Done():
		return generation.RelayEvent{}, s.ctx.Err()
	}
	s.last++
	return generation.RelayEvent{ID: s.last, Bytes: []byte(s.engine.target.Version)}, nil
}

// versionCaller is one stream of a caller over its tries. It implements generation.RelaySink.
type versionCaller struct {
	versions []string
	last     int64
}

func (c *versionCaller) Begin(any) error { return nil }
func (c *versionCaller) Event(event generation.RelayEvent) error {
	if version := string(event.Bytes); !slices.Contains(c.versions, version) {
		c.versions = append(c.versions, version)
	}
	c.last = event.ID
	return nil
}

// versionFleet counts what becomes of streams while engines of two versions serve.
type versionFleet struct {
	*crashFleet
	mu                                    sync.Mutex
	sent, begun, takenUp, resumed, joined int
}

// stream sends a stream, and takes it up once at another entry if it breaks off.
func (f *versionFleet) stream(number int) {
	caller := &versionCaller{}
	resumes := ""
	for try := range versionTries {
		f.crashFleet.mu.Lock()
		e := f.order[f.random.IntN(len(f.order))]
		f.crashFleet.mu.Unlock()
		request := &generation.RelayRequest{
			ID: fmt.Sprintf("s%d-%d", number, try), Fingerprint: fmt.Sprint("f", number), Service: "drafts", LastEvent: -1, Resumes: resumes,
			Deadline: time.Now().Add(25 * time.Second), FirstEventObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond,
			MaxAttempts: 5, Resumable: true,
		}
		had := caller.last
		if had > 0 {
			request.LastEvent = had
		}
		err := e.relay.Run(e.ctx, request, caller)
		if f.ctx.Err() != nil {
			return
		}
		f.count(had, caller)
		if err == nil || caller.last == 0 {
			break
		}
		if resumes == "" {
			resumes = request.ID
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(caller.versions) > 1 {
		f.joined++
	}
}

// count counts one try of a stream that had events before it.
func (f *versionFleet) count(had int64, caller *versionCaller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if had == 0 {
		f.sent++
		if caller.last > 0 {
			f.begun++
		}
		return
	}
	f.takenUp++
	if caller.last > had {
		f.resumed++
	}
}

// run sends streams for a while, during which entries and engines are lost.
func (f *versionFleet) run(length time.Duration) {
	go func() {
		for number := 0; f.ctx.Err() == nil; number++ {
			go f.stream(number)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(700 * time.Millisecond)
		f.crashFleet.mu.Lock()
		index, engine := f.random.IntN(len(f.order)), f.engines[f.random.IntN(len(f.engines))]
		f.crashFleet.mu.Unlock()
		f.order[index].stop()
		f.startEntry(index)
		f.crash(engine, "outside")
	}
}

// Guards against callers' streams that hold events of two versions, in one answer or over their tries at several
// entries, and against streams that don't go on although engines of their version serve.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	for _, size := range []int{8, 59, 76} {
		t.Run(fmt.Sprintf("%d_entries", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := &versionFleet{crashFleet: newFleet(ctx, size, func(f *crashFleet) generation.RelayEngine { return versionClient{f} })}
				for i, engine := range f.engines {
					engine.target.Version = fmt.Sprint("v", 1+i%2)
				}
				time.Sleep(modelHistoryTime)
				f.run(modelDay)
				cancel()
				time.Sleep(time.Minute) // until all goroutines have ended
				f.mu.Lock()
				defer f.mu.Unlock()
				t.Logf("%d of %d streams begun, %d of %d taken up go on, %d joined", f.begun, f.sent, f.resumed, f.takenUp, f.joined)
				is.True(f.joined <= maxJoinedStreams)
				is.True(float64(f.resumed)*float64(f.sent) >= minResumedShare*float64(f.begun)*float64(f.takenUp))
			})
		})
	}
}

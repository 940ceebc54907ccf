package generation

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/directory"
)

// busyService is a RelayEngine whose targets run a limited number of streams, refuse others and may fall silent while they accept
// connections. A stream that begins there prefills its prompt first.
type busyService struct {
	slots             int
	events            int64
	interval, prefill time.Duration
	mu                sync.Mutex
	running           map[string]int
	silentUntil       map[string]time.Time
	began             int
	noCopies
}

// noCopies are the calls of RelayEngine besides Open.
type noCopies struct{}

func (noCopies) CopyKVCache(context.Context, *directory.Target, string, *directory.Target) (string, error) {
	return "", errors.New("no copies")
}
func (noCopies) FreeCopy(context.Context, *directory.Target, string) error { return nil }
func (noCopies) Probe(context.Context, *directory.Target) error            { return nil }

// silence has targets write nothing for a time.
func (s *busyService) silence(length time.Duration, targets ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range targets {
		s.silentUntil[target] = time.Now().Add(length)
	}
}

// await waits while the target is silent.
func (s *busyService) await(ctx context.Context, target string, length time.Duration) error {
	for {
		s.mu.Lock()
		length = max(length, time.Until(s.silentUntil[target]))
		s.mu.Unlock()
		if length <= 0 {
			return ctx.Err()
		}
		select {
		case <-time.After(length):
			length = 0
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *busyService) Open(ctx context.Context, attempt RelayAttempt) (RelayStream, error) {
	id := attempt.Target.ID
	if err := s.await(ctx, id, time.Millisecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	full := s.running[id] >= s.slots
	if !full {
		s.running[id]++
		s.began++
	}
	s.mu.Unlock()
	if full {
		return nil, &RelayRefusedError{Cause: errors.New("no room")}
	}
	stream := &busyStream{service: s, ctx: ctx, target: id, last: max(0, attempt.LastEvent), wait: s.prefill}
	context.AfterFunc(ctx, stream.end)
	return stream, nil
}

// count returns how many attempts targets began.
func (s *busyService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began
}

type busyStream struct {
	service *busyService
	ctx     context.Context
	target  string
	last    int64
	wait    time.Duration
	ended   sync.Once
}

func (s *busyStream) end() {
	s.ended.Do(func() {
		s.service.mu.Lock()
		defer s.service.mu.Unlock()
		s.service.running[s.target]--
	})
}

func (s *busyStream) Head() any { return s.target }
func (s *busyStream) Close()    { s.end() }
func (s *busyStream) Next() (RelayEvent, error) {
	if s.last == s.service.events {
		s.end()
		return RelayEvent{}, io.EOF
	}
	if err := s.service.await(s.ctx, s.target, s.wait); err != nil {
		return RelayEvent{}, err
	}
	s.wait = s.service.interval
	s.last++
	return RelayEvent{ID: s.last, Bytes: []byte{byte(s.last)}}, nil
}

// spreadPlacer places a stream at the target with the fewest streams of this entry.
type spreadPlacer struct {
	firstPlacer
	mu      sync.Mutex
	streams map[string]int
}

func (p *spreadPlacer) PlaceStream(_ context.Context, query RelayQuery) (*directory.Target, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *directory.Target
	for _, target := range query.Engines {
		if query.Allows(target) && (best == nil || p.streams[target.ID] < p.streams[best.ID]) {
			best = target
		}
	}
	return best, nil
}

func (p *spreadPlacer) AddStream(target *directory.Target, _ StreamSize, _ int) PlacedStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[target.ID]++
	return &spreadStream{p, target.ID}
}

func (p *spreadPlacer) ReportLost(*directory.Target)    {}
func (p *spreadPlacer) ReportRefused(*directory.Target) {}

type spreadStream struct {
	placer *spreadPlacer
	target string
}

func (s *spreadStream) EventArrived() {}
func (s *spreadStream) Ended() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.placer.streams[s.target]--
}

// refilledRetries is a retry budget that is refilled at a steady rate.
type refilledRetries struct {
	mu         sync.Mutex
	left, most float64
	perSecond  float64
	at         time.Time
}

func (b *refilledRetries) Earn(string)   {}
func (b *refilledRetries) Refund(string) {}
func (b *refilledRetries) Spend(string, RetryUrgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.left, b.at = min(b.most, b.left+b.perSecond*now.Sub(b.at).Seconds()), now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Guards against streams that leave sound targets which fall silent for a second, find the others full, and are cut since the retry budget
// is spent or they have been refused too often (the users' own runs: LOST around changes of the configuration beside silent engines).
func TestStreamsOutliveSilencesOfSoundTargetsUnderLoad(t *testing.T) {
	const (
		targets, slots = 6, 3
		interval       = 30 * time.Millisecond
		events         = 100
		silence        = 1200 * time.Millisecond
		deadline       = 25 * time.Second
	)
	for _, each := range []struct {
		name    string
		streams int
		silent  []string
		// refill is the rate of the retry budget.
		refill float64
		// stopping is set if the entry is about to exit.
		stopping bool
		// maxBegan is the number of attempts that targets begin: a general silence moves none.
		maxBegan int
	}{
		{"all silent", 17, []string{"0", "1", "2", "3", "4", "5"}, 2, false, 17},
		{"all silent, full", 18, []string{"0", "1", "2", "3", "4", "5"}, 0.5, false, 18},
		{"half silent, full", 18, []string{"0", "1", "2"}, 2, false, 40},
		{"half silent, no retries", 18, []string{"0", "1", "2"}, 0.5, false, 40},
		{"one silent, others full", 18, []string{"3"}, 2, false, 40},
		{"one silent while the entry stops", 18, []string{"3"}, 2, true, 18},
	} {
		t.Run(each.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := &busyService{
					slots: slots, events: events, interval: interval, prefill: 500 * time.Millisecond,
					running: map[string]int{}, silentUntil: map[string]time.Time{},
				}
				var open []*directory.Target
				for i := range targets {
					id := strconv.Itoa(i)
					open = append(open, &directory.Target{ID: id, Address: id + ":1", Service: "drafts"})
				}
				relay := NewRelay(RelayOptions{
					Engine: service, Placer: &spreadPlacer{streams: map[string]int{}},
					Budget:  &refilledRetries{left: 6, most: 6, perSecond: each.refill, at: time.Now()},
					Targets: func(string) []*directory.Target { return open }, Stopping: func() bool { return each.stopping },
				})
				results := make(chan error, each.streams)
				for i := range each.streams {
					time.Sleep(20 * time.Millisecond)
					go func() {
						request := relayRequest()
						request.ID = strconv.Itoa(i)
						sink := &recordingSink{}
						err := relay.Run(t.Context(), request, sink)
						if err == nil && len(sink.events) != events {
							err = errors.New("not whole")
						}
						results <- err
					}()
				}
				time.Sleep(1500 * time.Millisecond)
				service.silence(silence, each.silent...)
				cut := 0
				for range each.streams {
					if err := <-results; err != nil {
						cut++
						t.Log(err)
					}
				}
				t.Logf("%d attempts began", service.count())
				is.Equal(cut, 0)
				is.True(service.count() <= each.maxBegan)
			})
		})
	}
}

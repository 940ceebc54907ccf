package engine

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/chain"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/server"
)

// Engine simulates a model engine. It is an http.Handler; Close ends its goroutine.
type Engine struct {
	options Options
	faults  *fault.Set
	mux     *http.ServeMux

	mu              sync.Mutex
	random          *rand.Rand
	cache           *prefixCache
	streams         map[streamKey]*stream
	queue           []*stream
	running         []*stream
	streamSequence  int64
	stepLoopRunning bool
	closed          bool
	incarnation     int
	terminatesAt    time.Time
	drainingSince   time.Time
	sampledLoad     loadReport
	loadSampledAt   time.Time
	control         controlState
	stats           Stats
	lostStreams     []LostStream
	// released is closed by Release.
	released chan struct{}
	// stop interrupts the step loop. It is closed and replaced when the engine dies, and closed
	// permanently by Close.
	stop chan struct{}
}

// New returns an idle engine.
func New(options Options) *Engine {
	random := rand.New(rand.NewPCG(uint64(options.Seed), uint64(options.Seed)))
	e := &Engine{
		options:     options,
		faults:      fault.NewSet(),
		random:      random,
		cache:       newPrefixCache(options, random),
		streams:     map[streamKey]*stream{},
		incarnation: 1,
		released:    make(chan struct{}),
		stop:        make(chan struct{}),
	}
	e.control.reset(options)
	e.mux = e.routes()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	server.NameCall(w, r)
	e.mux.ServeHTTP(w, r)
}

// Faults returns the fault switches, for use without HTTP; see Apply.
func (e *Engine) Faults() *fault.Set { return e.faults }

// Apply triggers a fault, as POST /faults does.
func (e *Engine) Apply(f fault.Fault) {
	switch f.Kind {
	case fault.Die:
		e.Die(time.Duration(f.Duration))
	case fault.Drain:
		e.StartDraining(time.Duration(f.Delay))
	default:
		e.faults.Add(f)
	}
}

// Die simulates a crash: it discards all state and closes the listener. The listener opens again
// after returnAfter unless that is 0.
func (e *Engine) Die(returnAfter time.Duration) {
	e.mu.Lock()
	e.stats.Kills++
	e.resetState()
	e.mu.Unlock()
	if e.options.OnDie != nil {
		e.options.OnDie(returnAfter)
	}
}

// StartDraining starts draining: the engine announces that it will terminate after d. It still accepts
// streams, and counts them.
func (e *Engine) StartDraining(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.drainingSince = now
	e.terminatesAt = now.Add(d)
}

// Release ends the effect of Options.HoldAt permanently, also after the engine has died.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.released:
	default:
		close(e.released)
	}
}

// Close stops the engine permanently.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.resetState()
	e.closed = true
	close(e.stop)
}

// resetState discards streams, cache and loaded versions, as a restart does, and begins a new
// incarnation. The highest fencing token is kept.
func (e *Engine) resetState() {
	for _, s := range e.streams {
		e.recordLostStream(s)
		e.endStream(s)
	}
	clear(e.streams)
	e.queue = nil
	e.running = nil
	e.cache = newPrefixCache(e.options, e.random)
	e.incarnation++
	e.terminatesAt = time.Time{}
	e.drainingSince = time.Time{}
	fence := e.control.fence
	e.control.reset(e.options)
	e.control.fence = fence
	if !e.closed {
		close(e.stop)
		e.stop = make(chan struct{})
	}
}

// endStream stops a stream that has not finished, and its expiry timer, and wakes its readers.
func (e *Engine) endStream(s *stream) {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	if !s.ended() {
		s.state = streamStopped
	}
	s.wakeReaders()
}

// refusal is the HTTP status and error code with which a request is rejected.
type refusal struct {
	status int
	Code   string `json:"code"`
}

// acceptStream enqueues a new stream, or returns the existing one with the same key.
func (e *Engine) acceptStream(request generateRequest) (*stream, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := streamKey{request.RequestID, request.Attempt}
	if known, exists := e.streams[key]; exists {
		e.stats.RepeatedAttempts++
		return known, nil
	}
	if refused := e.refusalFor(request); refused != nil {
		e.stats.Refused++
		return nil, refused
	}
	s := e.newStream(key, request)
	e.streams[key] = s
	e.enqueue(s)
	return s, nil
}

// refusalFor returns why a new request is rejected, or nil if it is accepted. It counts a request that
// is accepted while draining.
func (e *Engine) refusalFor(request generateRequest) *refusal {
	wanted := Version{Model: request.Model, Version: request.Version, Adapter: request.Adapter}
	if !e.options.ServeAnyVersion && !e.control.isLoaded(wanted) {
		return &refusal{http.StatusNotFound, "not-loaded"}
	}
	_, overloaded := e.faults.Consume(fault.Overload, request.Prompt)
	if overloaded || len(e.queue) >= e.options.QueueLimit && len(e.running) >= e.options.Concurrency {
		return &refusal{http.StatusServiceUnavailable, "overloaded"}
	}
	if !e.terminatesAt.IsZero() {
		e.countAcceptedWhileDraining()
	}
	return nil
}

func (e *Engine) countAcceptedWhileDraining() {
	e.stats.AcceptedWhileDraining++
	since := time.Since(e.drainingSince).Milliseconds()
	e.stats.LastAcceptedWhileDrainingMs = max(e.stats.LastAcceptedWhileDrainingMs, since)
}

// newStream adds the prompt to the prefix cache and returns a queued stream whose uncached tokens,
// and output to continue, are still to be prefilled.
func (e *Engine) newStream(key streamKey, request generateRequest) *stream {
	e.streamSequence++
	e.stats.Streams++
	cached := e.cache.lookupAndAdd(request.Prompt)
	uncached := (len(request.Prompt)-cached+PromptBytesPerToken-1)/PromptBytesPerToken + len(request.Output)
	e.stats.PrefillTokens += int64(uncached)
	if len(request.Output) > 0 {
		e.stats.RecoveryPrefillTokens += int64(uncached)
	}
	e.stats.CachedTokens += int64(cached / PromptBytesPerToken)
	length, finish := AnswerLength(request.Prompt, request.Seed, request.MaxTokens, e.options.FixedLength)
	return &stream{
		key:         key,
		request:     request,
		generator:   e.newGenerator(request),
		tokens:      slices.Clone(request.Output),
		length:      max(length, len(request.Output)),
		finish:      finish,
		prefillLeft: uncached,
		sequence:    e.streamSequence,
		acceptedAt:  time.Now(),
		readers:     map[*reader]struct{}{},
	}
}

// newGenerator returns the generator of the tokens of a request; with Options.Divergent, a different
// one each time.
func (e *Engine) newGenerator(request generateRequest) chain.Generator {
	if e.options.Divergent {
		return chain.NewDivergentGenerator(request.chainRequest(), e.random.Uint64())
	}
	return chain.NewGenerator(request.chainRequest())
}

// enqueue queues a stream by priority, then by arrival, and starts the step loop if it is not running.
func (e *Engine) enqueue(s *stream) {
	e.queue = append(e.queue, s)
	slices.SortStableFunc(e.queue, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	e.stats.PeakInFlight = max(e.stats.PeakInFlight, len(e.running)+len(e.queue))
	if !e.stepLoopRunning && !e.closed {
		e.stepLoopRunning = true
		go e.runSteps()
	}
}

// findStream returns the stream of an attempt, or nil if the engine has none.
func (e *Engine) findStream(requestID, attempt string) *stream {
	number, err := strconv.Atoi(attempt)
	if err != nil {
		return nil
	}
	return e.streams[streamKey{requestID, number}]
}

// cancelStream stops a stream and removes it from the engine.
func (e *Engine) cancelStream(s *stream) {
	if !s.ended() {
		e.stats.Cancels++
	}
	e.endStream(s)
	delete(e.streams, s.key)
	e.queue = removeStream(e.queue, s)
	e.running = removeStream(e.running, s)
}

func removeStream(list []*stream, s *stream) []*stream {
	return slices.DeleteFunc(list, func(other *stream) bool { return other == s })
}

func (e *Engine) attachReader(s *stream) *reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
	r := &reader{wake: make(chan struct{}, 1)}
	s.readers[r] = struct{}{}
	return r
}

// detachReader removes a reader; a stream without readers is cancelled after UnreadStreamTTL.
func (e *Engine) detachReader(s *stream, r *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.readers, r)
	if len(s.readers) > 0 || e.streams[s.key] != s || e.closed {
		return
	}
	s.expiryTimer = time.AfterFunc(e.options.UnreadStreamTTL, func() { e.expireStream(s) })
}

func (e *Engine) expireStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(s.readers) > 0 || e.streams[s.key] != s {
		return
	}
	if !s.ended() {
		e.stats.Expired++
	}
	e.cancelStream(s)
}

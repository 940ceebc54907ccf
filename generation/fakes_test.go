package generation

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/journal"
	"github.com/azurebarrow/azurebarrow/membership"
)

const tokenGap = 39 * time.Millisecond

// nextToken derives a token from the one before it and from the attempt, so that mixing attempts, or
// losing or repeating a token, breaks the chain.
func nextToken(previous string, attempt int) string {
	sum := fnv.New32a()
	_, _ = fmt.Fprint(sum, previous)
	return fmt.Sprintf("%d/%08x", attempt, sum.Sum32())
}

// checkChain returns an error unless the tokens form one answer.
func checkChain(tokens []string) error {
	previous := ""
	for i, token := range tokens {
		var attempt int
		var rest string
		if _, err := fmt.Sscanf(token, "%d/%s", &attempt, &rest); err != nil || nextToken(previous, attempt) != token {
			return fmt.Errorf("token %d (%s) does not follow %q", i, token, previous)
		}
		previous = token
	}
	return nil
}

// fakeEngine runs streams in memory.
type fakeEngine struct {
	mu        sync.Mutex
	targets   map[string]*fakeTarget
	generated int
	canceled  map[StreamID]int
	// acceptDelay is the time until a target accepts an attempt.
	acceptDelay time.Duration
	// chooseDelay is how long the choice of a target takes.
	chooseDelay time.Duration
	// mangle changes the events of a stream as they are read; nil leaves them.
	mangle func(StreamEvent) []StreamEvent
}

type fakeTarget struct {
	name    string
	dead    chan struct{}
	paused  bool
	gap     time.Duration
	poison  string
	streams map[StreamID]*fakeStream
}

type fakeStream struct {
	request  StreamRequest
	tokens   []string
	canceled bool
	changed  chan struct{}
}

func newFakeEngine(names ...string) *fakeEngine {
	e := &fakeEngine{targets: map[string]*fakeTarget{}, canceled: map[StreamID]int{}}
	for _, name := range names {
		e.targets[name] = &fakeTarget{name: name, dead: make(chan struct{}), gap: tokenGap, streams: map[StreamID]*fakeStream{}}
	}
	return e
}

func (e *fakeEngine) kill(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets[name].kill()
}

// restart makes a target lose its streams and start again at once.
func (e *fakeEngine) restart(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.targets[name]
	old.kill()
	e.targets[name] = &fakeTarget{name: name, dead: make(chan struct{}), gap: old.gap, streams: map[StreamID]*fakeStream{}}
}

func (t *fakeTarget) kill() {
	if !t.isDead() {
		close(t.dead)
	}
}

func (t *fakeTarget) isDead() bool {
	select {
	case <-t.dead:
		return true
	default:
		return false
	}
}

func (e *fakeEngine) pause(name string, paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets[name].paused = paused
}

// reach simulates a call to a target: a dead one refuses, a paused one does not answer.
func (e *fakeEngine) reach(ctx context.Context, target *v1.Target) (*fakeTarget, error) {
	for {
		e.mu.Lock()
		t := e.targets[target.Metadata.Name]
		dead, paused := t.isDead(), t.paused
		e.mu.Unlock()
		switch {
		case dead:
			return nil, ErrUnreachable
		case !paused:
			return t, nil
		case wait.For(ctx, time.Millisecond) != nil:
			return nil, ctx.Err()
		}
	}
}

func (e *fakeEngine) Generate(ctx context.Context, target *v1.Target, request StreamRequest) (Stream, error) {
	t, err := e.reach(ctx, target)
	if err != nil {
		return nil, err
	}
	if wait.For(ctx, e.acceptDelay) != nil {
		return nil, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generated++
	s := &fakeStream{request: request, tokens: slices.Clone(request.Output), changed: make(chan struct{})}
	t.streams[request.ID] = s
	go e.run(t, s)
	return &fakeStreamReader{engine: e, target: t, stream: s, from: len(request.Output), ctx: ctx}, nil
}

func (e *fakeEngine) run(t *fakeTarget, s *fakeStream) {
	for {
		e.mu.Lock()
		gap := t.gap
		e.mu.Unlock()
		time.Sleep(gap)
		e.mu.Lock()
		if t.poison != "" && strings.Contains(s.request.Request.Prompt, t.poison) {
			t.kill()
		}
		over := t.isDead() || s.canceled || len(s.tokens) == s.request.Request.MaxTokens
		if !over && !t.paused {
			previous := ""
			if len(s.tokens) > 0 {
				previous = s.tokens[len(s.tokens)-1]
			}
			s.tokens = append(s.tokens, nextToken(previous, s.request.ID.Attempt))
		}
		close(s.changed)
		s.changed = make(chan struct{})
		e.mu.Unlock()
		if over {
			return
		}
	}
}

func (e *fakeEngine) Attach(ctx context.Context, target *v1.Target, id StreamID, from int) (Stream, error) {
	t, err := e.reach(ctx, target)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := t.streams[id]
	if s == nil || s.canceled {
		return nil, ErrNoSuchStream
	}
	return &fakeStreamReader{engine: e, target: t, stream: s, from: from, ctx: ctx}, nil
}

func (e *fakeEngine) Cancel(ctx context.Context, target *v1.Target, id StreamID) error {
	t, err := e.reach(ctx, target)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled[id]++
	if s := t.streams[id]; s != nil {
		s.canceled = true
	}
	return nil
}

func (e *fakeEngine) generatedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generated
}

// running returns the number of streams that are neither finished nor cancelled.
func (e *fakeEngine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, t := range e.targets {
		for _, s := range t.streams {
			if !t.isDead() && !s.canceled && len(s.tokens) < s.request.Request.MaxTokens {
				count++
			}
		}
	}
	return count
}

type fakeStreamReader struct {
	engine  *fakeEngine
	target  *fakeTarget
	stream  *fakeStream
	from    int
	ended   bool
	ctx     context.Context
	pending []StreamEvent
}

func (r *fakeStreamReader) Close() {}

func (r *fakeStreamReader) Recv() (StreamEvent, error) {
	for {
		if len(r.pending) > 0 {
			event := r.pending[0]
			r.pending = r.pending[1:]
			return event, nil
		}
		if r.ended {
			return StreamEvent{}, io.EOF
		}
		event, changed, ready := r.poll()
		if ready {
			r.pending = []StreamEvent{event}
			if r.engine.mangle != nil {
				r.pending = r.engine.mangle(event)
			}
			continue
		}
		select {
		case <-r.target.dead:
			return StreamEvent{}, ErrStreamBroken
		case <-r.ctx.Done():
			return StreamEvent{}, r.ctx.Err()
		case <-changed:
		}
	}
}

func (r *fakeStreamReader) poll() (StreamEvent, <-chan struct{}, bool) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	event := StreamEvent{ID: r.stream.request.ID, Token: Token{Index: r.from}}
	switch {
	case r.target.isDead() || r.target.paused:
	case r.from < len(r.stream.tokens):
		event.Token.Text = r.stream.tokens[r.from]
		r.from++
		return event, nil, true
	case len(r.stream.tokens) == r.stream.request.Request.MaxTokens:
		event.Finish = FinishLength
		r.ended = true
		return event, nil, true
	}
	return event, r.stream.changed, false
}

// fakeCluster is a set of entries that share an engine and an in-memory network.
type fakeCluster struct {
	engine  *fakeEngine
	peers   []membership.Peer
	entries map[string]*fakeEntry
	delay   time.Duration

	mu           sync.Mutex
	paused       map[string]bool
	disconnected map[[2]string]bool
}

type fakeEntry struct {
	cluster *fakeCluster
	name    string
	journal *journal.Journal
	store   *journal.Store
	manager *Manager
	dead    bool
}

var errNetwork = errors.New("network: unreachable")

func newFakeCluster(t *testing.T, engine *fakeEngine, records CrashRecords) *fakeCluster {
	invariant.PanicOnViolation(false)
	c := &fakeCluster{engine: engine, entries: map[string]*fakeEntry{}, delay: time.Millisecond, paused: map[string]bool{}, disconnected: map[[2]string]bool{}}
	for i := range 6 {
		c.peers = append(c.peers, membership.Peer{Name: fmt.Sprintf("e%d", i), AvailabilityZone: string(rune('a' + i%3))})
	}
	for _, peer := range c.peers {
		e := &fakeEntry{cluster: c, name: peer.Name, store: journal.NewStore(journal.DefaultLimits)}
		e.journal = journal.New(journal.Options{View: membership.Static{This: peer, Peers: c.peers}, Store: e.store, Transport: e})
		e.manager = NewManager(Options{Engine: pausableEngine{engine, e}, Chooser: &fakeChooser{engine: engine}, Journal: e.journal, Peers: e, CrashRecords: records,
			Target: engine.target, EntryName: peer.Name})
		c.entries[peer.Name] = e
	}
	t.Cleanup(func() {
		for _, e := range c.entries {
			e.manager.Close()
		}
		for name := range engine.targets {
			engine.kill(name)
		}
		time.Sleep(time.Second) // let the streams end
	})
	return c
}

func (c *fakeCluster) setPaused(name string, paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused[name] = paused
}

func (c *fakeCluster) kill(name string) {
	c.mu.Lock()
	c.entries[name].dead = true
	c.mu.Unlock()
	c.entries[name].manager.Close()
}

// transmit simulates a message from one entry to another. A paused entry neither sends nor receives.
func (c *fakeCluster) transmit(ctx context.Context, from, to string) error {
	if wait.For(ctx, c.delay) != nil {
		return ctx.Err()
	}
	for {
		c.mu.Lock()
		dead := c.entries[to].dead || c.entries[from].dead || c.disconnected[[2]string{from, to}]
		paused := c.paused[to] || c.paused[from]
		c.mu.Unlock()
		if dead {
			return errNetwork
		}
		if !paused {
			return ctx.Err()
		}
		c.awaitResumed(from)
		if wait.For(ctx, time.Millisecond) != nil {
			return ctx.Err()
		}
	}
}

// awaitResumed blocks while an entry is paused, since such an entry does not notice its timeouts either.
func (c *fakeCluster) awaitResumed(entry string) {
	for {
		c.mu.Lock()
		paused := c.paused[entry]
		c.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// pausableEngine is the engine as one entry sees it: a paused entry gets no results.
type pausableEngine struct {
	*fakeEngine
	entry *fakeEntry
}

type pausableStream struct {
	Stream
	entry *fakeEntry
}

func (e pausableEngine) Generate(ctx context.Context, target *v1.Target, request StreamRequest) (Stream, error) {
	e.entry.cluster.awaitResumed(e.entry.name)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	stream, err := e.fakeEngine.Generate(ctx, target, request)
	return pausableStream{stream, e.entry}, err
}

func (e pausableEngine) Attach(ctx context.Context, target *v1.Target, id StreamID, from int) (Stream, error) {
	e.entry.cluster.awaitResumed(e.entry.name)
	stream, err := e.fakeEngine.Attach(ctx, target, id, from)
	return pausableStream{stream, e.entry}, err
}

func (s pausableStream) Recv() (StreamEvent, error) {
	event, err := s.Stream.Recv()
	s.entry.cluster.awaitResumed(s.entry.name)
	return event, err
}

func call[T any](e *fakeEntry, ctx context.Context, to string, handle func(*fakeEntry) T) (T, error) {
	var none T
	if err := e.cluster.transmit(ctx, e.name, to); err != nil {
		return none, err
	}
	result := handle(e.cluster.entries[to])
	return result, e.cluster.transmit(ctx, to, e.name)
}

func (e *fakeEntry) Exchange(ctx context.Context, peer membership.Peer, batch journal.Batch) (journal.BatchResult, error) {
	return call(e, ctx, peer.Name, func(to *fakeEntry) journal.BatchResult { return to.store.Exchange(batch) })
}

func (e *fakeEntry) Read(ctx context.Context, peer membership.Peer, key string) (journal.Copy, error) {
	return call(e, ctx, peer.Name, func(to *fakeEntry) journal.Copy { return to.store.Read(key) })
}

func (e *fakeEntry) Takeover(ctx context.Context, peer membership.Peer, request journal.TakeoverRequest) (journal.TakeoverResult, error) {
	return call(e, ctx, peer.Name, func(to *fakeEntry) journal.TakeoverResult { return to.store.Takeover(request) })
}

func (e *fakeEntry) Tail(ctx context.Context, entry string, request TailRequest) (TailReply, error) {
	var failure error
	reply, err := call(e, ctx, entry, func(to *fakeEntry) TailReply {
		reply, err := to.manager.Tail(ctx, request)
		failure = err
		return reply
	})
	return reply, errors.Join(err, failure)
}

func (e *fakeEngine) target(name string) *v1.Target {
	target := &v1.Target{Metadata: v1.Metadata{Name: name}}
	target.Spec.Capabilities.Resume = true
	return target
}

// fakeChooser chooses the first target that is not excluded; it does not know which are dead.
type fakeChooser struct {
	engine  *fakeEngine
	mu      sync.Mutex
	queries []TargetQuery
}

func (c *fakeChooser) Choose(ctx context.Context, query TargetQuery) (*Lease, error) {
	c.engine.mu.Lock()
	delay := c.engine.chooseDelay
	c.engine.mu.Unlock()
	if wait.For(ctx, delay) != nil {
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries = append(c.queries, query)
	c.engine.mu.Lock()
	names := slices.Collect(maps.Keys(c.engine.targets))
	c.engine.mu.Unlock()
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(query.Exclude, name) {
			return &Lease{Target: c.engine.target(name), Done: func(Usage) {}}, nil
		}
	}
	return nil, ErrNoTarget
}

// queries returns how often an entry has asked for a target.
func (c *fakeCluster) queries(entry string) int {
	chooser := c.entries[entry].manager.options.Chooser.(*fakeChooser)
	chooser.mu.Lock()
	defer chooser.mu.Unlock()
	return len(chooser.queries)
}

// holders returns the names of the entries that hold a record of the key, without some of them.
func (c *fakeCluster) holders(key Key, without ...string) []string {
	var names []string
	for _, peer := range c.peers {
		if !slices.Contains(without, peer.Name) && c.entries[peer.Name].store.Read(key.String()).Record != nil {
			names = append(names, peer.Name)
		}
	}
	return names
}

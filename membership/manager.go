package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Manager keeps the view of the entries by probing a few of them each second. One goroutine, Run,
// owns the state; all other methods may be called from anywhere.
type Manager struct {
	options Options
	inbox   chan func(*owner)
	stopped chan struct{}
	view    atomic.Pointer[publishedView]

	mutex       sync.Mutex
	subscribers []chan struct{}
}

// publishedView is what readers see; it is replaced, never changed.
type publishedView struct {
	self  Peer
	live  []Peer
	known int
}

// NewManager returns a Manager that knows only itself until Run is called.
func NewManager(options Options) *Manager {
	options.setDefaults()
	m := &Manager{
		options: options,
		inbox:   make(chan func(*owner), inboxLength),
		stopped: make(chan struct{}),
	}
	m.view.Store(&publishedView{self: options.Self, live: []Peer{options.Self}, known: 1})
	return m
}

// Self implements View.
func (m *Manager) Self() Peer { return m.view.Load().self }

// Live implements View.
func (m *Manager) Live() []Peer { return m.view.Load().live }

// Known returns the number of entries that exist as far as this entry can tell: the live ones and
// those that fell silent without leaving. A group that sees only a part of Known may be cut off
// from the rest.
func (m *Manager) Known() int { return m.view.Load().known }

// Subscribe returns a channel that receives after Live has changed; several changes may be
// reported as one.
func (m *Manager) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscribers = append(m.subscribers, changed)
	return changed
}

// Run probes and answers until ctx ends; then it tells a few peers that this entry left.
func (m *Manager) Run(ctx context.Context) error {
	o := newOwner(m)
	defer close(m.stopped)
	// The first interval is random, so that entries that start together do not probe in step.
	timer := time.NewTimer(time.Duration(o.random.Int64N(int64(m.options.ProbeInterval))))
	defer timer.Stop()
	o.readDirectory(ctx)
	o.start()
	o.greet(ctx, time.Now(), joiningProbes)
	for {
		select {
		case <-ctx.Done():
			o.leave()
			return nil
		case <-timer.C:
			timer.Reset(m.options.ProbeInterval)
			o.tick(ctx, time.Now())
		case do := <-m.inbox:
			do(o)
		}
		o.spread(ctx, time.Now())
		o.publish()
	}
}

// do has the owner run f and waits for it; it reports false when the manager stopped before.
func (m *Manager) do(ctx context.Context, f func(*owner)) bool {
	done := make(chan struct{})
	task := func(o *owner) {
		f(o)
		close(done)
	}
	select {
	case m.inbox <- task:
	case <-m.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-m.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// post has the owner run f later.
func (m *Manager) post(f func(*owner)) {
	select {
	case m.inbox <- f:
	case <-m.stopped:
	}
}

// HandleProbe answers another entry's probe.
func (m *Manager) HandleProbe(ctx context.Context, message Message) (Message, error) {
	if err := checkProtocol(message); err != nil {
		return Message{}, err
	}
	var answer Message
	if !m.do(ctx, func(o *owner) { answer = o.answer(message, time.Now()) }) {
		return Message{}, ErrStopped
	}
	return answer, nil
}

// HandleProbeVia passes another entry's probe on to peer.
func (m *Manager) HandleProbeVia(ctx context.Context, peer Peer, message Message) (Message, error) {
	return m.options.Prober.Probe(ctx, peer, message)
}

// Broadcast tells the other entries a notice, within the bounds of piggybacked news.
func (m *Manager) Broadcast(notice Notice) {
	m.post(func(o *owner) { o.takeNotice(notice) })
}

func (m *Manager) notifySubscribers() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, subscriber := range m.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// owner is the state that Run's goroutine owns.
type owner struct {
	manager  *Manager
	options  *Options
	table    *table
	rumors   rumors
	notices  map[string]Notice
	random   *rand.Rand
	budget   budget
	epoch    int
	probes   int
	started  time.Time
	lastTick time.Time
	// urgent counts the entries learnt to be gone, or while joining to be there, since the last
	// pushes.
	urgent int
	pushes budget
	// pageAfter is the name after which the next page of a peer's table is wanted.
	pageAfter string
	dirty     bool
}

func newOwner(m *Manager) *owner {
	now := time.Now()
	return &owner{
		manager:  m,
		options:  &m.options,
		table:    newTable(m.options.Self),
		rumors:   newRumors(),
		notices:  map[string]Notice{},
		random:   rand.New(rand.NewPCG(m.options.Seed, m.options.Self.Incarnation)),
		budget:   budget{perSecond: float64(m.options.GossipBytesPerSecond), filled: now},
		pushes:   budget{perSecond: maxPushesPerSecond, available: maxPushesPerSecond, filled: now},
		started:  now,
		lastTick: now,
	}
}

func (o *owner) start() {
	o.table.list(o.seeds(), o.started)
	o.rumors.addDelta(Delta{Peer: o.table.self, State: StateAlive})
	o.dirty = true
}

// seeds returns the settings' entries; one without a name is known by its address until it answers.
func (o *owner) seeds() []Peer {
	seeds := slices.Clone(o.options.Seeds)
	for i := range seeds {
		if seeds[i].Name == "" {
			seeds[i].Name = seeds[i].Address
		}
	}
	return seeds
}

// tick sends this interval's probes.
func (o *owner) tick(ctx context.Context, now time.Time) {
	o.noticePause(now)
	o.convict(now)
	o.cleanUp(ctx, now)
	o.confirmSuspects(ctx, now)
	if now.Sub(o.started) < joiningPeriod {
		o.greet(ctx, now, joiningProbesPerTick)
	}
	o.probes++
	peer, ok := o.choosePeer()
	if !ok {
		return
	}
	o.launch(ctx, now, probe{peer: peer})
}

// choosePeer returns this interval's peer. Every other probe goes to a successor on the ring, so that each
// entry is probed at even distances; random rounds alone leave some entry unprobed for seconds.
func (o *owner) choosePeer() (Peer, bool) {
	if o.probes%successorProbeEvery == 0 {
		if peer, ok := o.table.successor(o.probes / successorProbeEvery % successors); ok {
			return peer, true
		}
	}
	return o.table.nextToProbe(o.probes%silentProbeEvery == 1, o.random)
}

// greet probes entries of which nothing is known yet, at most count of them. Without it an entry that
// starts would learn of one entry an interval, and rank keys by a view that the others don't share.
func (o *owner) greet(ctx context.Context, now time.Time, count int) {
	unknown := o.table.unknown()
	o.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, peer := range unknown[:min(count, len(unknown))] {
		o.launch(ctx, now, probe{peer: peer})
	}
}

// convict declares the suspects dead whose time is up.
func (o *owner) convict(now time.Time) {
	for _, dead := range o.table.convicted(now, o.options.SuspicionTimeout) {
		o.take(dead, now)
	}
}

// spread tells a few peers at once that an entry is gone, or while this one joins that it is there,
// rather than at the next intervals: such news is rare and urgent. The pushes are bounded for each second.
func (o *owner) spread(ctx context.Context, now time.Time) {
	for ; o.urgent > 0; o.urgent-- {
		for range pushesPerDeath {
			peer, ok := o.table.nextToProbe(false, o.random)
			if !ok || o.pushes.take(now, 1) == 0 {
				continue
			}
			o.pushes.spend(1)
			o.launch(ctx, now, probe{peer: peer})
		}
	}
}

// noticePause resets the detectors when this entry itself did not run for a while: what it failed
// to hear in that time says nothing about others.
func (o *owner) noticePause(now time.Time) {
	gap := now.Sub(o.lastTick)
	o.lastTick = now
	if gap < pauseFactor*o.options.ProbeInterval {
		return
	}
	o.epoch++
	o.table.resetDetectors()
}

func (o *owner) confirmSuspects(ctx context.Context, now time.Time) {
	suspects := o.table.suspects()
	for _, m := range suspects[:min(len(suspects), maxConfirmationsPerTick)] {
		o.launch(ctx, now, probe{peer: m.delta.Peer, together: true})
	}
}

func (o *owner) launch(ctx context.Context, now time.Time, p probe) {
	p.helpers = o.table.helpers(p.peer, o.options.IndirectProbes, o.random)
	p.message = o.compose(p.peer, now)
	p.message.PageRequest = o.pageRequest(now)
	p.epoch = o.epoch
	manager := o.manager
	go func() {
		result := runProbe(ctx, o.options.Prober, p, o.options.IndirectAfter, o.options.ProbeTimeout)
		manager.post(func(o *owner) { o.probed(result, time.Now()) })
	}()
}

func (o *owner) pageRequest(now time.Time) *PageRequest {
	if now.Sub(o.started) < joiningPeriod {
		return &PageRequest{After: o.pageAfter, MaxBytes: o.options.JoiningPageBytes}
	}
	if o.probes%pageEveryProbes == 0 {
		return &PageRequest{After: o.pageAfter, MaxBytes: o.options.PageBytes}
	}
	return nil
}

// compose writes a message to peer: what this entry thinks of it, and as much news as the bounds
// allow.
func (o *owner) compose(peer Peer, now time.Time) Message {
	message := Message{Protocol: ProtocolVersion, From: o.table.self}
	if belief, ok := o.table.belief(peer); ok {
		message.Deltas = append(message.Deltas, belief)
		// The peer may well not get this; news is kept for those that answer.
		return message
	}
	allowed := o.budget.take(now, o.options.MaxDeltaBytes)
	used := o.rumors.pick(&message, allowed, len(o.table.members)+1)
	o.budget.spend(used)
	return message
}

// answer takes a probe's news in and answers it.
func (o *owner) answer(message Message, now time.Time) Message {
	o.receive(message, now)
	answer := o.compose(message.From, now)
	if request := message.PageRequest; request != nil {
		maxBytes := min(request.MaxBytes, o.options.JoiningPageBytes)
		page := o.table.page(request.After, maxBytes)
		answer.Page = &page
	}
	return answer
}

// receive takes in what a message says of its sender and of others.
func (o *owner) receive(message Message, now time.Time) {
	o.take(Delta{Peer: message.From, State: StateAlive}, now)
	for _, delta := range message.Deltas {
		o.take(delta, now)
	}
	for _, dead := range o.table.named(message.Dead) {
		o.take(Delta{Peer: dead, State: StateDead}, now)
	}
	for _, notice := range message.Notices {
		o.takeNotice(notice)
	}
	if message.Page != nil {
		o.takePage(*message.Page, now)
	}
}

func (o *owner) takePage(page Page, now time.Time) {
	for _, delta := range page.Deltas {
		result := o.table.merge(delta, now)
		o.dirty = o.dirty || result.liveChanged
	}
	if page.Last || len(page.Deltas) == 0 {
		o.pageAfter = ""
		return
	}
	o.pageAfter = page.Deltas[len(page.Deltas)-1].Peer.Name
}

// take merges a delta and passes news on.
func (o *owner) take(delta Delta, now time.Time) {
	result := o.table.merge(delta, now)
	switch {
	case result.refuted:
		o.rumors.addDelta(Delta{Peer: o.table.self, State: StateAlive})
	case result.news:
		o.rumors.addDelta(delta)
		if delta.State >= StateDead {
			o.urgent++
		}
		if result.joined && len(o.table.members) <= mostMembersForJoinPushes && now.Sub(o.started) < joiningPeriod {
			o.table.newRound()
			o.urgent++
		}
	}
	o.dirty = o.dirty || result.liveChanged
}

func (o *owner) takeNotice(notice Notice) {
	key := noticeKey(notice)
	former, ok := o.notices[key]
	if ok && notice.Version <= former.Version {
		return
	}
	if !ok && len(o.notices) >= maxNotices {
		o.dropOneNotice()
	}
	o.notices[key] = notice
	o.rumors.addNotice(notice)
	if o.options.OnNotice != nil {
		o.options.OnNotice(notice)
	}
}

func (o *owner) dropOneNotice() {
	for key := range o.notices {
		delete(o.notices, key)
		return
	}
}

// probed takes the result of one of this entry's own probes in.
func (o *owner) probed(result probeResult, now time.Time) {
	if result.err == nil {
		o.dropPlaceholder(result)
		o.receive(result.answer, now)
		o.cleared(result.answer.From)
		return
	}
	if result.probe.epoch != o.epoch || now.Sub(o.lastTick) >= pauseFactor*o.options.ProbeInterval {
		return
	}
	peer := result.probe.peer
	if suspect, ok := o.table.probeFailed(peer.Name, peer.Incarnation, now); ok {
		o.take(suspect, now)
	}
	o.convict(now)
}

// cleared ends this entry's own suspicion of a peer that answered.
func (o *owner) cleared(peer Peer) {
	if m, ok := o.table.members[peer.Name]; ok {
		m.suspicion = nil
	}
}

// dropPlaceholder removes a seed that was known by its address only, once it told its name.
func (o *owner) dropPlaceholder(result probeResult) {
	peer := result.probe.peer
	if peer.Name != result.answer.From.Name {
		delete(o.table.members, peer.Name)
	}
}

func (o *owner) publish() {
	if !o.dirty {
		return
	}
	o.dirty = false
	next := &publishedView{self: o.table.self, live: o.table.live(), known: o.table.known(time.Now())}
	former := o.manager.view.Swap(next)
	if !slices.Equal(former.live, next.live) {
		o.manager.notifySubscribers()
	}
}

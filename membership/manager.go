package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Manager maintains the view of the entries by probing a few of them each second. The goroutine that calls
// Run owns the state; all other methods are safe for concurrent use.
type Manager struct {
	options Options
	inbox   chan func(*eventLoop)
	stopped chan struct{}
	view    atomic.Pointer[publishedView]

	mutex       sync.Mutex
	subscribers []chan struct{}
}

// publishedView is an immutable snapshot for readers.
type publishedView struct {
	self  Peer
	live  []Peer
	known int
}

// NewManager returns a Manager whose view contains only this entry until Run is called.
func NewManager(options Options) *Manager {
	options.setDefaults()
	m := &Manager{
		options: options,
		inbox:   make(chan func(*eventLoop), inboxLength),
		stopped: make(chan struct{}),
	}
	m.view.Store(&publishedView{self: options.Self, live: []Peer{options.Self}, known: 1})
	return m
}

// Self implements View.
func (m *Manager) Self() Peer { return m.view.Load().self }

// Live implements View.
func (m *Manager) Live() []Peer { return m.view.Load().live }

// KnownCount returns the number of entries known to exist: the live ones and those that died recently without
// leaving. Entries whose Live is smaller than KnownCount may be partitioned from the rest.
func (m *Manager) KnownCount() int { return m.view.Load().known }

// Subscribe returns a channel that receives a value after Live has changed; several changes may be
// combined into one value.
func (m *Manager) Subscribe() <-chan struct{} {
	changed := make(chan struct{}, 1)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscribers = append(m.subscribers, changed)
	return changed
}

// Run sends and answers probes until ctx ends, and then announces to a few peers that this entry leaves.
func (m *Manager) Run(ctx context.Context) error {
	l := newEventLoop(m)
	defer close(m.stopped)
	// The first interval is random, so that entries that start together do not probe simultaneously.
	timer := time.NewTimer(time.Duration(l.random.Int64N(int64(m.options.ProbeInterval))))
	defer timer.Stop()
	l.startDirectoryPolling(ctx)
	l.start()
	l.probeUnknownPeers(ctx, time.Now(), joinProbes)
	for {
		select {
		case <-ctx.Done():
			l.announceLeave()
			return nil
		case <-timer.C:
			timer.Reset(m.options.ProbeInterval)
			l.tick(ctx, time.Now())
		case task := <-m.inbox:
			task(l)
		}
		l.pushUrgentUpdates(ctx, time.Now())
		l.publish()
	}
}

// runAndWait runs f on the event loop and waits until it has returned. It returns false if the manager
// stopped or ctx ended before.
func (m *Manager) runAndWait(ctx context.Context, f func(*eventLoop)) bool {
	done := make(chan struct{})
	task := func(l *eventLoop) {
		f(l)
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

// post enqueues f for the event loop and does not wait until it has run.
func (m *Manager) post(f func(*eventLoop)) {
	select {
	case m.inbox <- f:
	case <-m.stopped:
	}
}

// HandleProbe processes a probe of another entry and returns the answer.
func (m *Manager) HandleProbe(ctx context.Context, message Message) (Message, error) {
	if err := checkProtocol(message); err != nil {
		return Message{}, err
	}
	var answer Message
	if !m.runAndWait(ctx, func(l *eventLoop) { answer = l.answerProbe(message, time.Now()) }) {
		return Message{}, ErrStopped
	}
	return answer, nil
}

// HandleProbeVia forwards a probe of another entry to peer and returns peer's answer.
func (m *Manager) HandleProbeVia(ctx context.Context, peer Peer, message Message) (Message, error) {
	return m.options.Prober.Probe(ctx, peer, message)
}

// Broadcast sends a notice to the other entries as a gossip update, within the limits of gossip.
func (m *Manager) Broadcast(notice Notice) {
	m.post(func(l *eventLoop) { l.mergeNotice(notice) })
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

// eventLoop is the state owned by the goroutine of Run.
type eventLoop struct {
	manager      *Manager
	options      *Options
	table        *table
	updates      updateQueue
	notices      map[string]Notice
	retained     retainedNotices
	random       *rand.Rand
	gossipBudget tokenBucket
	// epoch counts the pauses of this entry. Failed probes of an earlier epoch are ignored.
	epoch      int
	probeCount int
	started    time.Time
	lastTick   time.Time
	// pendingPushes counts the urgent updates that are still to be pushed: deaths and departures, and
	// joins while this entry itself joins.
	pendingPushes int
	pushBudget    tokenBucket
	// pageAfter is the name after which the next requested page of a peer's table starts.
	pageAfter string
	// joinProbes is the number of unanswered probes of peers in StateUnknown.
	joinProbes int
	// indirectProbes is the number of running probes that may go through helpers.
	indirectProbes int
	roundTrips     roundTrips
	// dirty is set when the published view may be outdated.
	dirty bool
}

func newEventLoop(m *Manager) *eventLoop {
	now := time.Now()
	return &eventLoop{
		manager:      m,
		options:      &m.options,
		table:        newTable(m.options.Self),
		updates:      newUpdateQueue(),
		notices:      map[string]Notice{},
		random:       rand.New(rand.NewPCG(m.options.Seed, m.options.Self.Incarnation)),
		gossipBudget: tokenBucket{perSecond: float64(m.options.GossipBytesPerSecond), refilled: now},
		pushBudget:   tokenBucket{perSecond: maxPushesPerSecond, available: maxPushesPerSecond, refilled: now},
		started:      now,
		lastTick:     now,
	}
}

func (l *eventLoop) start() {
	l.table.setListed(l.seeds(), l.started)
	l.updates.addDelta(Delta{Peer: l.table.self, State: StateAlive})
	l.dirty = true
}

// seeds returns the entries of the settings. A seed without a name has its address as name until it answers.
func (l *eventLoop) seeds() []Peer {
	seeds := slices.Clone(l.options.Seeds)
	for i := range seeds {
		if seeds[i].Name == "" {
			seeds[i].Name = seeds[i].Address
		}
	}
	return seeds
}

// tick runs the periodic checks and sends the probes of this interval.
func (l *eventLoop) tick(ctx context.Context, now time.Time) {
	l.detectPause(now)
	l.declareDead(now)
	l.removeGonePeers(ctx, now)
	l.confirmSuspects(ctx, now)
	if now.Sub(l.started) < joiningPeriod {
		l.probeUnknownPeers(ctx, now, joinProbesPerTick-l.joinProbes)
	}
	l.probeCount++
	peer, ok := l.choosePeer()
	if !ok {
		return
	}
	l.startProbe(ctx, now, probe{peer: peer})
}

// choosePeer returns the peer to probe in this interval. Every other probe goes to a successor on the ring,
// so that each entry is probed at regular intervals; random rounds alone leave some entry unprobed for
// seconds.
func (l *eventLoop) choosePeer() (Peer, bool) {
	if l.probeCount%successorProbeEvery == 0 {
		if peer, ok := l.table.successor(l.probeCount / successorProbeEvery % probedSuccessors); ok {
			return peer, true
		}
	}
	return l.table.nextToProbe(l.probeCount%unreachableProbeEvery == 1, l.random)
}

// probeUnknownPeers probes up to count random peers in StateUnknown, at most joinProbes at a time. Without it a starting entry would learn
// of one entry per interval, and rank keys by a view that differs from that of the other entries.
func (l *eventLoop) probeUnknownPeers(ctx context.Context, now time.Time, count int) {
	unknown := l.table.unknownPeers()
	l.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, peer := range unknown[:max(0, min(count, len(unknown), joinProbes-l.joinProbes))] {
		l.joinProbes++
		l.startProbe(ctx, now, probe{peer: peer, join: true})
	}
}

// declareDead declares dead the suspects whose suspicion timeout has expired.
func (l *eventLoop) declareDead(now time.Time) {
	for _, dead := range l.table.expiredSuspects(now, l.options.SuspicionTimeout) {
		l.mergeDelta(dead, now)
	}
}

// pushUrgentUpdates probes a few peers at once to pass on that an entry died or left or, while this entry
// joins, that another joined. Such updates are rare and urgent and do not wait for the next interval. The
// pushes per second are limited.
func (l *eventLoop) pushUrgentUpdates(ctx context.Context, now time.Time) {
	for ; l.pendingPushes > 0; l.pendingPushes-- {
		for range pushesPerUrgentUpdate {
			peer, ok := l.table.nextToProbe(false, l.random)
			if !ok || l.pushBudget.limit(now, 1) == 0 {
				continue
			}
			l.pushBudget.spend(1)
			l.startProbe(ctx, now, probe{peer: peer})
		}
	}
}

// detectPause discards this entry's suspicions when it did not run for a while itself: answers that it
// missed during the pause say nothing about the peers.
func (l *eventLoop) detectPause(now time.Time) {
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	if gap < pauseFactor*l.options.ProbeInterval {
		return
	}
	l.epoch++
	l.table.clearSuspicions()
}

// confirmSuspects probes the longest suspected peers again, through helpers at the same time.
func (l *eventLoop) confirmSuspects(ctx context.Context, now time.Time) {
	suspects := l.table.suspects()
	if limit := l.roundTrips.patience(l.options).maxIndirect; limit > 0 {
		suspects = suspects[:min(len(suspects), max(0, limit-l.indirectProbes))]
	}
	for _, m := range suspects[:min(len(suspects), maxConfirmationsPerTick)] {
		l.startProbe(ctx, now, probe{peer: m.delta.Peer, helpersAtOnce: true})
	}
}

func (l *eventLoop) startProbe(ctx context.Context, now time.Time, p probe) {
	p.patience = l.roundTrips.patience(l.options)
	switch {
	case p.join, !l.roundTrips.known && now.Sub(l.started) < joiningPeriod:
		p.patience = joinPatience(l.options)
		p.inconclusive = true
	case !l.table.canBeSuspected(p.peer):
	case p.patience.maxIndirect > 0 && l.indirectProbes >= p.patience.maxIndirect:
		p.inconclusive = true
	default:
		p.indirect = true
		l.indirectProbes++
		p.helpers = l.table.helpers(p.peer, l.options.IndirectProbes, l.random)
	}
	p.message = l.composeMessage(p.peer, now)
	p.message.PageRequest = l.pageRequest(now)
	p.epoch = l.epoch
	manager := l.manager
	go func() {
		result := runProbe(ctx, l.options.Prober, p)
		manager.post(func(l *eventLoop) { l.handleProbeResult(result, time.Now()) })
	}()
}

func (l *eventLoop) pageRequest(now time.Time) *PageRequest {
	if now.Sub(l.started) < joiningPeriod {
		return &PageRequest{After: l.pageAfter, MaxBytes: l.options.JoiningPageBytes}
	}
	if l.probeCount%pageRequestEvery == 0 {
		return &PageRequest{After: l.pageAfter, MaxBytes: l.options.PageBytes}
	}
	return nil
}

// composeMessage returns a message to peer. It contains the delta about peer if this entry considers it
// suspect, dead or left, and otherwise as many gossip updates as the limits allow.
func (l *eventLoop) composeMessage(peer Peer, now time.Time) Message {
	message := Message{Protocol: ProtocolVersion, From: l.table.self}
	if delta, ok := l.table.nonAliveDelta(peer); ok {
		message.Deltas = append(message.Deltas, delta)
		// The peer is likely not to receive the message; the gossip updates are kept for peers that answer.
		return message
	}
	allowed := l.gossipBudget.limit(now, l.options.MaxDeltaBytes)
	used := 0
	if l.table.isJoining(peer, now) {
		// It did not get them when they were sent, and its requests are decided by them.
		used = l.retained.fillMessageForJoiner(&message, allowed/2)
	}
	used += l.updates.fillMessage(&message, allowed-used, len(l.table.members)+1)
	if used == 0 {
		used = l.retained.fillMessage(&message, allowed)
	}
	l.gossipBudget.spend(used)
	return message
}

// answerProbe merges the updates of a probe and returns the answer.
func (l *eventLoop) answerProbe(message Message, now time.Time) Message {
	l.mergeMessage(message, now)
	answer := l.composeMessage(message.From, now)
	if request := message.PageRequest; request != nil {
		maxBytes := min(request.MaxBytes, l.options.JoiningPageBytes)
		page := l.table.page(request.After, maxBytes)
		answer.Page = &page
	}
	return answer
}

// mergeMessage merges the updates in a message, about its sender and about others.
func (l *eventLoop) mergeMessage(message Message, now time.Time) {
	l.mergeDelta(Delta{Peer: message.From, State: StateAlive}, now)
	for _, delta := range message.Deltas {
		l.mergeDelta(delta, now)
	}
	for _, dead := range l.table.liveWithFingerprints(message.Dead) {
		l.mergeDelta(Delta{Peer: dead, State: StateDead}, now)
	}
	for _, notice := range message.Notices {
		l.mergeNotice(notice)
	}
	if message.Page != nil {
		l.mergePage(*message.Page, now)
	}
}

// mergePage merges a page of a peer's table and records where the next page starts. Its deltas are not passed
// on as gossip updates.
func (l *eventLoop) mergePage(page Page, now time.Time) {
	for _, delta := range page.Deltas {
		result := l.table.merge(delta, now)
		l.dirty = l.dirty || result.liveChanged
	}
	if page.Last || len(page.Deltas) == 0 {
		l.pageAfter = ""
		return
	}
	l.pageAfter = page.Deltas[len(page.Deltas)-1].Peer.Name
}

// mergeDelta merges a delta and passes it on if it replaced an older one.
func (l *eventLoop) mergeDelta(delta Delta, now time.Time) {
	result := l.table.merge(delta, now)
	switch {
	case result.refuted:
		l.updates.addDelta(Delta{Peer: l.table.self, State: StateAlive})
	case result.updated:
		l.updates.addDelta(delta)
		if delta.State >= StateDead {
			l.pendingPushes++
		}
		if result.joined && len(l.table.members) <= maxMembersForJoinPushes && now.Sub(l.started) < joiningPeriod {
			l.table.endRound()
			l.pendingPushes++
		}
	}
	l.dirty = l.dirty || result.liveChanged
}

func (l *eventLoop) mergeNotice(notice Notice) {
	key := noticeKey(notice)
	former, ok := l.notices[key]
	if ok && notice.Version <= former.Version {
		return
	}
	if !ok && len(l.notices) >= maxNotices {
		l.dropOneNotice()
	}
	l.notices[key] = notice
	retained := slices.Contains(l.options.RetainedKinds, notice.Kind)
	l.updates.addNotice(notice, retained)
	if retained {
		l.retained.add(notice)
	}
	if l.options.OnNotice != nil {
		l.options.OnNotice(notice)
	}
}

func (l *eventLoop) dropOneNotice() {
	for key := range l.notices {
		delete(l.notices, key)
		return
	}
}

// handleProbeResult processes the result of one of this entry's own probes.
func (l *eventLoop) handleProbeResult(result probeResult, now time.Time) {
	if result.probe.join {
		l.joinProbes--
	}
	if result.probe.indirect {
		l.indirectProbes--
	}
	if result.err == nil {
		if result.direct {
			l.roundTrips.add(result.roundTrip)
		}
		l.dropPlaceholder(result)
		l.mergeMessage(result.answer, now)
		l.clearSuspicion(result.answer.From)
		return
	}
	if result.probe.inconclusive || result.probe.epoch != l.epoch || now.Sub(l.lastTick) >= pauseFactor*l.options.ProbeInterval {
		return
	}
	peer := result.probe.peer
	if suspect, ok := l.table.probeFailed(peer.Name, peer.Incarnation, now); ok {
		l.mergeDelta(suspect, now)
	}
	l.declareDead(now)
}

// clearSuspicion ends this entry's own suspicion of a peer that answered.
func (l *eventLoop) clearSuspicion(peer Peer) {
	if m, ok := l.table.members[peer.Name]; ok {
		m.suspicion = nil
	}
}

// dropPlaceholder removes the record of a seed under its address once the seed has answered with its name.
func (l *eventLoop) dropPlaceholder(result probeResult) {
	peer := result.probe.peer
	if peer.Name != result.answer.From.Name {
		delete(l.table.members, peer.Name)
	}
}

func (l *eventLoop) publish() {
	if !l.dirty {
		return
	}
	l.dirty = false
	next := &publishedView{self: l.table.self, live: l.table.live(), known: l.table.knownCount(time.Now())}
	former := l.manager.view.Swap(next)
	if !slices.Equal(former.live, next.live) {
		l.manager.notifySubscribers()
	}
}

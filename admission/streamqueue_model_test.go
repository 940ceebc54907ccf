package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// streamKind is a kind of offered streams.
type streamKind struct {
	priority  int
	objective time.Duration
	worth     float64
}

var (
	urgentKind = streamKind{priority: 0, objective: 4 * time.Second, worth: 26}
	bulkKind   = streamKind{priority: 2, objective: 10 * time.Second, worth: 6.7}
)

const (
	// modelTick is the time step of the modelled engines.
	modelTick      = 5 * time.Millisecond
	modelEngines   = 40
	engineSlots    = 12
	engineMemory   = 55_000
	streamPrompt   = 5000
	meanOutput     = 840
	eventTokens    = 6
	streamDeadline = 25 * time.Second
	// maxEventGap is the time between two events above which a stream is not on time.
	maxEventGap = 700 * time.Millisecond
	// maxEngineWait is the longest time to the first event at an engine that has room.
	maxEngineWait = 2500 * time.Millisecond
	urgentShare   = 39.2 / 65.7
)

// offeredStream is a stream that a caller wants, over all of its calls.
type offeredStream struct {
	at       time.Duration
	kind     streamKind
	customer string
	output   float64
	// patience is the time for which the caller makes further calls after refusals, retryEvery the time between them; 0 keeps to
	// Retry-After.
	patience, retryEvery time.Duration
	// prompt is the ID of the prompt; empty when unknown.
	prompt string

	calls int
	call  *modelCall // the last call
}

func (o *offeredStream) onTime() bool { return o.call != nil && o.call.onTime() }

// modelCall is one call of a caller.
type modelCall struct {
	offered              *offeredStream
	id                   string
	arrived              time.Duration
	queued               bool
	refused, done        bool
	retryAfter           time.Duration
	waited               time.Duration
	prefillLeft          float64
	prefilled            float64
	generated            float64
	sinceEvent           float64
	firstEvent, lastTime time.Duration
	gap                  time.Duration
}

func (c *modelCall) onTime() bool {
	return c.done && c.firstEvent-c.arrived <= c.offered.kind.objective && c.gap <= maxEventGap
}

func (c *modelCall) resident() float64 { return streamPrompt + c.generated }

// modelEngine prefills one prompt at a time, a chunk between two steps of its batch.
type modelEngine struct {
	available bool
	running   []*modelCall
	// waiting are the calls that the engine has accepted and that don't fit into its batch.
	waiting []*modelCall
}

func (e *modelEngine) prefillTokens() float64 {
	var tokens float64
	for _, call := range e.running {
		tokens += call.prefillLeft
	}
	for _, call := range e.waiting {
		tokens += call.prefillLeft
	}
	return tokens
}

func (e *modelEngine) prompts() int {
	count := len(e.waiting)
	for _, call := range e.running {
		if call.prefillLeft > 0 {
			count++
		}
	}
	return count
}

// hasRoom is the rule of requirement 9.
func (e *modelEngine) hasRoom(objective time.Duration) bool {
	streams := len(e.running) + len(e.waiting)
	if !e.available || streams >= engineSlots {
		return false
	}
	if float64(streams+1)*(streamPrompt+meanOutput/2) > 0.9*engineMemory {
		return false
	}
	firstEvent := time.Duration((e.prefillTokens() + streamPrompt) / 5 * float64(time.Millisecond))
	return firstEvent <= min(objective, maxEngineWait)
}

func (e *modelEngine) add(call *modelCall) { e.waiting = append(e.waiting, call) }

// advance runs the engine's batch for a tick that ends at now.
func (e *modelEngine) advance(now time.Duration) {
	const step, perStream, chunk, chunkTokens = 4.7, 0.027, 25.0, 125.0 // milliseconds, tokens
	var resident float64
	for _, call := range e.running {
		resident += call.resident()
	}
	for len(e.waiting) > 0 && len(e.running) < engineSlots && resident+e.waiting[0].resident() <= engineMemory {
		call := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, call)
		resident += call.resident()
	}
	if resident > engineMemory { // the last stream is preempted, and its tokens are prefilled again
		call := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		call.prefillLeft = call.resident()
		e.waiting = slices.Insert(e.waiting, 0, call)
	}
	prefilling := slices.IndexFunc(e.running, func(c *modelCall) bool { return c.prefillLeft > 0 })
	stepTime := step + perStream*float64(len(e.running))
	if prefilling >= 0 {
		stepTime += chunk
	}
	steps := modelTick.Seconds() * 1000 / stepTime
	for i, call := range e.running {
		if call.prefillLeft > 0 {
			if i == prefilling {
				tokens := min(call.prefillLeft, chunkTokens*steps)
				call.prefillLeft -= tokens
				call.prefilled += tokens
				if call.prefillLeft <= 0 {
					call.event(now)
				}
			}
			continue
		}
		call.generated += steps
		for call.sinceEvent += steps; call.sinceEvent >= eventTokens; call.sinceEvent -= eventTokens {
			call.event(now)
		}
		call.done = call.generated >= call.offered.output
	}
}

func (c *modelCall) event(now time.Duration) {
	if c.firstEvent == 0 {
		c.firstEvent = now
	} else {
		c.gap = max(c.gap, now-c.lastTime)
	}
	c.lastTime = now
}

// streamPolicy decides which streams wait; *StreamQueue and *specifiedQueue implement it.
type streamPolicy interface {
	Add(stream QueuedStream, streamsOf func(customer string) int) (refused bool, retryAfter time.Duration)
	Next(streamsOf func(customer string) int) (stream QueuedStream, ok bool)
	Remove(request string, admitted bool)
	Expired() (expired []QueuedStream, retryAfter time.Duration)
	Len() int
}

// streamModel plays offered streams through a policy and modelled engines.
type streamModel struct {
	now     time.Duration
	engines []*modelEngine
	// policy is nil where every stream is sent at once.
	policy  streamPolicy
	offered []*offeredStream
	calls   []*modelCall
	waiting map[string]*modelCall
	due     map[time.Duration][]*offeredStream
	inUse   map[string]int
	// unrecorded is set if streams that get room without waiting aren't recorded.
	unrecorded bool
	// atTick is called in each tick; nil for nothing.
	atTick func(*streamModel)
}

var modelBegin = time.Unix(1000, 0)

func newStreamModel(
	engines int, offered []*offeredStream, newPolicy func(options StreamQueueOptions) streamPolicy,
) *streamModel {
	m := &streamModel{
		offered: offered, waiting: map[string]*modelCall{}, due: map[time.Duration][]*offeredStream{}, inUse: map[string]int{},
	}
	if newPolicy != nil {
		m.policy = newPolicy(StreamQueueOptions{Now: func() time.Time { return modelBegin.Add(m.now) }, Seed: 1})
	}
	for range engines {
		m.engines = append(m.engines, &modelEngine{available: true})
	}
	for _, stream := range offered {
		m.schedule(stream, stream.at)
	}
	return m
}

func (m *streamModel) schedule(stream *offeredStream, at time.Duration) {
	at = at.Truncate(modelTick) + modelTick
	m.due[at] = append(m.due[at], stream)
}

// run plays until the time and until all calls have ended.
func (m *streamModel) run(until time.Duration) {
	for m.now < until || len(m.due) > 0 || len(m.waiting) > 0 || m.busy() {
		m.now += modelTick
		if m.atTick != nil {
			m.atTick(m)
		}
		for _, engine := range m.engines {
			engine.advance(m.now)
			engine.running = m.removeEnded(engine.running)
			engine.waiting = m.removeEnded(engine.waiting)
		}
		if m.policy != nil {
			m.serveQueue()
		}
		due := m.due[m.now]
		delete(m.due, m.now)
		for _, stream := range due {
			m.begin(stream)
		}
		if m.policy != nil {
			m.serveQueue()
		}
	}
}

func (m *streamModel) busy() bool {
	return slices.ContainsFunc(m.engines, func(e *modelEngine) bool { return len(e.running)+len(e.waiting) > 0 })
}

// removeEnded removes the calls that are complete or whose deadline has passed.
func (m *streamModel) removeEnded(calls []*modelCall) []*modelCall {
	remaining := calls[:0]
	for _, call := range calls {
		if call.done || m.now-call.arrived > streamDeadline {
			m.inUse[call.offered.customer]--
			continue
		}
		remaining = append(remaining, call)
	}
	return remaining
}

func (m *streamModel) streamsOf(customer string) int { return m.inUse[customer] }

func (m *streamModel) begin(stream *offeredStream) {
	stream.calls++
	call := &modelCall{offered: stream, arrived: m.now, prefillLeft: streamPrompt}
	call.id = fmt.Sprintf("%d", len(m.calls))
	stream.call = call
	m.calls = append(m.calls, call)
	if m.policy == nil {
		m.send(call, slices.MinFunc(m.engines, func(a, b *modelEngine) int {
			if a.available != b.available {
				return cmp.Compare(b.rank(), a.rank())
			}
			return cmp.Or(cmp.Compare(a.prompts(), b.prompts()), cmp.Compare(len(a.running), len(b.running)))
		}))
		return
	}
	if engine := m.engineWithRoom(stream.kind.objective); m.policy.Len() == 0 && engine != nil {
		m.send(call, engine)
		if queue, ok := m.policy.(*StreamQueue); ok && !m.unrecorded {
			queue.RecordPlaced(stream.kind.priority, stream.customer)
		}
		return
	}
	refused, after := m.policy.Add(QueuedStream{
		Request: call.id, Customer: stream.customer, Prompt: stream.prompt, Priority: stream.kind.priority, Arrived: modelBegin.Add(m.now),
		Objective: stream.kind.objective, Deadline: modelBegin.Add(m.now + streamDeadline),
	}, m.streamsOf)
	if refused {
		m.refuse(call, after)
		return
	}
	call.queued = true
	m.waiting[call.id] = call
}

func (e *modelEngine) rank() int {
	if e.available {
		return 1
	}
	return 0
}

func (m *streamModel) engineWithRoom(objective time.Duration) *modelEngine {
	var best *modelEngine
	lowest := math.Inf(1)
	for _, engine := range m.engines {
		if !engine.hasRoom(objective) {
			continue
		}
		if cost := engine.prefillTokens() + 300*float64(len(engine.running)); cost < lowest {
			best, lowest = engine, cost
		}
	}
	return best
}

func (m *streamModel) send(call *modelCall, engine *modelEngine) {
	call.waited = m.now - call.arrived
	engine.add(call)
	m.inUse[call.offered.customer]++
}

func (m *streamModel) refuse(call *modelCall, after time.Duration) {
	call.refused, call.waited = true, m.now-call.arrived
	stream := call.offered
	call.retryAfter = after
	if stream.retryEvery > 0 {
		after = stream.retryEvery
	}
	if m.now+after <= stream.at+stream.patience {
		m.schedule(stream, m.now+after)
	}
}

func (m *streamModel) serveQueue() {
	expired, after := m.policy.Expired()
	for _, stream := range expired {
		if queue, ok := m.policy.(*StreamQueue); ok {
			after = queue.RetryAfter(stream)
		}
		call := m.waiting[stream.Request]
		delete(m.waiting, stream.Request)
		m.refuse(call, after)
	}
	for m.policy.Len() > 0 && m.engineWithRoom(bulkKind.objective) != nil {
		stream, ok := m.policy.Next(m.streamsOf)
		if !ok {
			return
		}
		engine := m.engineWithRoom(stream.Objective)
		if engine == nil {
			return
		}
		m.policy.Remove(stream.Request, true)
		m.send(m.waiting[stream.Request], engine)
		delete(m.waiting, stream.Request)
	}
}

// streamResult sums up a run for one kind.
type streamResult struct {
	offered, onTime, late, refused, failed int
	maxWait                                time.Duration
	queued                                 int
}

func (r streamResult) share() float64 { return float64(r.onTime) / float64(max(r.offered, 1)) }

// plus adds up the results of two runs.
func (r streamResult) plus(other streamResult) streamResult {
	return streamResult{
		offered: r.offered + other.offered, onTime: r.onTime + other.onTime, late: r.late + other.late, refused: r.refused + other.refused,
		failed: r.failed + other.failed, maxWait: max(r.maxWait, other.maxWait), queued: r.queued + other.queued,
	}
}

func (r streamResult) String() string {
	return fmt.Sprintf("%.3f on time, %.3f late, %.3f refused, %.3f failed of %d, %d queued, at most %v",
		r.share(), float64(r.late)/float64(max(r.offered, 1)), float64(r.refused)/float64(max(r.offered, 1)),
		float64(r.failed)/float64(max(r.offered, 1)), r.offered, r.queued, r.maxWait)
}

// result sums up the offered streams for which selected is true.
func (m *streamModel) result(selected func(*offeredStream) bool) streamResult {
	var r streamResult
	for _, stream := range m.offered {
		if !selected(stream) {
			continue
		}
		r.offered++
		switch call := stream.call; {
		case call.onTime():
			r.onTime++
		case call.done:
			r.late++
		case call.refused:
			r.refused++
		default:
			r.failed++
		}
	}
	for _, call := range m.calls {
		if selected(call.offered) {
			r.maxWait = max(r.maxWait, call.waited)
			if call.queued {
				r.queued++
			}
		}
	}
	return r
}

func ofKind(kind streamKind) func(*offeredStream) bool {
	return func(o *offeredStream) bool { return o.kind == kind }
}

// worth is the worth of the streams on time.
func (m *streamModel) worth() float64 {
	var worth float64
	for _, stream := range m.offered {
		if stream.onTime() {
			worth += stream.kind.worth
		}
	}
	return worth
}

// wastedTokens are the prompt tokens that were prefilled for calls that ended late or not at all.
func (m *streamModel) wastedTokens() float64 {
	var tokens float64
	for _, call := range m.calls {
		if !call.onTime() {
			tokens += call.prefilled
		}
	}
	return tokens
}

// drawStreams draws streams of one kind with exponential times between them, from ten customers.
func drawStreams(random *rand.Rand, kind streamKind, perSecond float64, from, until time.Duration) []*offeredStream {
	var streams []*offeredStream
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return streams
		}
		streams = append(streams, &offeredStream{
			at: at, kind: kind, output: meanOutput * (0.6 + 0.8*random.Float64()), customer: fmt.Sprintf("customer-%d", random.IntN(10)),
		})
	}
}

// drawMix draws streams of both kinds in the shares of the deployment.
func drawMix(random *rand.Rand, perSecond float64, length time.Duration) []*offeredStream {
	return append(drawStreams(random, urgentKind, perSecond*urgentShare, 0, length),
		drawStreams(random, bulkKind, perSecond*(1-urgentShare), 0, length)...)
}

// specifiedQueue orders streams by the rules that the requirements first had: a stream is raised by one priority for each half of its
// objective, then the time left decides, and it waits until its first event would miss three times its objective.
type specifiedQueue struct {
	now      func() time.Time
	random   *rand.Rand
	streams  []QueuedStream
	admitted []time.Time
}

func newSpecifiedQueue(options StreamQueueOptions) streamPolicy {
	return &specifiedQueue{now: options.Now, random: rand.New(rand.NewPCG(options.Seed, 3))}
}

func (q *specifiedQueue) compare(streamsOf func(string) int) func(a, b QueuedStream) int {
	raised := func(s QueuedStream) int { return s.Priority - int(q.now().Sub(s.Arrived)/(s.Objective/2)) }
	return func(a, b QueuedStream) int {
		return cmp.Or(cmp.Compare(max(raised(a), 0), max(raised(b), 0)), a.Arrived.Add(a.Objective).Compare(b.Arrived.Add(b.Objective)),
			cmp.Compare(streamsOf(a.Customer), streamsOf(b.Customer)))
	}
}

func (q *specifiedQueue) limit(s QueuedStream) time.Duration {
	return min(3*s.Objective-time.Second, s.Deadline.Sub(s.Arrived)-2*time.Second)
}

func (q *specifiedQueue) rate() float64 {
	q.admitted = slices.DeleteFunc(q.admitted, func(at time.Time) bool { return q.now().Sub(at) > 5*time.Second })
	return float64(len(q.admitted)+1) / 5
}

func (q *specifiedQueue) Add(stream QueuedStream, streamsOf func(string) int) (bool, time.Duration) {
	ahead := 0
	order := q.compare(streamsOf)
	for _, other := range q.streams {
		if order(other, stream) <= 0 {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead) / q.rate() * float64(time.Second))
	if len(q.admitted) > 0 && wait > q.limit(stream) {
		return true, q.after(wait)
	}
	q.streams = append(q.streams, stream)
	return false, 0
}

func (q *specifiedQueue) after(wait time.Duration) time.Duration {
	return min(max(time.Duration((0.75+0.5*q.random.Float64())*float64(wait)), 200*time.Millisecond), 8*time.Second)
}

func (q *specifiedQueue) Next(streamsOf func(string) int) (QueuedStream, bool) {
	if len(q.streams) == 0 {
		return QueuedStream{}, false
	}
	return slices.MinFunc(q.streams, q.compare(streamsOf)), true
}

func (q *specifiedQueue) Remove(request string, admitted bool) {
	if admitted {
		q.admitted = append(q.admitted, q.now())
	}
	q.streams = slices.DeleteFunc(q.streams, func(s QueuedStream) bool { return s.Request == request })
}

func (q *specifiedQueue) Expired() (expired []QueuedStream, retryAfter time.Duration) {
	q.streams = slices.DeleteFunc(q.streams, func(s QueuedStream) bool {
		ended := q.now().Sub(s.Arrived) > q.limit(s)
		if ended {
			expired = append(expired, s)
		}
		return ended
	})
	return expired, q.after(time.Duration(float64(len(q.streams)) / q.rate() * float64(time.Second)))
}

func (q *specifiedQueue) Len() int { return len(q.streams) }

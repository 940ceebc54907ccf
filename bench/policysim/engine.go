package policysim

import (
	"container/list"
	"time"

	"github.com/azurebarrow/azurebarrow/routing"
)

// EngineModel holds the parameters of a modelled engine: speeds, concurrency, queue and cache size.
type EngineModel struct {
	// Slots is the maximum number of streams that run at once; further ones are queued.
	Slots int
	// PrefillBytesPerSecond is the speed of prefill; prompts are prefilled one at a time.
	PrefillBytesPerSecond float64
	// PrefillBase is the fixed part of the prefill time of each prompt.
	PrefillBase time.Duration
	// TokenTime is the time to generate one token on an idle engine.
	TokenTime time.Duration
	// FullSlowdown is the fraction by which TokenTime grows when all slots are in use; with fewer
	// streams it grows in proportion.
	FullSlowdown float64
	// QueueLimit is the maximum number of queued streams, 0 for no limit. The engine refuses further
	// ones.
	QueueLimit int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
}

// DefaultEngineModel returns the parameters that the experiments use.
func DefaultEngineModel() EngineModel {
	return EngineModel{
		Slots:                 16,
		PrefillBytesPerSecond: 40_000,
		PrefillBase:           20 * time.Millisecond,
		TokenTime:             15 * time.Millisecond,
		FullSlowdown:          0.1,
		CacheBlocks:           1500,
	}
}

// Work is one request submitted to an engine.
type Work struct {
	Prefixes    []routing.PrefixHash
	PromptBytes int
	Tokens      int
	// Priority orders the engine's queue: the highest first, equal ones in order of arrival.
	Priority int
	// FirstToken is called when the first token is generated, Done when the stream ends.
	FirstToken, Done func()
}

// Engine models an inference engine with continuous batching and a prefix cache.
type Engine struct {
	model   EngineModel
	clock   *Clock
	running int
	queue   []*Work
	// prefillBusyUntil is when the prefill of all prompts started so far ends.
	prefillBusyUntil time.Time
	cache            blockCache
	sequence         uint64
	events           []routing.CacheEvent
	// PrefillBytes and CachedBytes sum the bytes of prompts that were prefilled and that were found
	// in the cache.
	PrefillBytes, CachedBytes float64
	// busy is the load (running and queued streams) summed over time, in stream-seconds.
	busy       float64
	lastChange time.Time
}

// NewEngine returns an idle engine.
func NewEngine(clock *Clock, model EngineModel) *Engine {
	return &Engine{model: model, clock: clock, cache: newBlockCache(), lastChange: clock.Now()}
}

// Load returns the numbers of running and queued streams.
func (e *Engine) Load() (running, queued int) { return e.running, len(e.queue) }

// CachedBlocks returns how many blocks from the start of the prompt are in the cache without a gap.
func (e *Engine) CachedBlocks(prefixes []routing.PrefixHash) int {
	blocks := 0
	for blocks < len(prefixes) && e.cache.has(prefixes[blocks]) {
		blocks++
	}
	return blocks
}

// ResetSums sets PrefillBytes, CachedBytes and the load sum to zero at the end of a warm-up.
func (e *Engine) ResetSums() {
	e.updateBusy()
	e.PrefillBytes, e.CachedBytes, e.busy = 0, 0, 0
}

// LoadSeconds returns the load (running and queued streams) summed over time, in stream-seconds.
func (e *Engine) LoadSeconds() float64 {
	e.updateBusy()
	return e.busy
}

// updateBusy adds to busy the load since the last call. It is called before each change of the load.
func (e *Engine) updateBusy() {
	now := e.clock.Now()
	e.busy += now.Sub(e.lastChange).Seconds() * float64(e.running+len(e.queue))
	e.lastChange = now
}

// Submit starts or queues w. It reports false when the queue is full and the engine refuses w.
func (e *Engine) Submit(w *Work) bool {
	e.updateBusy()
	if e.running < e.model.Slots {
		e.start(w)
		return true
	}
	if e.model.QueueLimit > 0 && len(e.queue) >= e.model.QueueLimit {
		return false
	}
	at := len(e.queue)
	for at > 0 && e.queue[at-1].Priority < w.Priority {
		at--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = w
	return true
}

// start prefills the uncached part of the prompt after the prompts before it, then decodes.
func (e *Engine) start(w *Work) {
	e.running++
	cached := float64(e.CachedBlocks(w.Prefixes) * routing.PrefixBlockBytes)
	uncached := float64(w.PromptBytes) - cached
	e.CachedBytes += cached
	e.PrefillBytes += uncached
	e.cachePrefixes(w.Prefixes)
	begin := e.clock.Now()
	if e.prefillBusyUntil.After(begin) {
		begin = e.prefillBusyUntil
	}
	seconds := uncached / e.model.PrefillBytesPerSecond
	e.prefillBusyUntil = begin.Add(e.model.PrefillBase + time.Duration(seconds*float64(time.Second)))
	first := e.prefillBusyUntil.Sub(e.clock.Now())
	slow := 1 + e.model.FullSlowdown*float64(e.running)/float64(e.model.Slots)
	decode := time.Duration(float64(w.Tokens) * slow * float64(e.model.TokenTime))
	e.clock.After(first, w.FirstToken)
	e.clock.After(first+decode, func() { e.finish(w) })
}

func (e *Engine) finish(w *Work) {
	e.updateBusy()
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
	w.Done()
}

// cachePrefixes puts the blocks of a prompt into the cache and evicts those beyond its capacity.
func (e *Engine) cachePrefixes(prefixes []routing.PrefixHash) {
	// The last block is added first, so that the first blocks of the prompt are the most recently used
	// and are evicted last.
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e.cache.touch(prefixes[i]) {
			e.publish(routing.CacheAdded, prefixes[i])
		}
	}
	for e.cache.size() > e.model.CacheBlocks {
		e.publish(routing.CacheEvicted, e.cache.evict())
	}
}

func (e *Engine) publish(kind routing.CacheEventKind, prefix routing.PrefixHash) {
	e.sequence++
	e.events = append(e.events, routing.CacheEvent{Sequence: e.sequence, Kind: kind, Prefix: prefix})
}

// blockCache is an LRU cache of prefix blocks.
type blockCache struct {
	// order has the most recently used block at the front.
	order   *list.List
	entries map[routing.PrefixHash]*list.Element
}

func newBlockCache() blockCache {
	return blockCache{order: list.New(), entries: map[routing.PrefixHash]*list.Element{}}
}

func (c *blockCache) has(hash routing.PrefixHash) bool {
	_, ok := c.entries[hash]
	return ok
}

func (c *blockCache) size() int { return len(c.entries) }

// touch makes the block the most recently used and reports whether it was added.
func (c *blockCache) touch(hash routing.PrefixHash) bool {
	if element, ok := c.entries[hash]; ok {
		c.order.MoveToFront(element)
		return false
	}
	c.entries[hash] = c.order.PushFront(hash)
	return true
}

// evict removes and returns the least recently used block.
func (c *blockCache) evict() routing.PrefixHash {
	element := c.order.Back()
	hash := c.order.Remove(element).(routing.PrefixHash)
	delete(c.entries, hash)
	return hash
}

// all returns the blocks, the least recently used first.
func (c *blockCache) all() []routing.PrefixHash {
	hashes := make([]routing.PrefixHash, 0, len(c.entries))
	for element := c.order.Back(); element != nil; element = element.Prev() {
		hashes = append(hashes, element.Value.(routing.PrefixHash))
	}
	return hashes
}

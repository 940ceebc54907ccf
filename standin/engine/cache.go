package engine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// prefixBlockBytes is the size of one cached block of a prompt.
	prefixBlockBytes = 256
	// maxCacheEvents limits the events kept for GET /v1/cache/events.
	maxCacheEvents = 8192
)

// CacheEvent is the addition or eviction of one block of the prefix cache.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`

	visibleAt time.Time
}

// Kinds of cache events.
const (
	cacheAdded   = "added"
	cacheEvicted = "evicted"
)

// prefixCache is an LRU cache of prompt prefixes, in blocks keyed by the hash of the prompt up to the
// block's end. It is not safe for concurrent use.
type prefixCache struct {
	blocks     *lru.LRU[uint64, struct{}]
	sequence   int64
	events     []CacheEvent
	eventDelay time.Duration
	lossShare  float64
	random     *rand.Rand
}

func newPrefixCache(options Options, random *rand.Rand) *prefixCache {
	cache := &prefixCache{eventDelay: options.EventDelay, lossShare: options.EventLossFraction, random: random}
	size := max(1, options.CacheBytes/prefixBlockBytes)
	evicted := func(hash uint64, _ struct{}) { cache.recordEvent(cacheEvicted, hash) }
	cache.blocks, _ = lru.NewLRU(size, evicted) // fails only for sizes below 1
	return cache
}

// lookupAndAdd returns the length of the cached prefix of prompt in bytes, and adds the missing blocks.
func (c *prefixCache) lookupAndAdd(prompt string) int {
	cached := 0
	contiguous := true
	digest := xxhash.New()
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-prefixBlockBytes : end])
		hash := digest.Sum64()
		if _, hit := c.blocks.Get(hash); hit {
			if contiguous {
				cached = end
			}
			continue
		}
		contiguous = false
		c.blocks.Add(hash, struct{}{})
		c.recordEvent(cacheAdded, hash)
	}
	return cached
}

// recordEvent appends an event that becomes visible after eventDelay. A share of events is lost: only
// the gap in the sequence numbers shows it.
func (c *prefixCache) recordEvent(kind string, hash uint64) {
	c.sequence++
	if c.random.Float64() < c.lossShare {
		return
	}
	event := CacheEvent{
		Sequence:  c.sequence,
		Kind:      kind,
		Prefix:    formatHash(hash),
		visibleAt: time.Now().Add(c.eventDelay),
	}
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// eventsAfter returns the visible events after a sequence number, and the sequence number of the last
// visible event.
func (c *prefixCache) eventsAfter(sequence int64) ([]CacheEvent, int64) {
	now := time.Now()
	last := int64(0)
	found := []CacheEvent{}
	for _, event := range c.events {
		if event.visibleAt.After(now) {
			break
		}
		last = event.Sequence
		if event.Sequence > sequence {
			found = append(found, event)
		}
	}
	return found, last
}

func (c *prefixCache) prefixes() []string {
	hashes := c.blocks.Keys()
	list := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		list = append(list, formatHash(hash))
	}
	return list
}

func (c *prefixCache) bytes() int { return c.blocks.Len() * prefixBlockBytes }

func formatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

package directory

import "time"

const (
	// feedBytesPerSecond limits what an entry's feed sends to all other entries together. It is a fifth of the
	// slowest links of the users' VMs (10 Mbit/s), which callers' streams share.
	feedBytesPerSecond = 256 << 10
	// feedBurstBytes is what a feed may send at once.
	feedBurstBytes = feedBytesPerSecond / 2
	// smallAnswerBytes is the size up to which an answer is always sent: a few changes of targets, which
	// all other entries must learn of in time.
	smallAnswerBytes = 4 << 10
)

// feedBudget is a token bucket for the bytes that a feed sends. It serves the case that an object of some
// hundred kilobytes changes while dozens of entries follow the feed. It is not safe for concurrent use.
type feedBudget struct {
	bytes   float64
	updated time.Time
}

// take reports whether an answer of the given size may be sent now, and charges it if so. readerHasStore tells
// that the reader can read the store instead, whose link is faster than that of any entry. For other
// readers the budget may go into debt by one answer, so that they get one of any size in turn.
func (b *feedBudget) take(size int, readerHasStore bool, now time.Time) bool {
	if b.updated.IsZero() {
		b.bytes = feedBurstBytes
	} else {
		b.bytes = min(feedBurstBytes, b.bytes+now.Sub(b.updated).Seconds()*feedBytesPerSecond)
	}
	b.updated = now
	allowed := b.bytes > 0
	if readerHasStore {
		allowed = b.bytes >= float64(size)
	}
	if !allowed {
		return size <= smallAnswerBytes // without charge: a wave of them would starve readers without the store
	}
	b.bytes -= float64(size)
	return true
}

package membership

import (
	"math/bits"
	"sort"
	"time"
)

// retransmitFactor times the binary logarithm of the number of entries is the number of times that one
// update is sent.
const retransmitFactor = 3

// urgentReserveBytes is the part of the available gossip bytes that only updates about entries that died or
// left may use: without it, the joins of a starting fleet would delay them. It holds 32 deaths.
const urgentReserveBytes = 32 * fingerprintBytes

// tokenBucket limits bytes or messages per second; it holds at most the tokens of one second.
type tokenBucket struct {
	perSecond float64
	available float64
	refilled  time.Time
}

// limit refills the bucket and returns how many of the wanted units may be spent now.
func (b *tokenBucket) limit(now time.Time, wanted int) int {
	b.available += now.Sub(b.refilled).Seconds() * b.perSecond
	b.available = min(b.available, b.perSecond)
	b.refilled = now
	return max(0, min(wanted, int(b.available)))
}

func (b *tokenBucket) spend(units int) { b.available -= float64(units) }

// update is a delta or a notice that this entry passes on to others.
type update struct {
	key    string
	delta  *Delta
	notice *Notice
	bytes  int
	sent   int
	// first reports that the update is sent before others.
	first bool
}

// updateQueue holds the updates that this entry still passes on, at most one per subject.
type updateQueue struct {
	byKey map[string]*update
}

func newUpdateQueue() updateQueue { return updateQueue{byKey: map[string]*update{}} }

func (q *updateQueue) addDelta(delta Delta) {
	key := "peer/" + delta.Peer.Name
	bytes := delta.encodedBytes()
	if delta.State == StateDead {
		bytes = fingerprintBytes
	}
	q.byKey[key] = &update{key: key, delta: &delta, bytes: bytes}
}

// addNotice adds a notice; first puts it before other updates, however often it was sent.
func (q *updateQueue) addNotice(notice Notice, first bool) {
	key := noticeKey(notice)
	q.byKey[key] = &update{key: key, notice: &notice, bytes: notice.encodedBytes(), first: first}
}

func noticeKey(notice Notice) string { return "notice/" + string(notice.Kind) + "/" + notice.Subject }

// fillMessage adds the updates that go first, then the least sent ones, to message, up to maxBytes, and returns the bytes used. It counts
// the updates as sent and removes those that were sent often enough for the given number of entries.
func (q *updateQueue) fillMessage(message *Message, maxBytes, members int) (used int) {
	limit := retransmitFactor * bits.Len(uint(members))
	for _, item := range q.leastSentFirst() {
		allowed := maxBytes
		if !item.urgent() {
			allowed -= urgentReserveBytes
		}
		if used+item.bytes > allowed {
			continue
		}
		used += item.bytes
		item.addTo(message)
		item.sent++
		if item.sent >= limit {
			delete(q.byKey, item.key)
		}
	}
	return used
}

// urgent reports whether the update is about an entry that died or left.
func (u *update) urgent() bool { return u.delta != nil && u.delta.State >= StateDead }

func (u *update) addTo(message *Message) {
	switch {
	case u.notice != nil:
		message.Notices = append(message.Notices, *u.notice)
	case u.delta.State == StateDead:
		message.Dead = append(message.Dead, fingerprintOf(u.delta.Peer))
	default:
		message.Deltas = append(message.Deltas, *u.delta)
	}
}

func (q *updateQueue) leastSentFirst() []*update {
	if len(q.byKey) == 0 {
		return nil
	}
	list := make([]*update, 0, len(q.byKey))
	for _, item := range q.byKey {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].first != list[j].first {
			return list[i].first
		}
		if list[i].sent != list[j].sent {
			return list[i].sent < list[j].sent
		}
		return list[i].key < list[j].key
	})
	return list
}

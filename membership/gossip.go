package membership

import (
	"math/bits"
	"sort"
	"time"
)

// retransmitFactor times the logarithm of the fleet's size is how often one delta is sent.
const retransmitFactor = 3

// urgentReserveBytes is the part of a second's gossip that only news of entries that are gone may use:
// without it the joins of a fleet that starts hold such news up. It carries 32 deaths.
const urgentReserveBytes = 32 * fingerprintBytes

// budget is a token bucket of bytes or messages that holds a second's worth.
type budget struct {
	perSecond float64
	available float64
	filled    time.Time
}

// take refills the bucket and returns how many of the wanted units may be used.
func (b *budget) take(now time.Time, wanted int) int {
	b.available += now.Sub(b.filled).Seconds() * b.perSecond
	b.available = min(b.available, b.perSecond)
	b.filled = now
	return max(0, min(wanted, int(b.available)))
}

func (b *budget) spend(units int) { b.available -= float64(units) }

// rumor is a delta or a notice on its way to other entries.
type rumor struct {
	key    string
	delta  *Delta
	notice *Notice
	bytes  int
	sent   int
}

// rumors holds the news that this entry still passes on; at most one of each subject.
type rumors struct {
	byKey map[string]*rumor
}

func newRumors() rumors { return rumors{byKey: map[string]*rumor{}} }

func (r *rumors) addDelta(delta Delta) {
	key := "peer/" + delta.Peer.Name
	bytes := delta.encodedBytes()
	if delta.State == StateDead {
		bytes = fingerprintBytes
	}
	r.byKey[key] = &rumor{key: key, delta: &delta, bytes: bytes}
}

func (r *rumors) addNotice(notice Notice) {
	key := noticeKey(notice)
	r.byKey[key] = &rumor{key: key, notice: &notice, bytes: notice.encodedBytes()}
}

func noticeKey(notice Notice) string { return "notice/" + string(notice.Kind) + "/" + notice.Subject }

// pick adds the least sent rumors to message, up to maxBytes, counts them as sent, drops those that were
// sent often enough for a fleet of the given size, and returns the bytes used.
func (r *rumors) pick(message *Message, maxBytes, fleet int) (used int) {
	limit := retransmitFactor * bits.Len(uint(fleet))
	for _, rumor := range r.ordered() {
		allowed := maxBytes
		if !rumor.urgent() {
			allowed -= urgentReserveBytes
		}
		if used+rumor.bytes > allowed {
			continue
		}
		used += rumor.bytes
		rumor.addTo(message)
		rumor.sent++
		if rumor.sent >= limit {
			delete(r.byKey, rumor.key)
		}
	}
	return used
}

// urgent tells whether r says that an entry is gone.
func (r *rumor) urgent() bool { return r.delta != nil && r.delta.State >= StateDead }

func (r *rumor) addTo(message *Message) {
	switch {
	case r.notice != nil:
		message.Notices = append(message.Notices, *r.notice)
	case r.delta.State == StateDead:
		message.Dead = append(message.Dead, fingerprintOf(r.delta.Peer))
	default:
		message.Deltas = append(message.Deltas, *r.delta)
	}
}

func (r *rumors) ordered() []*rumor {
	if len(r.byKey) == 0 {
		return nil
	}
	list := make([]*rumor, 0, len(r.byKey))
	for _, rumor := range r.byKey {
		list = append(list, rumor)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].sent != list[j].sent {
			return list[i].sent < list[j].sent
		}
		return list[i].key < list[j].key
	})
	return list
}

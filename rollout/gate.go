package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxShareAge is the age beyond which an entry no longer acts on a share: it may have been lowered since.
const MaxShareAge = time.Second

// MaxDrainShareAge is MaxShareAge in the stage Drain. A rollout succeeds on reports that are up to MaxShareAge old, and writing its status
// takes time; an entry that goes back to the old version before it knows would send requests to targets that stop.
const MaxDrainShareAge = 3 * time.Second

// Gate decides for each request at one entry whether it may go to the new version. It counts requests instead of
// drawing at random, so that many entries together stay within the share.
type Gate struct {
	share float64
	asOf  time.Time
	// maxAge is the age beyond which the share lets nothing through.
	maxAge time.Duration
	// credit is the sum of the shares of the requests seen, minus the requests sent to the new version.
	credit     float64
	seen, sent int64
}

// NewGate returns a gate that lets nothing through yet. The name of the entry and the order determine which of
// its requests is the first one let through: entries differ, so that few requests in all stay close to the share.
func NewGate(entry string, order Order) *Gate {
	hash := xxhash.New()
	for _, part := range []string{entry, order.Service, order.To, order.Ordered.UTC().Format(time.RFC3339Nano)} {
		_, _ = hash.WriteString(part + "\x00")
	}
	// Starting with a credit of 0, the entries that see few requests would send none. Starting with 1, each
	// would send its first one: 300 at once. Spread over [0, 1), the roundings of many entries cancel out.
	return &Gate{maxAge: MaxShareAge, credit: float64(hash.Sum64()>>11) / (1 << 53)}
}

// SetShare records the share that the coordinator told. asOf is the time at which the entry sent the report that
// the share is the answer to. A share that is older than the one known is ignored.
func (g *Gate) SetShare(asOf time.Time, share float64) {
	if asOf.Before(g.asOf) {
		return
	}
	g.asOf, g.share = asOf, min(max(share, 0), 1)
}

// SetStage records the stage in which the share holds.
func (g *Gate) SetStage(stage Stage) {
	g.maxAge = MaxShareAge
	if stage == Drain {
		g.maxAge = MaxDrainShareAge
	}
}

// Allow counts a new request of the service and reports whether it may go to the new version. With true it counts
// as sent there.
func (g *Gate) Allow(now time.Time) bool {
	g.seen++
	if !g.Open(now) {
		return false
	}
	if g.share < 1 {
		g.credit += g.share
		if g.credit < 1 {
			return false
		}
		g.credit--
	}
	g.sent++
	return true
}

// Open reports whether any request may go to the new version: the share known is not 0, and recent enough.
func (g *Gate) Open(now time.Time) bool { return g.share > 0 && now.Sub(g.asOf) <= g.maxAge }

// AddSent counts a request that went to the new version without Allow: a retry, hedge, resumed stream or request
// for a peer. It takes the place of a later one.
func (g *Gate) AddSent() {
	g.sent++
	g.credit--
}

// Revoke takes back an Allow whose request did not go to the new version.
func (g *Gate) Revoke() {
	g.sent--
	// With more than 1, requests that could not be sent would be made up for by several in a row.
	g.credit = min(g.credit+1, 1)
}

// Counts returns the new requests seen and the requests sent to the new version.
func (g *Gate) Counts() (seen, sent int64) { return g.seen, g.sent }

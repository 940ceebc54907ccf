package rollout

import "time"

// MaxShareAge is the age beyond which an entry no longer acts on a share: it may have been lowered since.
const MaxShareAge = time.Second

// Gate decides for each request at one entry whether it may go to the new version. It counts requests instead of
// drawing at random, so that many entries together stay within the share.
type Gate struct{}

// NewGate returns a gate that lets nothing through yet. The name of the entry and the order determine which of
// its requests is the first one let through: entries differ, so that few requests in all stay close to the share.
func NewGate(entry string, order Order) *Gate { return &Gate{} }

// SetShare records the share that the coordinator told. asOf is the time at which the entry sent the report that
// the share is the answer to.
func (g *Gate) SetShare(asOf time.Time, share float64) { panic("not built yet") }

// Allow counts a new request of the service and reports whether it may go to the new version. With true it counts
// as sent there.
func (g *Gate) Allow(now time.Time) bool { panic("not built yet") }

// AddSent counts a request that went to the new version without Allow: a retry, hedge, resumed stream or request
// for a peer. It takes the place of a later one.
func (g *Gate) AddSent() { panic("not built yet") }

// Revoke takes back an Allow whose request did not go to the new version.
func (g *Gate) Revoke() { panic("not built yet") }

// Counts returns the new requests seen and the requests sent to the new version.
func (g *Gate) Counts() (seen, sent int64) { panic("not built yet") }

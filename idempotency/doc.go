// Package idempotency keeps a ledger of idempotency records, so that a call that must not be
// repeated runs at most once, whichever entry receives it.
//
// The ledger is split into shards by a hash of the request key. A shard consists of one head object
// in the platform's object store, which is written by conditional update only, and of the immutable
// archive objects that the head lists. A claim is valid once a write of the head that contains it
// has succeeded. Of two writers that start from the same revision at most one succeeds, even if one
// of them was paused in between, so safety depends on neither a lease nor a clock. One entry at a
// time, the shard owner, writes the head, so that one write carries every claim queued for the
// shard.
package idempotency

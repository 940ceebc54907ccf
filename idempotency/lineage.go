package idempotency

import (
	"context"
	"errors"

	"github.com/azurebarrow/azurebarrow/objects"
)

// maxLineage is the number of former heads that an owner recognises: 20 s of writes at the rate that the platform takes.
const maxLineage = 4096

// lineage holds the nonces of the head that an owner loaded and of those that it has written since. What one of these heads holds,
// the owner knows.
type lineage struct {
	nonces map[string]bool
	order  []string
}

// add records the nonce of a head, and forgets the oldest one beyond maxLineage.
func (l *lineage) add(nonce string) {
	if l.nonces == nil {
		l.nonces = map[string]bool{}
	}
	l.nonces[nonce] = true
	l.order = append(l.order, nonce)
	if len(l.order) > maxLineage {
		delete(l.nonces, l.order[0])
		l.order = l.order[1:]
	}
}

// isFormer reports whether the head that the platform has now, at a revision below that of the owner's last write, is one that this
// owner loaded or wrote earlier, or precedes the first one. The platform has then come back from an older copy, and what this entry
// told others since exists only here.
func (o *shardOwner) isFormer(ctx context.Context, revision int64) bool {
	if revision == objects.MustNotExist {
		return true
	}
	object, err := o.getObject(ctx, KindHead, HeadName(o.shardNumber))
	if err != nil || object.Revision != revision {
		return false
	}
	head, err := DecodeHead(object.Value, o.shardNumber, o.options.Shards)
	return err == nil && o.lineage.nonces[head.Nonce]
}

// putHeadAgain writes a head over a former one if the platform has come back from an older copy, and otherwise returns the conflict.
func (o *shardOwner) putHeadAgain(ctx context.Context, expected int64, value []byte, conflict error) (objects.Object, error) {
	var present *objects.ConflictError
	if !errors.As(conflict, &present) || present.Present >= expected || !o.isFormer(ctx, present.Present) {
		return objects.Object{}, conflict
	}
	object, err := o.options.Store.Put(ctx, KindHead, HeadName(o.shardNumber), present.Present, value)
	if err == nil {
		o.options.Observe(Event{Kind: EventRestored, Shard: o.shardNumber})
	}
	return object, err
}

package idempotency

import (
	"context"
	"errors"
	"fmt"

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

// putHeadAgain handles the conflict of a write with a head below the revision of the owner's last write. If the platform was restored
// from an older copy, that head is one that this owner loaded or wrote earlier, or there is none: what this entry told others since exists
// only here, and the value is written over it. If it is the value itself, an earlier write succeeded and its reply was lost. Any other
// head is of another line, and the conflict is returned. An error that wraps objects.ErrUnavailable leaves open which it is.
func (o *shardOwner) putHeadAgain(ctx context.Context, expected int64, value []byte, conflict error) (objects.Object, error) {
	var present *objects.ConflictError
	if !errors.As(conflict, &present) || present.Present >= expected {
		return objects.Object{}, conflict
	}
	if present.Present != objects.MustNotExist {
		object, nonce, err := o.readNonce(ctx, present.Present)
		switch {
		case err != nil:
			return objects.Object{}, err
		case nonce == o.nonceOf(value):
			return object, nil
		case !o.lineage.nonces[nonce]:
			return objects.Object{}, conflict
		}
	}
	object, err := o.options.Store.Put(ctx, KindHead, HeadName(o.shardNumber), present.Present, value)
	if objects.IsConflict(err) {
		return objects.Object{}, fmt.Errorf("%w: the head changed while it was written again", objects.ErrUnavailable)
	}
	if err == nil {
		o.options.Observe(Event{Kind: EventRestored, Shard: o.shardNumber})
	}
	return object, err
}

// readNonce reads the head at a revision and returns its nonce; empty if its content is damaged.
func (o *shardOwner) readNonce(ctx context.Context, revision int64) (objects.Object, string, error) {
	object, err := o.getObject(ctx, KindHead, HeadName(o.shardNumber))
	if err == nil && object.Revision != revision {
		err = fmt.Errorf("the head is at revision %d, want %d", object.Revision, revision)
	}
	if err != nil {
		return objects.Object{}, "", fmt.Errorf("%w: %w", objects.ErrUnavailable, err)
	}
	return object, o.nonceOf(object.Value), nil
}

// nonceOf returns the nonce of an encoded head; empty if it can't be decoded.
func (o *shardOwner) nonceOf(value []byte) string {
	head, err := DecodeHead(value, o.shardNumber, o.options.Shards)
	if err != nil {
		return ""
	}
	return head.Nonce
}

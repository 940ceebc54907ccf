package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
)

// slowLink is the link of one entry: it transfers one object after the other, each in objectTransfer.
type slowLink struct {
	objectTransfer time.Duration

	mu     sync.Mutex
	freeAt time.Time
}

// transfer waits until the link has transferred the objects, or until ctx ends.
func (l *slowLink) transfer(ctx context.Context, objects int) error {
	l.mu.Lock()
	if l.freeAt.Before(time.Now()) {
		l.freeAt = time.Now()
	}
	l.freeAt = l.freeAt.Add(time.Duration(objects) * l.objectTransfer)
	end := l.freeAt
	l.mu.Unlock()
	return wait.For(ctx, time.Until(end))
}

// slowPlatform is a platform behind a slowLink.
type slowPlatform struct {
	*fakePlatform
	link *slowLink
}

func (p *slowPlatform) Watch(ctx context.Context, kinds []string, after int64, wait time.Duration) (objects.List, error) {
	list, err := p.fakePlatform.Watch(ctx, kinds, after, wait)
	if err != nil {
		return list, err
	}
	return list, p.link.transfer(ctx, len(list.Items))
}

const manyObjects = 300

func writeManyModels(platform *fakePlatform, version string) {
	for i := range manyObjects {
		name := fmt.Sprint("m", i)
		platform.write(v1.KindModel, name, modelJSON(name, version))
	}
}

// Guards against a watch that is cut while the changes arrive, and repeated from the same revision for ever.
func TestManyChangesArriveOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		platform := newFakePlatform()
		writeManyModels(platform, "v1")
		// 10,000 targets are 2.9 MB, which take 2.3 s at 1.25 MB/s; here beside as much callers' traffic.
		link := &slowLink{objectTransfer: 4600 * time.Millisecond / manyObjects}
		manager := newFakePeers().start(ctx, &slowPlatform{platform, link}, testEntries(1), 0)
		is.NoErr(manager.WaitReady(ctx))
		platform.update(func() { platform.down = true })
		time.Sleep(time.Minute)
		writeManyModels(platform, "v2")
		platform.update(func() { platform.down = false })
		time.Sleep(13 * time.Second) // the time in which a change must be in force
		is.Equal(modelVersion(manager, "m0"), "v2")
	})
}

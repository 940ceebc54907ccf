package directory

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/objects"
)

// slowLinkStore answers at once with one large configuration, which passes the reader's link.
type slowLinkStore struct {
	link   *modelLink
	object objects.Object
	// taken is the number of bytes that passed the link.
	taken *atomic.Int64
}

func (s slowLinkStore) List(ctx context.Context, kind string) (objects.List, error) {
	_ = wait.For(ctx, 4*time.Millisecond)
	if kind != KindConfiguration {
		return objects.List{Revision: 1}, ctx.Err()
	}
	for bytes := len(s.object.Value); bytes > 0; bytes -= segmentBytes {
		if err := wait.For(ctx, time.Until(s.link.send(min(bytes, segmentBytes)))); err != nil {
			return objects.List{}, err
		}
		s.taken.Add(segmentBytes)
		objects.NotifyReadProgress(ctx)
	}
	return objects.List{Revision: 1, Items: []objects.Object{s.object}}, nil
}

func (s slowLinkStore) Watch(ctx context.Context, _ string, _ int64, waiting time.Duration) (objects.List, error) {
	return objects.List{Revision: 1}, wait.For(ctx, waiting)
}

// A list that arrives slowly is not a silent store: more calls share the link with the first one.
func TestStartingEntryReadsLargeConfigurationSeveralTimes(t *testing.T) {
	for _, bytes := range []int{largeConfigBytes, 1<<20 - 64} {
		t.Run(fmt.Sprintf("%d KB", bytes>>10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				value := fmt.Sprintf(`{"Version":1,"Padding":%q}`, strings.Repeat("r", bytes))
				store := slowLinkStore{link: &modelLink{}, taken: &atomic.Int64{}, object: objects.Object{
					Kind: KindConfiguration, Name: "main", Revision: 1, Value: []byte(value),
				}}
				peers := &fakePeers{started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				manager := NewManager(Options{Store: store, Decoder: jsonDecoder{}, Peers: peers, View: newFleetView()})
				ended := make(chan struct{})
				go func() { defer close(ended); _ = manager.Run(ctx) }()
				manager.WaitReady(ctx, time.Minute)
				took := time.Since(peers.started)
				cancel()
				<-ended
				t.Logf("ready after %v, took %d KB, first query of full lists from peers after %v", took, store.taken.Load()>>10, peers.firstFullQuery)
				is.True(store.taken.Load() <= int64(2*len(value)))
				is.Equal(peers.firstFullQuery, time.Duration(0)) // never
			})
		})
	}
}

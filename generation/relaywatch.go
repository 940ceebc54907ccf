package generation

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// targetWatches notices targets that stopped answering. All streams of an entry at a target share
// one watch: what one of them finds out moves the others too. It is safe for concurrent use.
type targetWatches struct {
	mu      sync.Mutex
	watches map[string]*targetWatch
}

// targetWatch is the watch over one incarnation of a target while streams are open there.
type targetWatch struct {
	key   string
	users int
	look  chan struct{} // closed when the look that is under way ends
	// lost is closed when the target is found not to answer.
	lost   chan struct{}
	isLost bool
}

func newTargetWatches() *targetWatches {
	return &targetWatches{watches: map[string]*targetWatch{}}
}

// enter returns the watch over the target for one more stream.
func (w *targetWatches) enter(target *directory.Target) *targetWatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := target.Key()
	watch := w.watches[key]
	if watch == nil || watch.isLost {
		watch = &targetWatch{key: key, lost: make(chan struct{})}
		w.watches[key] = watch
	}
	watch.users++
	return watch
}

func (w *targetWatches) leave(watch *targetWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watch.users--
	if watch.users == 0 && w.watches[watch.key] == watch {
		delete(w.watches, watch.key)
	}
}

// declareLost moves every stream away from the target.
func (w *targetWatches) declareLost(watch *targetWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !watch.isLost {
		watch.isLost = true
		close(watch.lost)
	}
}

// lookAt starts a look at the target, or joins the one under way. The channel is closed when it
// ends; if the target did not answer, the watch is lost by then.
func (w *targetWatches) lookAt(watch *targetWatch, reach func(context.Context) error, timeout time.Duration) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if watch.look != nil {
		return watch.look
	}
	ended := make(chan struct{})
	watch.look = ended
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err := reach(ctx)
		if err != nil {
			w.declareLost(watch)
		}
		w.mu.Lock()
		watch.look = nil
		w.mu.Unlock()
		close(ended)
	}()
	return ended
}

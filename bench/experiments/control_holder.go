package experiments

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/enginecontrol"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/control"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// catchTimeout bounds the wait for an order at which to pause.
const catchTimeout = 12 * time.Second

// holder is one entry's configuration, lease and controller. All its calls pass a gate, which
// freezes it as a pause of the process does, at the worst point: between its last look at the
// lease and the order.
type holder struct {
	name       string
	lease      *control.Lease
	manager    *config.Manager
	controller *control.Controller
	store      *platformhttp.Client
	engines    *enginecontrol.Client

	mu sync.Mutex
	// armed are the addresses at an order to which the holder pauses.
	armed  map[string]bool
	caught chan struct{}
	// running is closed while the holder is not paused.
	running chan struct{}
}

func newHolder(w *controlWorld, number int) *holder {
	h := &holder{
		name:    holderName(number),
		store:   w.client(),
		engines: enginecontrol.New(nil),
		caught:  make(chan struct{}, 1),
		running: make(chan struct{}),
	}
	close(h.running)
	view := membership.Static{This: membership.Peer{Name: h.name}}
	for i := range controlHolders {
		view.Peers = append(view.Peers, membership.Peer{Name: holderName(i)})
	}
	h.manager = config.NewManager(config.Options{Platform: h.store, Registration: config.Registration{Name: h.name}})
	h.lease = control.NewLeaseWithDuration(h, control.LeaseName, h.name, controlLease)
	h.controller = control.NewController(control.Options{
		Configuration:  h.manager,
		View:           view,
		Lease:          h.lease,
		Engines:        h,
		Usage:          h,
		LoadsPerSecond: controlLoadsPerSec,
	})
	return h
}

func holderName(number int) string { return fmt.Sprintf("holder-%d", number) }

func (h *holder) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { _ = h.manager.Run(ctx) })
	loops.Go(func() { _ = h.controller.Run(ctx) })
	loops.Wait()
}

// pauseAtOrder freezes the holder at its next order to one of the addresses for the given time. It
// tells whether there was one.
func (h *holder) pauseAtOrder(ctx context.Context, addresses map[string]bool, length time.Duration) bool {
	h.mu.Lock()
	h.armed = addresses
	h.mu.Unlock()
	timeout := time.NewTimer(catchTimeout)
	defer timeout.Stop()
	select {
	case <-h.caught:
	case <-timeout.C:
		h.resume()
		return false
	case <-ctx.Done():
		return false
	}
	time.Sleep(length)
	h.resume()
	return true
}

func (h *holder) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = nil
	select {
	case <-h.running:
	default:
		close(h.running)
	}
}

// pass waits while the holder is paused.
func (h *holder) pass() {
	h.mu.Lock()
	running := h.running
	h.mu.Unlock()
	<-running
}

// freezeIfArmed begins the pause at an order.
func (h *holder) freezeIfArmed(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.armed[address] {
		return
	}
	h.armed = nil
	h.running = make(chan struct{})
	h.caught <- struct{}{}
}

// Get implements control.Store.
func (h *holder) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	h.pass()
	return h.store.Get(ctx, kind, name)
}

// Put implements control.Store.
func (h *holder) Put(ctx context.Context, kind, name string, expected int64, value []byte) (objects.Object, error) {
	h.pass()
	return h.store.Put(ctx, kind, name, expected, value)
}

// Inventory implements control.Engines.
func (h *holder) Inventory(ctx context.Context, address string) (control.Inventory, error) {
	h.pass()
	return h.engines.Inventory(ctx, address)
}

// Send implements control.Engines. An order that meets the pause is sent after it, whatever its
// time-out says: its bytes may have left the process already.
func (h *holder) Send(ctx context.Context, address string, order control.Command) error {
	h.freezeIfArmed(address)
	h.pass()
	return h.engines.Send(context.WithoutCancel(ctx), address, order)
}

// WeightsInUse implements control.Usage: there are no streams.
func (h *holder) WeightsInUse(context.Context, membership.Peer, control.Weights) (bool, error) {
	return false, nil
}

func encodeResource(resource v1.Resource) ([]byte, error) { return json.Marshal(resource) }

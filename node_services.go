package azurebarrow

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow/adapters/callerhttp"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/adapters/servicehttp"
	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects/budget"
	"github.com/azurebarrow/azurebarrow/service"
)

const (
	// ledgerWriteRate is the number of writes per second that all entries together use for the
	// ledger; the rest of the platform's rate is for configuration, leases and status.
	ledgerWriteRate = 285
	// ledgerWriteBurst is the number of writes that an entry may save up.
	ledgerWriteBurst = 10
	// ledgerRateInterval is the time between adjustments of this entry's part of the rate.
	ledgerRateInterval = 500 * time.Millisecond
	// ledgerConnections is the number of idle connections kept to the platform and to each entry.
	ledgerConnections = 256
	// ledgerDrainTimeout bounds the wait at shutdown for outcomes that the platform does not take. A
	// call whose outcome is not recorded is told unknown later; it never runs again.
	ledgerDrainTimeout = time.Minute
)

// servicePlane is the part of a node that passes calls to services.
type servicePlane struct {
	ledger    *idempotency.Ledger
	executor  *service.Executor
	transport *servicehttp.Transport
	handler   http.Handler
	budget    *budget.Limiter
	view      membership.View
}

// newServicePlane returns the node's ledger and executor of service calls.
func (n *Node) newServicePlane(view membership.View) *servicePlane {
	s := &servicePlane{
		transport: servicehttp.New(servicehttp.Options{}),
		budget:    budget.NewLimiter(ledgerWriteRate, ledgerWriteBurst),
		view:      view,
	}
	s.ledger = idempotency.New(idempotency.Options{
		Store:       platformhttp.New(n.settings.Platform.URL, platformhttp.Options{Transport: newLedgerTransport()}),
		Peers:       peertwirp.NewLedgerClient(&http.Client{Transport: newLedgerTransport()}),
		View:        view,
		Budget:      s.budget,
		Observe:     n.logLedger,
		Shards:      n.settings.Ledger.Shards,
		Retention:   n.settings.Ledger.Retention,
		AnswerBytes: n.settings.Ledger.AnswerBytes,
	})
	s.executor = service.NewExecutor(service.Options{
		Ledger:    s.ledger,
		Transport: s.transport,
		Directory: serviceDirectory{n},
		Entries:   func() int { return len(view.Live()) },
		Seed:      n.incarnation,
	})
	s.handler = callerhttp.NewServices(callerhttp.ServicesOptions{
		Configuration: n.configuration,
		Calls:         s.executor,
		Objectives:    n.objectives,
		BodyBytes:     n.settings.Limits.BodyBytes,
		BodyTimeout:   n.settings.Limits.BodyTimeout,
		Log:           n.logEvent,
	})
	return s
}

func newLedgerTransport() *http.Transport {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: ledgerConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// mount adds the handler of the ledger's protocol between entries.
func (s *servicePlane) mount(mux *http.ServeMux) {
	mux.Handle(peertwirp.NewLedgerServer(s.ledger))
}

func (s *servicePlane) addTo(n *Node, group *run.Group) {
	n.addActor(group, func(ctx context.Context) error {
		s.ledger.Run(ctx)
		return nil
	})
	n.addActor(group, s.adjustRate)
}

// adjustRate keeps this entry's part of the ledger's write rate in step with the shards that it
// owns and the number of live entries.
func (s *servicePlane) adjustRate(ctx context.Context) error {
	ticker := time.NewTicker(ledgerRateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.setRate()
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *servicePlane) setRate() {
	owned := s.ledger.OwnedShards()
	s.budget.SetRate(budget.EntryRate(ledgerWriteRate, len(s.view.Live()), owned, s.ledger.Shards()))
}

// drain waits until the outcomes of all calls are recorded and hands the ledger's shards over.
func (s *servicePlane) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerDrainTimeout)
	defer cancel()
	err := s.ledger.Drain(ctx)
	s.transport.Close()
	return err
}

func (n *Node) logLedger(event idempotency.Event) {
	if event.Kind == idempotency.EventTakeover || event.Kind == idempotency.EventHandover {
		// A new owner that waited for the next tick would be too slow to keep the shard.
		n.services.setRate()
	}
	entry := n.log.WithFields(logrus.Fields{"event": event.Kind, "shard": event.Shard})
	if event.Err != nil {
		entry.WithError(event.Err).Warn("ledger")
		return
	}
	entry.Info("ledger")
}

// serviceDirectory implements service.Directory by the configuration in force.
type serviceDirectory struct{ node *Node }

// Targets implements service.Directory.
func (d serviceDirectory) Targets(deployment string) []service.Target {
	snapshot := d.node.configuration.Snapshot()
	declared, ok := snapshot.Deployments[deployment]
	if !ok {
		return nil
	}
	var targets []service.Target
	for _, name := range declared.Spec.Targets {
		target, known := snapshot.Targets[name]
		if !known || d.node.control.leaving.Leaving(name) {
			continue
		}
		targets = append(targets, service.Target{
			Name:         name,
			Address:      target.Spec.Address,
			Concurrency:  target.Spec.Concurrency,
			Deduplicates: target.Spec.Capabilities.Deduplicates,
		})
	}
	return targets
}

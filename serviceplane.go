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
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/journalpeer"
	"github.com/azurebarrow/azurebarrow/adapters/platformhttp"
	"github.com/azurebarrow/azurebarrow/adapters/servicehttp"
	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/objects/writelimit"
	"github.com/azurebarrow/azurebarrow/service"
)

const (
	// ledgerWriteRate is the number of ledger writes per second of all entries together. The rest of
	// the platform's write rate is reserved for configuration, leases and status.
	ledgerWriteRate = 285
	// ledgerWriteBurst is the number of unused writes that an entry may accumulate.
	ledgerWriteBurst = 10
	// ledgerRateInterval is the time between updates of this entry's share of ledgerWriteRate.
	ledgerRateInterval = 500 * time.Millisecond
	// ledgerConnections is the maximum number of idle connections to the platform and to each peer.
	ledgerConnections = 256
	// ledgerDrainTimeout limits the wait at shutdown for outcomes that the platform does not accept.
	// A call whose outcome is not recorded is later answered with the outcome "unknown"; it never runs
	// again.
	ledgerDrainTimeout = time.Minute
)

// servicePlane executes callers' calls to services and keeps the ledger of their outcomes.
type servicePlane struct {
	ledger    *idempotency.Ledger
	executor  *service.Executor
	transport *servicehttp.Transport
	handler   http.Handler
	budget    *writelimit.Limiter
	view      membership.View
}

// newServicePlane creates the ledger, the executor of service calls and their handler.
func (e *Entry) newServicePlane(view membership.View) *servicePlane {
	s := &servicePlane{
		transport: servicehttp.New(servicehttp.Options{Send: e.links.send}),
		budget:    writelimit.NewLimiter(ledgerWriteRate, ledgerWriteBurst),
		view:      view,
	}
	s.ledger = idempotency.New(idempotency.Options{
		Store:       platformhttp.New(e.settings.Platform.URL, platformhttp.Options{Transport: newLedgerTransport()}),
		Peers:       peertwirp.NewLedgerClient(&http.Client{Transport: newLedgerTransport()}),
		View:        view,
		Budget:      s.budget,
		Observe:     e.logLedger,
		Shards:      e.settings.Ledger.Shards,
		Retention:   e.settings.Ledger.Retention,
		AnswerBytes: e.settings.Ledger.AnswerBytes,
	})
	s.executor = service.NewExecutor(service.Options{
		Ledger:    s.ledger,
		Transport: s.transport,
		Directory: serviceDirectory{e},

		CrashRecords: callCrashes{journalpeer.NewCallCrashRecords(e.recovery.crashRecords), e.links},

		Entries: func() int { return len(view.Live()) },
		Seed:    e.incarnation,
	})
	s.handler = callerhttp.NewServices(callerhttp.ServicesOptions{
		Configuration: e.configuration,
		Executor:      s.executor,
		Objectives:    e.objectives,
		MaxBodyBytes:  e.settings.Limits.BodyBytes,
		BodyTimeout:   e.settings.Limits.BodyTimeout,
		Log:           e.logEvent,
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

// mount registers the handler of the ledger's peer protocol.
func (s *servicePlane) mount(mux *http.ServeMux) {
	mux.Handle(peertwirp.NewLedgerServer(s.ledger))
}

func (s *servicePlane) addActors(n *Entry, group *run.Group) {
	n.addActor(group, func(ctx context.Context) error {
		s.ledger.Run(ctx)
		return nil
	})
	n.addActor(group, s.runRateUpdates)
}

// runRateUpdates periodically adapts this entry's share of the ledger's write rate to the shards that
// it owns and the number of live entries.
func (s *servicePlane) runRateUpdates(ctx context.Context) error {
	ticker := time.NewTicker(ledgerRateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.updateRate()
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *servicePlane) updateRate() {
	owned := s.ledger.OwnedShards()
	s.budget.SetRate(writelimit.EntryRate(ledgerWriteRate, len(s.view.Live()), owned, s.ledger.Shards()))
}

// drain waits until the outcomes of all calls are recorded and hands this entry's ledger shards over to
// its peers.
func (s *servicePlane) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerDrainTimeout)
	defer cancel()
	err := s.ledger.Drain(ctx)
	s.transport.Close()
	return err
}

func (e *Entry) logLedger(event idempotency.Event) {
	if event.Kind == idempotency.EventTakeover || event.Kind == idempotency.EventHandover {
		// A new shard owner needs the higher write rate at once: until the next periodic update its
		// writes would be too slow for it to keep the shard.
		e.services.updateRate()
	}
	log := e.log.WithFields(logrus.Fields{"event": event.Kind, "shard": event.Shard})
	if event.Err != nil {
		log.WithError(event.Err).Warn("ledger")
		return
	}
	log.Info("ledger")
}

// serviceDirectory implements service.Directory with the current configuration.
type serviceDirectory struct{ entry *Entry }

// Targets implements service.Directory. It omits draining targets.
func (d serviceDirectory) Targets(deployment string) []service.Target {
	snapshot := d.entry.configuration.Snapshot()
	declared, ok := snapshot.Deployments[deployment]
	if !ok {
		return nil
	}
	var targets []service.Target
	for _, name := range declared.Spec.Targets {
		target, known := snapshot.Targets[name]
		if !known || d.entry.control.drainingTargets.Draining(name) {
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

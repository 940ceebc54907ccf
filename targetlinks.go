package azurebarrow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/azurebarrow/azurebarrow/adapters/crashprobe"
	"github.com/azurebarrow/azurebarrow/adapters/peerexchange"
	"github.com/azurebarrow/azurebarrow/adapters/servicehttp"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/service"
)

const (
	// maxExchangeTime limits a request through a peer that has no deadline of its own: a generation runs for minutes.
	maxExchangeTime = time.Hour
	// silentCheckDelay is the time without the head of an answer after which the links are checked: kept connections over a
	// lost link take requests and stay silent. Checks are silentCheckInterval apart, since answers may just take long.
	silentCheckDelay    = 100 * time.Millisecond
	silentCheckInterval = time.Second
	// linkSweepInterval is the time between removals of idle connections that have expired.
	linkSweepInterval = time.Second
	// heldUpCheckInterval is the time between checks for requests that are held up on the link to a target that leaves.
	heldUpCheckInterval = 200 * time.Millisecond
	// helpedPollInterval is the time between checks whether a draining entry still sends requests for peers.
	helpedPollInterval = 10 * time.Millisecond
)

// linkOptions are the dependencies of targetLinks.
type linkOptions struct {
	name string
	view membership.View
	// dial opens the connections to targets; nil dials them from this host.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// targets returns the targets of the configuration; each is identified by its address.
	targets func() []*directory.Target
	// workAddresses returns the addresses of targets that may get new work.
	workAddresses func() map[string]bool
	// draining reports that this entry takes no more requests of peers.
	draining func() bool
	log      func(event string, fields ...generation.Field)
}

// targetLinks sends requests to targets over this entry's own links or, while these are lost, through peers. It is safe
// for concurrent use.
type targetLinks struct {
	options      linkOptions
	pool         *targethttp.Pool
	connectivity *generation.Connectivity
	router       *detour.Router
	peers        *peerexchange.Client
	crashes      *crashprobe.Prober
	// helping is the number of peers' requests in progress.
	helping atomic.Int64

	mu sync.Mutex
	// silentCheckAt is when the links were last checked for a request without an answer.
	silentCheckAt time.Time
}

func newTargetLinks(options linkOptions) *targetLinks {
	l := &targetLinks{options: options}
	l.pool = targethttp.NewPool(targethttp.Options{
		DialTimeout: servicehttp.DefaultDialTimeout, IdleTimeout: servicehttp.DefaultIdleTimeout,
		MaxIdleConnsPerTarget: servicehttp.DefaultMaxIdleConnsPerTarget, Dial: options.dial, Log: options.log,
	})
	l.connectivity = generation.NewConnectivity(generation.ConnectivityOptions{
		Connect: func(ctx context.Context, target *directory.Target) error {
			return l.pool.Connect(ctx, target.Key(), target.Address)
		},
		// A connection over a lost link may stay open at this end only, and lose the request that is sent over it.
		OnLost: l.pool.CloseIdle,
		Log:    options.log,
	})
	l.peers = peerexchange.NewClient(options.name, l.connectivity.IsLost, options.log)
	l.router = detour.NewRouter(detour.Options{
		View: options.view,
		Connect: func(ctx context.Context, target detour.Target) error {
			return l.pool.Ready(ctx, target.Key(), target.Address)
		},
		Ask:          l.peers.Probe,
		Connectivity: linkConnectivity{l},
		Seed:         rand.Uint64(),
		Log:          options.log,
	})
	l.crashes = crashprobe.New(l.pool, l.router)
	return l
}

// newTargetLinks returns the links of the entry.
func (e *Entry) newTargetLinks() *targetLinks {
	return newTargetLinks(linkOptions{
		name: e.settings.Name, view: e.members, dial: e.options.DialTarget, targets: e.linkTargets, workAddresses: e.workAddresses, draining: e.draining.Load, log: e.logEvent,
	})
}

// linkTargets returns the configured targets under their addresses: the requests name no more.
func (e *Entry) linkTargets() []*directory.Target {
	known := e.configuration.Snapshot().Targets
	targets := make([]*directory.Target, 0, len(known))
	for _, target := range known {
		targets = append(targets, &directory.Target{
			ID: target.Spec.Address, Address: target.Spec.Address, AvailabilityZone: target.Spec.AvailabilityZone, Service: string(target.Spec.Type),
		})
	}
	return targets
}

// workAddresses returns the addresses of configured targets that are not draining.
func (e *Entry) workAddresses() map[string]bool {
	addresses := map[string]bool{}
	known := e.configuration.Snapshot().Targets
	for _, target := range known {
		addresses[target.Spec.Address] = true
	}
	for _, name := range e.control.drainingTargets.DrainingTargets() {
		if target := known[name]; target != nil {
			delete(addresses, target.Spec.Address)
		}
	}
	return addresses
}

// linkConnectivity implements detour.Connectivity.
type linkConnectivity struct{ links *targetLinks }

func (c linkConnectivity) IsLost() bool { return c.links.connectivity.IsLost() }

func (c linkConnectivity) ClaimRegainCheck(now time.Time) bool {
	return c.links.connectivity.ClaimRegainCheck(now)
}

// CheckLost implements detour.Connectivity.
func (c linkConnectivity) CheckLost(suspect detour.Target) bool {
	var suspected *directory.Target
	if suspect.Address != "" {
		suspected = &directory.Target{ID: suspect.ID, Address: suspect.Address}
	}
	return c.links.connectivity.CheckLost(suspected, c.links.options.targets, time.Now())
}

// send sends a request to a target once. An error that wraps *service.NotSentError proves that nothing was sent; after any
// other error the target may have run the request.
func (l *targetLinks) send(ctx context.Context, address string, request *targethttp.Request) (*targethttp.Answer, error) {
	target := detour.Target{ID: address, Address: address}
	var answer *targethttp.Answer
	var sendErr error
	err := l.router.Do(ctx, request.ID, target, func(ctx context.Context, peer *membership.Peer) detour.Result {
		if peer != nil {
			answer, sendErr = l.peers.Do(ctx, *peer, target, exchangeTime(ctx), request)
			return peerexchange.ResultOf(sendErr)
		}
		answer, sendErr = l.sendDirectly(ctx, target, request)
		var notSent *service.NotSentError
		if errors.As(sendErr, &notSent) {
			return detour.Result{Outcome: detour.Unreachable}
		}
		return detour.Result{Outcome: detour.Sent}
	})
	if err != nil {
		return nil, &service.NotSentError{Cause: err}
	}
	return answer, sendErr
}

// exchangeTime returns the time that an exchange through a peer may take.
func exchangeTime(ctx context.Context) time.Duration {
	if deadline, limited := ctx.Deadline(); limited {
		return time.Until(deadline)
	}
	return maxExchangeTime
}

// sendDirectly sends a request over this entry's own links.
func (l *targetLinks) sendDirectly(ctx context.Context, target detour.Target, request *targethttp.Request) (*targethttp.Answer, error) {
	silent := time.AfterFunc(silentCheckDelay, func() { l.checkSilent(target) })
	defer silent.Stop()
	return l.pool.Do(ctx, target.Key(), target.Address, request)
}

// checkSilent checks whether this entry reaches other targets than one that is silent.
func (l *targetLinks) checkSilent(suspect detour.Target) {
	now := time.Now()
	l.mu.Lock()
	due := now.Sub(l.silentCheckAt) >= silentCheckInterval
	if due {
		l.silentCheckAt = now
	}
	l.mu.Unlock()
	if due {
		linkConnectivity{l}.CheckLost(suspect)
	}
}

// isDown reports whether the target at the address accepts no connection, neither from this entry nor from peers.
func (l *targetLinks) isDown(address string) bool {
	return l.crashes.IsDown(health.CrashedTarget{ID: address, Address: address})
}

// mount registers the handler of requests that this entry sends for peers.
func (l *targetLinks) mount(mux *http.ServeMux) {
	peerexchange.NewHandler(peerexchange.HandlerOptions{
		Router: l.router,
		Send:   l.sendDirectly,
		ProbeOpen: func(ctx context.Context, target detour.Target, open time.Duration) error {
			return l.pool.Probe(ctx, target.Key(), target.Address, open)
		},
		Lasts:  func(time.Duration) bool { return !l.options.draining() },
		Serves: l.serves,
	}).Register(mux, l.countHelping)
}

// serves reports whether the target is one of the configuration.
func (l *targetLinks) serves(target detour.Target) bool {
	for _, known := range l.options.targets() {
		if known.Key() == target.Key() {
			return true
		}
	}
	return false
}

// countHelping counts the requests of a handler as in progress, for which the entry waits when it drains.
func (l *targetLinks) countHelping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.helping.Add(1)
		defer l.helping.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// drain waits, without a time limit, until the requests of peers have ended.
func (l *targetLinks) drain() {
	for l.helping.Load() > 0 {
		time.Sleep(helpedPollInterval)
	}
	l.pool.CloseIdle()
}

func (l *targetLinks) addActors(e *Entry, group *run.Group) {
	e.addActor(group, l.router.Run)
	e.addActor(group, l.sweep)
	e.addActor(group, l.giveUpHeldUp)
}

// giveUpHeldUp gives up requests that are held up on the link to a target that gets no new work, until ctx ends.
func (l *targetLinks) giveUpHeldUp(ctx context.Context) error {
	ticker := time.NewTicker(heldUpCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			working := l.options.workAddresses()
			l.pool.GiveUpHeldUp(func(key string) bool { _, address, _ := strings.Cut(key, "@"); return working[address] }, time.Now())
		}
	}
}

// sweep closes idle connections that have expired, until ctx ends.
func (l *targetLinks) sweep(ctx context.Context) error {
	ticker := time.NewTicker(linkSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.pool.Sweep(func(string) bool { return true })
			l.peers.Sweep()
		}
	}
}

// registerLinkMetrics registers the metrics of the links to targets.
func (e *Entry) registerLinkMetrics() {
	m, l := e.metrics, e.links
	m.AddCounter("connectivity_losses", l.connectivity.Losses)
	m.AddGauge("connectivity_lost", func() float64 {
		if l.connectivity.IsLost() {
			return 1
		}
		return 0
	})
	m.AddCounter("requests_detoured", l.router.DetouredCount)
	m.AddCounter("requests_helped", l.router.HelpedCount)
	m.AddCounter("requests_without_path", l.router.PathlessCount)
	m.AddCounter("requests_unacknowledged", l.pool.UnacknowledgedCount)
	m.AddGauge("target_links_lost", func() float64 { return float64(l.router.LostLinkCount()) })
}

// isEngineDown reports whether an engine whose stream broke accepts no connection any more.
func (e *Entry) isEngineDown(name string) bool {
	known := e.targetByName(name)
	return known == nil || e.links.isDown(known.Spec.Address)
}

// callCrashes records crashes of targets that this entry did not merely lose its link to.
type callCrashes struct {
	service.CrashRecords
	links *targetLinks
}

// RecordCrash implements service.CrashRecords.
func (c callCrashes) RecordCrash(work health.Work, target health.CrashedTarget) {
	go func() {
		if c.links.isDown(target.Address) {
			c.CrashRecords.RecordCrash(work, target)
		}
	}()
}

// Package enginestatus is the adapter that polls engines for their load, their loaded models and
// their prefix caches, and reports them to the router.
package enginestatus

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	"github.com/azurebarrow/azurebarrow/adapters/targetcall"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/routing"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	// summaryInterval is the minimum time between two reads of the cache summary of a target.
	summaryInterval = 5 * time.Second
	// summaryRefresh is the maximum time between two such reads: a target that restarted numbers
	// its cache events from the start again.
	summaryRefresh = 30 * time.Second
	prefixHashBits = 64
	prefixHashBase = 16
)

// Sink receives the reports of engines; *routing.Router implements it.
type Sink interface {
	// ReportLoad reports the load of a target.
	ReportLoad(target string, load routing.LoadReport)
	// ReportCacheEvents reports changes of the prefix cache of a target; last is the sequence
	// number of its latest event. It reports whether events are missing, so that the cache summary
	// must be read.
	ReportCacheEvents(target string, events []routing.CacheEvent, last uint64) (resync bool)
	// ReportCacheSummary reports all cached prefixes of a target, as of the event with the given
	// sequence number.
	ReportCacheSummary(target string, sequence uint64, prefixes []routing.PrefixHash)
	// ReportRestarted reports that a target restarted: it has a new incarnation.
	ReportRestarted(target string)
	// Assigned returns those of the given targets whose reports the sink needs.
	Assigned(targets []string) []string
}

// Configuration is the port to the current configuration.
type Configuration interface {
	Snapshot() *config.Snapshot
}

// Poller polls the configured engines whose reports its sink needs.
type Poller struct {
	client        *http.Client
	configuration Configuration
	sink          Sink
	inventories   *Inventories
}

// NewPoller returns a Poller that reports to sink and records the loaded models in inventories. Its own connection pool opens
// connections by dial; nil dials from this host.
func NewPoller(dial targetcall.Dial, configuration Configuration, sink Sink, inventories *Inventories) *Poller {
	return &Poller{client: targetcall.NewClient(dial), configuration: configuration, sink: sink, inventories: inventories}
}

// pollLoop is the running poll loop of one target.
type pollLoop struct {
	address string
	cancel  context.CancelFunc
}

// Run polls until ctx ends. Each target has its own loop, so that a slow target delays no other.
func (p *Poller) Run(ctx context.Context) error {
	loops := map[string]pollLoop{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.reconcile(ctx, loops)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reconcile starts the missing poll loops, and stops those of targets that are no longer polled or
// have a new address.
func (p *Poller) reconcile(ctx context.Context, loops map[string]pollLoop) {
	engines := p.polledEngines()
	for name, loop := range loops {
		target, found := engines[name]
		if !found || target.Spec.Address != loop.address {
			loop.cancel()
			delete(loops, name)
			p.inventories.remove(name)
		}
	}
	for name, target := range engines {
		if _, running := loops[name]; running {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		loops[name] = pollLoop{address: target.Spec.Address, cancel: cancel}
		go p.runLoop(loopCtx, name, target)
	}
}

// polledEngines returns the engines to poll, by name.
func (p *Poller) polledEngines() map[string]*v1.Target {
	targets := p.configuration.Snapshot().Targets
	var engines []string
	for name, target := range targets {
		if target.Spec.Type == v1.TargetEngine {
			engines = append(engines, name)
		}
	}
	polled := map[string]*v1.Target{}
	for _, name := range p.sink.Assigned(engines) {
		polled[name] = targets[name]
	}
	return polled
}

// runLoop polls one target until ctx ends.
func (p *Poller) runLoop(ctx context.Context, name string, target *v1.Target) {
	position := cachePosition{resync: true}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx, name, target, &position)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// cachePosition is the position of the poll loop in the cache events of a target.
type cachePosition struct {
	// lastSequence is the sequence number of the last event that was read.
	lastSequence uint64
	// resync is set when events are missing, so that the summary must be read.
	resync bool
	// summaryRead is when the summary was last read.
	summaryRead time.Time
}

// summaryDue reports whether the cache summary must be read again.
func (c *cachePosition) summaryDue(now time.Time) bool {
	age := now.Sub(c.summaryRead)
	return age >= summaryRefresh || (c.resync && age >= summaryInterval)
}

// poll reads the status of a target once. It ignores errors: the failure detection of targets
// handles them, and the next poll tries again.
func (p *Poller) poll(ctx context.Context, name string, target *v1.Target, position *cachePosition) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	address := target.Spec.Address
	if err := p.pollLoad(ctx, name, address); err != nil {
		return
	}
	// Without an inventory, an engine counts as able to serve every model.
	_ = p.pollInventory(ctx, name, address)
	if !target.Spec.Capabilities.CacheEvents {
		return
	}
	if position.summaryDue(time.Now()) {
		if p.pollSummary(ctx, name, address, position) != nil {
			return
		}
	}
	_ = p.pollEvents(ctx, name, address, position)
}

type loadAnswer struct {
	AgeMs       int64 `json:"ageMs"`
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	Concurrency int   `json:"concurrency"`
}

const (
	// maxStreams is far above what an engine runs or queues at once, and safe to add up.
	maxStreams = 1 << 24
	// maxLoadAge stands for all greater ages, which an engine may give for a load that it never measured.
	maxLoadAge = 24 * time.Hour
)

// errLoadOutOfRange: no engine has such a load.
var errLoadOutOfRange = errors.New("load out of range")

// check returns an error for a load that no engine has.
func (a loadAnswer) check() error {
	for _, streams := range []int{a.Running, a.Queued, a.Concurrency} {
		if streams < 0 || streams > maxStreams {
			return fmt.Errorf("%w: %d streams", errLoadOutOfRange, streams)
		}
	}
	if a.AgeMs < 0 {
		return fmt.Errorf("%w: age %d ms", errLoadOutOfRange, a.AgeMs)
	}
	return nil
}

func (p *Poller) pollLoad(ctx context.Context, name, address string) error {
	var answer loadAnswer
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+"/v1/load", &answer); err != nil {
		return err
	}
	if err := answer.check(); err != nil {
		return err
	}
	p.sink.ReportLoad(name, routing.LoadReport{
		Running:     answer.Running,
		Queued:      answer.Queued,
		Concurrency: answer.Concurrency,
		Age:         time.Duration(min(answer.AgeMs, maxLoadAge.Milliseconds())) * time.Millisecond,
	})
	return nil
}

type inventoryAnswer struct {
	Incarnation string        `json:"incarnation"`
	Role        string        `json:"role"`
	Loaded      []loadedModel `json:"loaded"`
}

func (p *Poller) pollInventory(ctx context.Context, name, address string) error {
	var answer inventoryAnswer
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+"/v1/inventory", &answer); err != nil {
		return err
	}
	if p.inventories.update(name, answer) {
		p.sink.ReportRestarted(name)
	}
	return nil
}

type summaryAnswer struct {
	Sequence uint64   `json:"sequence"`
	Prefixes []string `json:"prefixes"`
}

func (p *Poller) pollSummary(ctx context.Context, name, address string, position *cachePosition) error {
	var answer summaryAnswer
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+"/v1/cache/summary", &answer); err != nil {
		return err
	}
	prefixes := make([]routing.PrefixHash, 0, len(answer.Prefixes))
	for _, text := range answer.Prefixes {
		if hash, ok := parseHash(text); ok {
			prefixes = append(prefixes, hash)
		}
	}
	p.sink.ReportCacheSummary(name, answer.Sequence, prefixes)
	*position = cachePosition{lastSequence: answer.Sequence, summaryRead: time.Now()}
	return nil
}

type eventsAnswer struct {
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
	Last uint64 `json:"last"`
}

func (p *Poller) pollEvents(ctx context.Context, name, address string, position *cachePosition) error {
	var answer eventsAnswer
	path := "/v1/cache/events?after=" + strconv.FormatUint(position.lastSequence, 10)
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+path, &answer); err != nil {
		return err
	}
	var events []routing.CacheEvent
	for _, event := range answer.Events {
		hash, ok := parseHash(event.Prefix)
		if !ok {
			continue // the router sees the gap in the sequence and requests a summary
		}
		kind := routing.CacheEventKind(event.Kind)
		events = append(events, routing.CacheEvent{Sequence: event.Sequence, Kind: kind, Prefix: hash})
		position.lastSequence = max(position.lastSequence, event.Sequence)
	}
	position.resync = p.sink.ReportCacheEvents(name, events, answer.Last)
	position.lastSequence = max(position.lastSequence, answer.Last)
	return nil
}

func parseHash(text string) (routing.PrefixHash, bool) {
	hash, err := strconv.ParseUint(text, prefixHashBase, prefixHashBits)
	return routing.PrefixHash(hash), err == nil
}

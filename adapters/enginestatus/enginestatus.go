// Package enginestatus is the adapter that polls engines for their load and their prefix caches,
// and tells the router.
package enginestatus

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/jsonhttp"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/routing"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	// summaryInterval is the least time between two summaries of one target.
	summaryInterval = 5 * time.Second
	// summaryRefresh is the most time between two: a target that restarted counts its events anew.
	summaryRefresh = 30 * time.Second
	prefixHashBits = 64
	prefixHashBase = 16
)

// Sink receives what the engines tell; *routing.Router implements it.
type Sink interface {
	ReportLoad(target string, load routing.LoadReport)
	ReportCacheEvents(target string, events []routing.CacheEvent, last uint64) (resync bool)
	ReportCacheSummary(target string, sequence uint64, prefixes []routing.PrefixHash)
	ReportRestarted(target string)
	// Followed returns those of the named targets of which the sink wants to know.
	Assigned(targets []string) []string
}

// Configuration is the port to the configuration in force.
type Configuration interface {
	Snapshot() *config.Snapshot
}

// Poller polls the engines of the configuration that its sink follows.
type Poller struct {
	client        *http.Client
	configuration Configuration
	sink          Sink
	inventories   *Inventories
}

// NewPoller returns a Poller that tells sink, and inventories what is loaded.
func NewPoller(client *http.Client, configuration Configuration, sink Sink, inventories *Inventories) *Poller {
	return &Poller{client: client, configuration: configuration, sink: sink, inventories: inventories}
}

// follower is the poll loop of one target.
type follower struct {
	address string
	cancel  context.CancelFunc
}

// Run polls until ctx ends. Each target has a loop of its own, so that a slow one holds up no other.
func (p *Poller) Run(ctx context.Context) error {
	followers := map[string]follower{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.adjust(ctx, followers)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// adjust starts loops for engines that are to be followed and stops those of others.
func (p *Poller) adjust(ctx context.Context, followers map[string]follower) {
	wanted := p.wanted()
	for name, f := range followers {
		target, found := wanted[name]
		if !found || target.Spec.Address != f.address {
			f.cancel()
			delete(followers, name)
			p.inventories.forget(name)
		}
	}
	for name, target := range wanted {
		if _, running := followers[name]; running {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		followers[name] = follower{address: target.Spec.Address, cancel: cancel}
		go p.follow(loopCtx, name, target)
	}
}

// wanted returns the engines to follow.
func (p *Poller) wanted() map[string]*v1.Target {
	targets := p.configuration.Snapshot().Targets
	var engines []string
	for name, target := range targets {
		if target.Spec.Type == v1.TargetEngine {
			engines = append(engines, name)
		}
	}
	wanted := map[string]*v1.Target{}
	for _, name := range p.sink.Assigned(engines) {
		wanted[name] = targets[name]
	}
	return wanted
}

func (p *Poller) follow(ctx context.Context, name string, target *v1.Target) {
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

// cachePosition is how far a target's cache events were read.
type cachePosition struct {
	after  uint64
	resync bool
	// summary is when the summary was last read.
	summary time.Time
}

// due tells whether the summary should be read.
func (c *cachePosition) due(now time.Time) bool {
	age := now.Sub(c.summary)
	return age >= summaryRefresh || (c.resync && age >= summaryInterval)
}

// poll asks a target once. A failure is left to the failure detection of targets; the next poll
// asks again.
func (p *Poller) poll(ctx context.Context, name string, target *v1.Target, position *cachePosition) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	address := target.Spec.Address
	if err := p.pollLoad(ctx, name, address); err != nil {
		return
	}
	// An engine that does not tell what it has loaded is asked to run everything.
	_ = p.pollInventory(ctx, name, address)
	if !target.Spec.Capabilities.CacheEvents {
		return
	}
	if position.due(time.Now()) {
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

func (p *Poller) pollLoad(ctx context.Context, name, address string) error {
	var answer loadAnswer
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+"/v1/load", &answer); err != nil {
		return err
	}
	p.sink.ReportLoad(name, routing.LoadReport{
		Running:     answer.Running,
		Queued:      answer.Queued,
		Concurrency: answer.Concurrency,
		Age:         time.Duration(answer.AgeMs) * time.Millisecond,
	})
	return nil
}

type inventoryAnswer struct {
	Incarnation string   `json:"incarnation"`
	Role        string   `json:"role"`
	Loaded      []loaded `json:"loaded"`
}

func (p *Poller) pollInventory(ctx context.Context, name, address string) error {
	var answer inventoryAnswer
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+"/v1/inventory", &answer); err != nil {
		return err
	}
	if p.inventories.set(name, answer) {
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
	*position = cachePosition{after: answer.Sequence, summary: time.Now()}
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
	path := "/v1/cache/events?after=" + strconv.FormatUint(position.after, 10)
	if err := jsonhttp.Get(ctx, p.client, "http://"+address+path, &answer); err != nil {
		return err
	}
	var events []routing.CacheEvent
	for _, event := range answer.Events {
		hash, ok := parseHash(event.Prefix)
		if !ok {
			continue // the gap makes the router doubt, as it should
		}
		kind := routing.CacheEventKind(event.Kind)
		events = append(events, routing.CacheEvent{Sequence: event.Sequence, Kind: kind, Prefix: hash})
		position.after = max(position.after, event.Sequence)
	}
	position.resync = p.sink.ReportCacheEvents(name, events, answer.Last)
	position.after = max(position.after, answer.Last)
	return nil
}

func parseHash(text string) (routing.PrefixHash, bool) {
	hash, err := strconv.ParseUint(text, prefixHashBase, prefixHashBits)
	return routing.PrefixHash(hash), err == nil
}

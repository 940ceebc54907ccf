package service

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/idempotency"
)

// Options are the settings and dependencies of an Executor. Zero durations mean the defaults.
type Options struct {
	Ledger    *idempotency.Ledger
	Transport Transport
	Directory Directory
	// CrashRecords hold the crashes of targets under calls; nil keeps them in this entry only.
	CrashRecords CrashRecords
	// Entries returns the number of live entries; nil means one.
	Entries func() int
	// Seed initializes the random generator, so that random choices can be reproduced.
	Seed uint64
	// ClaimTimeout limits the wait for a call's claim to be recorded; after it the call is not sent.
	ClaimTimeout time.Duration
	// RunTimeout limits the run of an at-most-once call, whether or not its caller still waits.
	RunTimeout time.Duration
	// CallTimeout limits a call whose route sets no timeout.
	CallTimeout time.Duration
	// DisableHedging disables hedging and circuit breaking of interactive calls, as a baseline in
	// measurements.
	DisableHedging bool
}

// Defaults of Options.
const (
	DefaultClaimTimeout = 2500 * time.Millisecond
	DefaultRunTimeout   = 30 * time.Second
	DefaultCallTimeout  = 10 * time.Second
)

// Stats counts calls since the executor was created.
type Stats struct {
	// Interactive counts interactive calls. ExtraAttempts counts their attempts beyond the first: hedges,
	// probes and retries.
	Interactive, ExtraAttempts int64
}

// Executor runs each call by the rules of its class.
type Executor struct {
	options Options

	mu    sync.Mutex
	pools map[string]*pool

	interactive atomic.Int64
	extra       atomic.Int64
}

// NewExecutor returns an Executor with the given options.
func NewExecutor(options Options) *Executor {
	if options.ClaimTimeout == 0 {
		options.ClaimTimeout = DefaultClaimTimeout
	}
	if options.RunTimeout == 0 {
		options.RunTimeout = DefaultRunTimeout
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.CrashRecords == nil {
		options.CrashRecords = localCrashRecords{health.NewCrashes()}
	}
	if options.Entries == nil {
		options.Entries = func() int { return 1 }
	}
	return &Executor{options: options, pools: map[string]*pool{}}
}

// Stats returns the counters.
func (e *Executor) Stats() Stats {
	return Stats{Interactive: e.interactive.Load(), ExtraAttempts: e.extra.Load()}
}

// Do runs a call and returns the result for its caller.
func (e *Executor) Do(ctx context.Context, call Call) Result {
	if call.Timeout == 0 {
		call.Timeout = e.options.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	switch call.Class {
	case v1.ClassInteractive:
		return e.interactiveCall(ctx, call)
	case v1.ClassIdempotent:
		return e.idempotentCall(ctx, call)
	default: // a call of an unknown class must not be repeated
		return e.runAtMostOnce(ctx, call)
	}
}

func (e *Executor) pool(deployment string) *pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	existing, ok := e.pools[deployment]
	if !ok {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(deployment))
		existing = newPool(e.options.Directory, deployment, e.options.Entries, e.options.Seed^hash.Sum64())
		existing.noBreaker = e.options.DisableHedging
		e.pools[deployment] = existing
	}
	return existing
}

func (c Call) request() Request {
	return Request{Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, RequestKey: c.Key}
}

package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/objects"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"golang.org/x/time/rate"
)

// Stats counts the calls by kind, and the failed ones by cause.
type Stats struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Watches int64 `json:"watches"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	// Conflicts, Limited, Refused and LostAnswers count calls that failed: for a condition that did not
	// hold, for the call rate, for an Outage or Hang fault, and for a LostWriteResponse fault.
	Conflicts   int64 `json:"conflicts"`
	Limited     int64 `json:"limited"`
	Refused     int64 `json:"refused"`
	LostAnswers int64 `json:"lostAnswers"`
	// Objects and Revision describe the store when the counters are read.
	Objects  int   `json:"objects"`
	Revision int64 `json:"revision"`
}

// Calls returns the number of calls of all kinds.
func (s Stats) Calls() int64 { return s.Gets + s.Lists + s.Watches + s.Puts + s.Deletes }

// Platform is the stand-in of the object API. It is an http.Handler.
type Platform struct {
	faults *fault.Set
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter
	// OnDie carries out a Die fault: it stops the listener, which listens again after returnAfter unless
	// that is 0. Set it before the first call.
	OnDie func(returnAfter time.Duration)

	mu    sync.Mutex
	store *store
	// staleStore answers the reads while a StaleReads fault is on; nil before the first RememberState or
	// StaleReads fault.
	staleStore *store
	// rememberRequested is true once a RememberState fault has saved staleStore; a StaleReads fault then keeps it.
	rememberRequested bool
	stats             Stats
	// lastWritten is when the last write of each object through UsersAPIHandler began; see RunExpiry.
	lastWritten map[objectKey]time.Time
	// changed is closed and replaced at each change, to wake the waiting watches.
	changed chan struct{}
}

// New returns a Platform without objects.
func New(options Options) *Platform {
	p := &Platform{
		faults:      fault.NewSet(),
		reads:       newLimiter(options.ReadsPerSecond),
		writes:      newLimiter(options.WritesPerSecond),
		store:       newStore(options.KeptEvents),
		lastWritten: map[objectKey]time.Time{},
		changed:     make(chan struct{}),
	}
	p.mux = p.routes()
	return p
}

// newLimiter returns a rate limiter whose burst is the calls of one second, at least one; a rate of 0 is no
// limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Faults returns the faults that are on. To switch one on without HTTP, use Apply.
func (p *Platform) Faults() *fault.Set { return p.faults }

// Apply carries out a fault or switches it on, as POST /faults does.
func (p *Platform) Apply(f fault.Fault) {
	switch f.Kind {
	case fault.Die:
		if p.OnDie != nil {
			p.OnDie(time.Duration(f.Duration))
		}
		return
	case fault.RememberState:
		p.saveStaleStore(true)
		return
	case fault.StaleReads:
		p.saveStaleStore(false)
	case fault.OddObject:
		p.addOddObject(f.Match)
		return
	}
	p.faults.Add(f)
	p.mu.Lock()
	p.notifyWatches() // waiting watches check for the fault
	p.mu.Unlock()
}

// saveStaleStore saves the current objects for stale reads. What a RememberState fault saved (requested is
// true) is replaced by the next RememberState fault only.
func (p *Platform) saveStaleStore(requested bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if requested || !p.rememberRequested {
		p.staleStore = p.store.clone()
	}
	p.rememberRequested = requested || p.rememberRequested
}

// Put writes an object unconditionally and outside the rate limit, to set the store up.
func (p *Platform) Put(kind, name string, value json.RawMessage) objects.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, _ := p.store.put(objectKey{kind, name}, value, condition{any: true})
	p.notifyWatches()
	return object
}

// Objects returns the current objects of a kind, without counting a call.
func (p *Platform) Objects(kind string) []objects.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.list(kind).Items
}

// Stats returns the current counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Objects = len(p.store.objects)
	stats.Revision = p.store.revision
	return stats
}

// notifyWatches wakes the waiting watches. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// storeForReads returns the store that answers reads: the saved one while a StaleReads fault is on. The caller
// holds p.mu.
func (p *Platform) storeForReads() *store {
	if _, stale := p.faults.Active(fault.StaleReads, ""); stale && p.staleStore != nil {
		return p.staleStore
	}
	return p.store
}

func (p *Platform) increment(counter *int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

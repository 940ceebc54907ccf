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

// Stats counts calls by kind, and what became of them.
type Stats struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Watches int64 `json:"watches"`
	Puts    int64 `json:"puts"`
	Deletes int64 `json:"deletes"`
	// Conflicts, Limited, Refused and LostAnswers count calls that did not succeed.
	Conflicts   int64 `json:"conflicts"`
	Limited     int64 `json:"limited"`
	Refused     int64 `json:"refused"`
	LostAnswers int64 `json:"lostAnswers"`
	Objects     int   `json:"objects"`
	Revision    int64 `json:"revision"`
}

// Calls returns the number of calls of all kinds.
func (s Stats) Calls() int64 { return s.Gets + s.Lists + s.Watches + s.Puts + s.Deletes }

// Platform is the stand-in; it is an http.Handler.
type Platform struct {
	faults *fault.Set
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter
	// OnDie stops the listener; it starts again after the given time, unless that is 0. Set it
	// before the first call.
	OnDie func(returnAfter time.Duration)

	mu    sync.Mutex
	store *store
	// frozen is what stale reads are answered from.
	frozen *store
	// remembered tells that frozen was asked for by the Remember switch.
	remembered bool
	stats      Stats
	// touched is when an object was last written by the users' wire, for RunLapse.
	touched map[objectKey]time.Time
	changed chan struct{}
}

// New returns an empty platform.
func New(options Options) *Platform {
	p := &Platform{
		faults:  fault.NewSet(),
		reads:   limiter(options.ReadsPerSecond),
		writes:  limiter(options.WritesPerSecond),
		store:   newStore(options.KeptEvents),
		touched: map[objectKey]time.Time{},
		changed: make(chan struct{}),
	}
	p.mux = p.routes()
	return p
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Faults returns the fault switches, for use without HTTP; see Apply.
func (p *Platform) Faults() *fault.Set { return p.faults }

// Apply carries a fault out, as POST /faults does.
func (p *Platform) Apply(f fault.Fault) {
	switch f.Kind {
	case fault.Die:
		if p.OnDie != nil {
			p.OnDie(time.Duration(f.For))
		}
		return
	case fault.Remember:
		p.remember(true)
		return
	case fault.Stale:
		p.remember(false)
	}
	p.faults.Add(f)
	p.mu.Lock()
	p.announce() // waiting watches see the fault
	p.mu.Unlock()
}

// remember keeps the present state for stale reads; one that was asked for is kept until the next.
func (p *Platform) remember(asked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asked || !p.remembered {
		p.frozen = p.store.clone()
	}
	p.remembered = asked || p.remembered
}

// Put writes an object unconditionally and without a rate, for set-up.
func (p *Platform) Put(kind, name string, value json.RawMessage) objects.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, _ := p.store.put(objectKey{kind, name}, value, condition{any: true})
	p.announce()
	return object
}

// Objects returns the objects of a kind, without counting a call.
func (p *Platform) Objects(kind string) []objects.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.list(kind).Items
}

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Objects = len(p.store.objects)
	stats.Revision = p.store.revision
	return stats
}

func (p *Platform) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// readable returns the store that reads are answered from.
func (p *Platform) readable() *store {
	if _, stale := p.faults.On(fault.Stale, ""); stale && p.frozen != nil {
		return p.frozen
	}
	return p.store
}

func (p *Platform) count(counter *int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

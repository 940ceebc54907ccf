package policysim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurebarrow/azurebarrow/admission"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Constants of a fleet's feeds and of how entries treat refusals.
const (
	fleetPoll      = 500 * time.Millisecond
	fleetLag       = time.Second
	fleetEventLoss = 0.05
	fleetResync    = 20 * time.Second
	renewEvery     = time.Second
	readyPoll      = 5 * time.Millisecond
	mostDispatches = 3
	longestWait    = admission.DefaultMaxWait
)

// Fleet is entries with the real admission and routing before modelled engines.
type Fleet struct {
	Clock       *Clock
	Engines     []*Engine
	routers     *Routers
	controllers []*admission.Controller
	members     []*fleetMember
	limits      map[string]admission.Limits
	dead        map[int]bool
	// running counts the requests that run, by customer and entry.
	running map[string][]int
	// Dispatches and Retries count attempts at engines.
	Dispatches, Retries int
}

// fleetMember is one entry's view of the others, and its way to them.
type fleetMember struct {
	fleet  *Fleet
	number int
	live   []membership.Peer
}

func peerName(i int) string { return fmt.Sprintf("entry%d", i) }

// Self implements admission.Members.
func (m *fleetMember) Self() membership.Peer { return membership.Peer{Name: peerName(m.number)} }

// Live implements admission.Members.
func (m *fleetMember) Live() []membership.Peer { return m.live }

// KnownCount implements admission.Members.
func (m *fleetMember) KnownCount() int { return len(m.fleet.members) }

// Slots implements admission.Capacity.
func (m *fleetMember) Slots(string) int { return m.fleet.routers.Slots(m.number) }

// Limits implements admission.Customers.
func (m *fleetMember) Limits(customer string) admission.Limits { return m.fleet.limits[customer] }

var errUnreachable = errors.New("policysim: entry unreachable")

// RequestGrants implements admission.QuotaOwners.
func (m *fleetMember) RequestGrants(_ context.Context, owner membership.Peer, request admission.GrantRequest) ([]admission.Grant, error) {
	for i := range m.fleet.members {
		if peerName(i) == owner.Name && !m.fleet.dead[i] {
			return m.fleet.controllers[i].HandleGrantRequest(request)
		}
	}
	return nil, errUnreachable
}

// NewFleet starts entries before engines; limits holds the customers' ones.
func NewFleet(entries, engines int, model EngineModel, limits map[string]admission.Limits, seed uint64) *Fleet {
	f := &Fleet{
		Clock:   NewClock(),
		limits:  limits,
		dead:    map[int]bool{},
		running: map[string][]int{},
	}
	for range engines {
		f.Engines = append(f.Engines, NewEngine(f.Clock, model))
	}
	f.routers = NewRouters(f.Clock, entries, engines, model.Slots, seed)
	feed := Feed{Clock: f.Clock, Interval: fleetPoll, Lag: fleetLag, EventLoss: fleetEventLoss,
		Random: rand.New(rand.NewPCG(seed, 3)), ResyncInterval: fleetResync}
	feed.Start(f.routers, f.Engines)
	for i := range entries {
		f.members = append(f.members, &fleetMember{fleet: f, number: i})
	}
	for i := range entries {
		f.addEntry(i)
	}
	return f
}

func (f *Fleet) addEntry(i int) {
	m := f.members[i]
	m.live = f.peersExcept(-1)
	controller := admission.NewController(admission.Options{Customers: m, Capacity: m, Members: m, QuotaOwners: m, Now: f.Clock.Now})
	f.controllers = append(f.controllers, controller)
	phase := renewEvery * time.Duration(i) / time.Duration(len(f.members))
	f.Clock.After(phase, func() {
		f.Clock.Every(renewEvery, func() {
			if !f.dead[i] {
				controller.Renew(context.Background())
			}
		})
	})
}

func (f *Fleet) peersExcept(gone int) []membership.Peer {
	var peers []membership.Peer
	for i := range f.members {
		if i != gone {
			peers = append(peers, membership.Peer{Name: peerName(i)})
		}
	}
	return peers
}

// QuotaOwner returns the entry that owns the quota of a customer.
func (f *Fleet) QuotaOwner(customer string) int {
	first := membership.Rank(f.peersExcept(-1), "quota/"+customer)[0].Name
	for i := range f.members {
		if peerName(i) == first {
			return i
		}
	}
	return -1
}

// Kill stops an entry; the others see it after the detection time.
func (f *Fleet) Kill(entry int, detection time.Duration) {
	f.dead[entry] = true
	for _, counts := range f.running {
		counts[entry] = 0
	}
	f.Clock.After(detection, func() {
		for _, m := range f.members {
			m.live = f.peersExcept(entry)
		}
	})
}

// Running returns how many requests of a customer run at living entries.
func (f *Fleet) Running(customer string) int {
	total := 0
	for _, count := range f.running[customer] {
		total += count
	}
	return total
}

// Call is one request of a caller, and what became of it.
type Call struct {
	Customer string
	Priority int
	Prompt   Prompt
	Arrived  time.Time
	// Began is when it went to an engine, FirstToken and Ended are zero until then.
	Began, FirstToken, Ended time.Time
	// Refused tells that the caller was told so; Dispatched that an engine took it.
	Refused, Dispatched bool
	// RefusedAfter is how long the refusal took.
	RefusedAfter time.Duration
}

// Serve runs a call through a random living entry.
func (f *Fleet) Serve(call *Call, entry int) {
	for f.dead[entry] {
		entry = (entry + 1) % len(f.members)
	}
	call.Arrived = f.Clock.Now()
	request := admission.Request{Customer: call.Customer, Deployment: deploymentName, Priority: call.Priority,
		Tokens: call.Prompt.Tokens, Bytes: len(call.Prompt.Text)}
	pending, err := f.controllers[entry].Enter(context.Background(), request)
	if err != nil {
		f.refuse(call)
		return
	}
	f.wait(call, entry, pending)
}

func (f *Fleet) refuse(call *Call) {
	call.Refused = true
	call.RefusedAfter = f.Clock.Now().Sub(call.Arrived)
}

func (f *Fleet) wait(call *Call, entry int, pending *admission.PendingRequest) {
	select {
	case <-pending.Ready():
		f.run(call, entry, pending.Ticket())
		return
	default:
	}
	if f.Clock.Now().Sub(call.Arrived) >= longestWait && pending.Cancel() {
		f.refuse(call)
		return
	}
	f.Clock.After(readyPoll, func() { f.wait(call, entry, pending) })
}

// run dispatches a call; what an engine refuses is tried at another within the retry budget.
func (f *Fleet) run(call *Call, entry int, ticket *admission.Ticket) {
	f.count(call.Customer, entry, 1)
	var tried []int
	for len(tried) < mostDispatches {
		if len(tried) > 0 && !f.controllers[entry].AllowRetry(deploymentName) {
			break
		}
		engine, done := f.routers.ChooseExcept(entry, call.Prompt, tried)
		f.Dispatches++
		if len(tried) > 0 {
			f.Retries++
		}
		if f.Engines[engine].Submit(f.work(call, entry, ticket, done)) {
			call.Dispatched = true
			call.Began = f.Clock.Now()
			return
		}
		done()
		tried = append(tried, engine)
	}
	f.count(call.Customer, entry, -1)
	ticket.Done(0)
	f.refuse(call)
}

func (f *Fleet) work(call *Call, entry int, ticket *admission.Ticket, done func()) *Work {
	return &Work{
		Prefixes:    call.Prompt.Prefixes,
		PromptBytes: len(call.Prompt.Text),
		Tokens:      call.Prompt.Tokens,
		Priority:    call.Priority,
		FirstToken:  func() { call.FirstToken = f.Clock.Now() },
		Done: func() {
			call.Ended = f.Clock.Now()
			done()
			if !f.dead[entry] {
				f.count(call.Customer, entry, -1)
			}
			ticket.Done(call.Prompt.Tokens)
		},
	}
}

func (f *Fleet) count(customer string, entry, change int) {
	if f.running[customer] == nil {
		f.running[customer] = make([]int, len(f.members))
	}
	f.running[customer][entry] += change
}

// Offer has calls arrive by chance at a rate, made by next; they are collected in the result.
func (f *Fleet) Offer(workload *Workload, perSecond float64, next func() *Call) *[]*Call {
	calls := &[]*Call{}
	var arrive func()
	arrive = func() {
		call := next()
		call.Prompt = workload.Next()
		*calls = append(*calls, call)
		f.Serve(call, workload.Pick(len(f.members)))
		f.Clock.After(seconds(workload.Gap(perSecond)), arrive)
	}
	f.Clock.After(seconds(workload.Gap(perSecond)), arrive)
	return calls
}

// Summary sums up calls that arrived in a span of time.
type Summary struct {
	Arrived, Answered, Refused int
	Tokens                     int
	Latency                    experiment.Samples
	SlowestRefusal             time.Duration
	// HeldRefusals counts the refusals that were not answered at once.
	HeldRefusals  int
	RefusedButRan int
}

// Summarise sums up the calls that arrived from from to to and match.
func Summarise(calls []*Call, from, to time.Time, match func(*Call) bool) Summary {
	var s Summary
	for _, call := range calls {
		if call.Arrived.Before(from) || call.Arrived.After(to) || !match(call) {
			continue
		}
		s.Arrived++
		if call.Refused {
			s.Refused++
			if call.RefusedAfter > 0 {
				s.HeldRefusals++
			}
			s.SlowestRefusal = max(s.SlowestRefusal, call.RefusedAfter)
		}
		if call.Refused && call.Dispatched {
			s.RefusedButRan++
		}
		if !call.Ended.IsZero() {
			s.Answered++
			s.Tokens += call.Prompt.Tokens
			s.Latency.Add(call.Ended.Sub(call.Arrived))
		}
	}
	return s
}

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

// Parameters of the entries: how they poll engines, renew quota leases, and retry attempts that an
// engine refused.
const (
	feedInterval       = 500 * time.Millisecond
	feedLag            = time.Second
	feedEventLoss      = 0.05
	feedResyncInterval = 20 * time.Second
	renewInterval      = time.Second
	readyPollInterval  = 5 * time.Millisecond
	maxDispatches      = 3
	maxQueueWait       = admission.DefaultMaxWait
)

// Fleet simulates entries, with the production admission and routing code, and modelled engines.
type Fleet struct {
	Clock       *Clock
	Engines     []*Engine
	routers     *Routers
	controllers []*admission.Controller
	members     []*fleetMember
	limits      map[string]admission.Limits
	// killed holds the entries that Kill stopped.
	killed map[int]bool
	// running counts the running requests by customer and entry.
	running map[string][]int
	// Dispatches counts the attempts at engines, Retries those after the first attempt of a call.
	Dispatches, Retries int
}

// fleetMember is the membership, capacity, limits and peer transport that one entry gives to its
// admission controller.
type fleetMember struct {
	fleet *Fleet
	index int
	live  []membership.Peer
}

func peerName(i int) string { return fmt.Sprintf("entry%d", i) }

// Self implements admission.Members.
func (m *fleetMember) Self() membership.Peer { return membership.Peer{Name: peerName(m.index)} }

// Live implements admission.Members.
func (m *fleetMember) Live() []membership.Peer { return m.live }

// KnownCount implements admission.Members.
func (m *fleetMember) KnownCount() int { return len(m.fleet.members) }

// Slots implements admission.Capacity.
func (m *fleetMember) Slots(string) int { return m.fleet.routers.Slots(m.index) }

// Limits implements admission.Customers.
func (m *fleetMember) Limits(customer string) admission.Limits { return m.fleet.limits[customer] }

var errUnreachable = errors.New("policysim: entry unreachable")

// RequestGrants implements admission.QuotaOwners.
func (m *fleetMember) RequestGrants(_ context.Context, owner membership.Peer, request admission.GrantRequest) ([]admission.Grant, error) {
	for i := range m.fleet.members {
		if peerName(i) == owner.Name && !m.fleet.killed[i] {
			return m.fleet.controllers[i].HandleGrantRequest(request)
		}
	}
	return nil, errUnreachable
}

// NewFleet returns a fleet of the given numbers of entries and engines; limits is by customer.
func NewFleet(entries, engines int, model EngineModel, limits map[string]admission.Limits, seed uint64) *Fleet {
	f := &Fleet{
		Clock:   NewClock(),
		limits:  limits,
		killed:  map[int]bool{},
		running: map[string][]int{},
	}
	for range engines {
		f.Engines = append(f.Engines, NewEngine(f.Clock, model))
	}
	f.routers = NewRouters(f.Clock, entries, engines, model.Slots, seed)
	feed := Feed{Clock: f.Clock, Interval: feedInterval, Lag: feedLag, EventLoss: feedEventLoss,
		Random: rand.New(rand.NewPCG(seed, 3)), ResyncInterval: feedResyncInterval}
	feed.Start(f.routers, f.Engines)
	for i := range entries {
		f.members = append(f.members, &fleetMember{fleet: f, index: i})
	}
	for i := range entries {
		f.addEntry(i)
	}
	return f
}

// addEntry starts the admission controller of an entry. The entries renew their quota leases at
// different phases of the interval.
func (f *Fleet) addEntry(i int) {
	m := f.members[i]
	m.live = f.peersExcept(-1)
	controller := admission.NewController(admission.Options{Customers: m, Capacity: m, Members: m, QuotaOwners: m, Now: f.Clock.Now})
	f.controllers = append(f.controllers, controller)
	phase := renewInterval * time.Duration(i) / time.Duration(len(f.members))
	f.Clock.After(phase, func() {
		f.Clock.Every(renewInterval, func() {
			if !f.killed[i] {
				controller.Renew(context.Background())
			}
		})
	})
}

// peersExcept returns all entries but the excluded one; -1 excludes none.
func (f *Fleet) peersExcept(excluded int) []membership.Peer {
	var peers []membership.Peer
	for i := range f.members {
		if i != excluded {
			peers = append(peers, membership.Peer{Name: peerName(i)})
		}
	}
	return peers
}

// QuotaOwner returns the index of the quota owner of a customer among all entries.
func (f *Fleet) QuotaOwner(customer string) int {
	first := membership.Rank(f.peersExcept(-1), "quota/"+customer)[0].Name
	for i := range f.members {
		if peerName(i) == first {
			return i
		}
	}
	return -1
}

// Kill stops an entry. The other entries remove it from their membership after the detection time.
func (f *Fleet) Kill(entry int, detection time.Duration) {
	f.killed[entry] = true
	for _, counts := range f.running {
		counts[entry] = 0
	}
	f.Clock.After(detection, func() {
		for _, m := range f.members {
			m.live = f.peersExcept(entry)
		}
	})
}

// Running returns how many requests of a customer run at entries that were not killed.
func (f *Fleet) Running(customer string) int {
	total := 0
	for _, count := range f.running[customer] {
		total += count
	}
	return total
}

// Call is one request of a caller and its result.
type Call struct {
	Customer string
	Priority int
	Prompt   Prompt
	Arrived  time.Time
	// DispatchedAt is when an engine accepted the call, FirstToken and Ended are when its first token came
	// and when it ended. Each is zero until then.
	DispatchedAt, FirstToken, Ended time.Time
	// Refused reports that the entry refused the call, Dispatched that an engine accepted it.
	Refused, Dispatched bool
	// RefusedAfter is the time from the arrival to the refusal.
	RefusedAfter time.Duration
}

// Serve runs a call through the given entry, or through the next one that was not killed.
func (f *Fleet) Serve(call *Call, entry int) {
	for f.killed[entry] {
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
	f.awaitTicket(call, entry, pending)
}

func (f *Fleet) refuse(call *Call) {
	call.Refused = true
	call.RefusedAfter = f.Clock.Now().Sub(call.Arrived)
}

// awaitTicket polls a pending request until admission lets it run, and refuses it after maxQueueWait.
func (f *Fleet) awaitTicket(call *Call, entry int, pending *admission.PendingRequest) {
	select {
	case <-pending.Ready():
		f.dispatch(call, entry, pending.Ticket())
		return
	default:
	}
	if f.Clock.Now().Sub(call.Arrived) >= maxQueueWait && pending.Cancel() {
		f.refuse(call)
		return
	}
	f.Clock.After(readyPollInterval, func() { f.awaitTicket(call, entry, pending) })
}

// dispatch submits a call to an engine. An attempt that the engine refuses is retried at another
// engine, at most maxDispatches attempts in all and within the retry budget.
func (f *Fleet) dispatch(call *Call, entry int, ticket *admission.Ticket) {
	f.addRunning(call.Customer, entry, 1)
	var tried []int
	for len(tried) < maxDispatches {
		if len(tried) > 0 && !f.controllers[entry].AllowRetry(deploymentName) {
			break
		}
		engine, done := f.routers.ChooseExcept(entry, call.Prompt, tried)
		f.Dispatches++
		if len(tried) > 0 {
			f.Retries++
		}
		if f.Engines[engine].Submit(f.newWork(call, entry, ticket, done)) {
			call.Dispatched = true
			call.DispatchedAt = f.Clock.Now()
			return
		}
		done()
		tried = append(tried, engine)
	}
	f.addRunning(call.Customer, entry, -1)
	ticket.Done(0)
	f.refuse(call)
}

func (f *Fleet) newWork(call *Call, entry int, ticket *admission.Ticket, done func()) *Work {
	return &Work{
		Prefixes:    call.Prompt.Prefixes,
		PromptBytes: len(call.Prompt.Text),
		Tokens:      call.Prompt.Tokens,
		Priority:    call.Priority,
		FirstToken:  func() { call.FirstToken = f.Clock.Now() },
		Done: func() {
			call.Ended = f.Clock.Now()
			done()
			if !f.killed[entry] {
				f.addRunning(call.Customer, entry, -1)
			}
			ticket.Done(call.Prompt.Tokens)
		},
	}
}

func (f *Fleet) addRunning(customer string, entry, change int) {
	if f.running[customer] == nil {
		f.running[customer] = make([]int, len(f.members))
	}
	f.running[customer][entry] += change
}

// Offer starts a Poisson process of calls, made by next, at the given rate. Each is appended to the
// returned slice and served by a random entry that was not killed.
func (f *Fleet) Offer(workload *Workload, perSecond float64, next func() *Call) *[]*Call {
	calls := &[]*Call{}
	var arrive func()
	arrive = func() {
		call := next()
		call.Prompt = workload.Next()
		*calls = append(*calls, call)
		f.Serve(call, workload.IntN(len(f.members)))
		f.Clock.After(seconds(workload.InterarrivalSeconds(perSecond)), arrive)
	}
	f.Clock.After(seconds(workload.InterarrivalSeconds(perSecond)), arrive)
	return calls
}

// Summary holds counts and latencies of the calls that arrived in a period.
type Summary struct {
	Arrived, Answered, Refused int
	Tokens                     int
	Latency                    experiment.Samples
	SlowestRefusal             time.Duration
	// RefusedAfterWait counts the calls that were refused after waiting in the queue, not on arrival.
	RefusedAfterWait int
	// RefusedButRan counts the calls that were refused although an engine had accepted them.
	RefusedButRan int
}

// Summarise summarises the calls that arrived between from and to and that match reports true for.
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
				s.RefusedAfterWait++
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

package placementcontrol

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/membership"
	callservice "github.com/azurebarrow/azurebarrow/service"
)

// CallRequest asks the coordinator of a service for the target of an attempt of a call.
type CallRequest struct {
	callservice.CallState
	// Zone is the availability zone of the entry, ID the name of the caller's request.
	Zone, Service, ID string
	// Exclude lists the IDs of targets that the entry can't use for the attempt, Connected those to which it has an idle connection.
	Exclude, Connected []string
}

// CallAnswer is what the coordinator answers to a CallRequest. The entry chooses by itself if it is the zero value.
type CallAnswer struct {
	Target string
	Ticket uint64
}

// CallTransport sends the messages of calls to other entries. Errors of peers that do not coordinate wrap ErrDeclined.
type CallTransport interface {
	ChooseTarget(ctx context.Context, peer membership.Peer, request CallRequest) (CallAnswer, error)
}

// CallView is the coordinator's view of one service of calls; *service.CallTargets is one.
type CallView interface {
	Update(state callservice.CallState)
	Choose(query callservice.CallTargetQuery) (target string, ticket uint64, ok bool)
}

// CallOptions are the dependencies of Calls beyond those of its Manager.
type CallOptions struct {
	Transport CallTransport
	NewView   func() CallView
}

const (
	// callTimeout limits the choice of a call's target with all that it takes: a call takes 30 ms, its objective is 150 ms.
	callTimeout = 15 * time.Millisecond
	// maxCallTimes is the number of values of a target in a message.
	maxCallTimes = 16
	// maxAllCallTimes is the number of values in a message, which the limit of 64 KB for messages allows beside all tickets and the IDs of
	// 300 targets: those that many calls in progress leave to the first message after the loss of a coordinator.
	maxAllCallTimes = 512
	// maxCallTickets is the number of ended calls, and of those in progress, in a message.
	maxCallTickets = 256
	// callTicketTTL is how long the end of a call is reported to a coordinator that doesn't answer: it forgets the call by then.
	callTicketTTL = 3 * time.Second
	// maintainInterval is the time between removals of what is no longer needed.
	maintainInterval = time.Second
	// ReasonNoTarget: the coordinator knows no target for the call.
	ReasonNoTarget = "no_target"
)

// CallStats are the counters of Calls. ChosenByCoordinator, ChosenBySelf and ChosenByFallback count the choices of targets that another
// entry, this entry as the coordinator, and this entry without a coordinator made.
type CallStats struct {
	ChosenByCoordinator, ChosenBySelf, ChosenByFallback atomic.Int64
	RequestsReceived, Declined                          atomic.Int64
}

// Calls shares the choice of targets for calls to services with few targets. It selects the coordinators as its Manager does, implements
// service.SharedChoice, and is safe for concurrent use.
type Calls struct {
	manager *Manager
	options CallOptions
	stats   CallStats

	mu       sync.Mutex
	services map[string]*callReports
	// peers are the failures of coordinators, apart from those of placement requests, which have more time.
	peers     map[string]*peerState
	fallbacks map[string]*fallbackCount

	// coordinatedMu guards what this entry does as the coordinator.
	coordinatedMu sync.Mutex
	coordinated   map[string]*callCoordination
}

// callReports is what this entry has to report of the calls to a service.
type callReports struct {
	times []callservice.CallTime
	// running are the calls in progress, ended those whose end no answered message had.
	running, ended []ticket
	following      string
}

// callCoordination is what this entry knows of a service that it coordinates.
type callCoordination struct {
	view   CallView
	usedAt time.Time
}

// NewCalls returns the component for calls of a manager. Run removes what is no longer needed.
func NewCalls(manager *Manager, options CallOptions) *Calls {
	return &Calls{
		manager: manager, options: options, services: map[string]*callReports{}, peers: map[string]*peerState{},
		fallbacks: map[string]*fallbackCount{}, coordinated: map[string]*callCoordination{},
	}
}

// Stats returns the counters.
func (c *Calls) Stats() *CallStats { return &c.stats }

// sharedTargets returns the live entries and the targets of a service, if those are chosen for all entries together.
func (c *Calls) sharedTargets(service string) (live []membership.Peer, targets []*directory.Target, isShared bool) {
	live = c.manager.options.View.Live()
	if !c.manager.isShared(len(live)) {
		return nil, nil, false
	}
	spec, targets := c.manager.options.Service(service)
	return live, targets, spec == nil && len(targets) > 1 && len(targets) < len(live)
}

// IsShared implements service.SharedChoice.
func (c *Calls) IsShared(service string) bool {
	_, _, isShared := c.sharedTargets(service)
	return isShared
}

// Choose implements service.SharedChoice.
func (c *Calls) Choose(ctx context.Context, query callservice.ChoiceQuery) (target string, ended func(took time.Duration)) {
	live, targets, isShared := c.sharedTargets(query.Service)
	if !isShared {
		return "", nil
	}
	request := CallRequest{Zone: c.manager.options.View.Self().AvailabilityZone, Service: query.Service, ID: shorten(query.Request)}
	for _, each := range targets {
		switch {
		case !isAmong(query.Targets, each.ID):
			request.Exclude = append(request.Exclude, each.ID)
		case query.Connected != nil && query.Connected(each.ID):
			request.Connected = append(request.Connected, each.ID)
		}
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, coordinator, reason := c.query(limited, live, request)
	if reason == "" && answer.Target == "" {
		reason = ReasonNoTarget
	}
	if reason != "" {
		if ctx.Err() == nil {
			c.countFallback(query.Service, reason)
		}
		return "", nil
	}
	issued := ticket{answer.Ticket, coordinator, c.manager.options.Now()}
	if !isAmong(query.Targets, answer.Target) {
		c.recordEnd(query.Service, issued, answer.Target, 0)
		c.countFallback(query.Service, ReasonUnusable)
		return "", nil
	}
	if coordinator == c.manager.options.View.Self().Name {
		c.stats.ChosenBySelf.Add(1)
	} else {
		c.stats.ChosenByCoordinator.Add(1)
	}
	c.recordRunning(query.Service, issued)
	return answer.Target, func(took time.Duration) { c.recordEnd(query.Service, issued, answer.Target, took) }
}

func isAmong(targets []callservice.Target, name string) bool {
	return slices.ContainsFunc(targets, func(t callservice.Target) bool { return t.Name == name })
}

// query sends a request to the coordinator. If there is no answer, reason says why.
func (c *Calls) query(ctx context.Context, live []membership.Peer, request CallRequest) (answer CallAnswer, coordinator, reason string) {
	for declines := 0; declines < maxDeclines; {
		peer, found := c.manager.nextCoordinator(live, request.Service)
		if !found {
			break
		}
		answer, err := c.queryPeer(ctx, peer, request)
		switch {
		case err == nil:
			return answer, peer.Name, ""
		case errors.Is(err, ErrDeclined):
			declines++
			c.manager.recordDecline(peer, request.Service, declines)
		case errors.Is(err, errPaused):
			return CallAnswer{}, "", ReasonPaused
		case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
			return CallAnswer{}, "", ReasonTimeout
		default:
			return CallAnswer{}, "", ReasonError
		}
	}
	return CallAnswer{}, "", ReasonDeclined
}

// errPaused: the coordinator failed a moment ago.
var errPaused = errors.New("the coordinator is not queried")

// queryPeer sends a request to one entry, which may be this one.
func (c *Calls) queryPeer(ctx context.Context, peer membership.Peer, request CallRequest) (answer CallAnswer, err error) {
	isSelf := peer.Name == c.manager.options.View.Self().Name
	begun := c.manager.options.Now()
	isTrial := false
	if !isSelf {
		var ok bool
		if isTrial, ok = c.beginQueryOf(peer, begun); !ok {
			return CallAnswer{}, errPaused
		}
	}
	request.CallState = c.takeState(request.Service, peer.Name)
	if isSelf {
		answer, err = c.ChooseTarget(ctx, request)
	} else {
		answer, err = c.options.Transport.ChooseTarget(ctx, peer, request)
	}
	c.recordSent(&request, peer.Name, err)
	if !isSelf {
		c.endQueryOf(ctx, peer, begun, isTrial, err)
	}
	return answer, err
}

func (c *Calls) beginQueryOf(peer membership.Peer, now time.Time) (isTrial, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.peers[peer.Name]
	if state == nil {
		return false, true
	}
	return state.beginQuery(now)
}

func (c *Calls) endQueryOf(ctx context.Context, peer membership.Peer, begun time.Time, isTrial bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.peers[peer.Name]
	if state == nil {
		if err == nil {
			return
		}
		state = &peerState{}
		c.peers[peer.Name] = state
	}
	state.endQuery(ctx, c.manager.options.Now(), begun, callTimeout, isTrial, err)
}

// reports returns what is to be reported of a service. The caller holds mu.
func (c *Calls) reports(service string) *callReports {
	state := c.services[service]
	if state == nil {
		state = &callReports{}
		c.services[service] = state
	}
	return state
}

// takeState returns the state for a message to the coordinator.
func (c *Calls) takeState(service, coordinator string) callservice.CallState {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.reports(service)
	state := callservice.CallState{
		Entry: c.manager.options.View.Self().Name, Times: reports.times,
		Ended: numbersOf(reports.ended, coordinator), Running: numbersOf(reports.running, coordinator),
	}
	reports.times = nil
	return state
}

// numbersOf returns the latest tickets of a coordinator.
func numbersOf(tickets []ticket, coordinator string) []uint64 {
	if len(tickets) == 0 {
		return nil
	}
	numbers := make([]uint64, 0, min(len(tickets), maxCallTickets))
	for _, each := range latest(tickets, maxCallTickets) {
		if each.coordinator == coordinator {
			numbers = append(numbers, each.number)
		}
	}
	return numbers
}

// recordSent records whether a message was answered.
func (c *Calls) recordSent(request *CallRequest, coordinator string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.reports(request.Service)
	if err != nil {
		for _, each := range request.Times {
			reports.addTime(each)
		}
		return
	}
	reports.ended = slices.DeleteFunc(reports.ended, func(each ticket) bool {
		return each.coordinator == coordinator && slices.Contains(request.Ended, each.number)
	})
	if reports.following != coordinator {
		reports.following = coordinator
		if coordinator != request.Entry {
			c.manager.options.Observe(Event{Kind: EventCoordinator, Service: request.Service, Coordinator: coordinator, Role: RoleFollowing})
		}
	}
}

// recordRunning records a call that is sent to the target of an answer.
func (c *Calls) recordRunning(service string, issued ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.reports(service)
	reports.running = append(reports.running, issued)
}

// recordEnd records the end of a call that an answer was for, or that it isn't sent to the target.
func (c *Calls) recordEnd(service string, issued ticket, target string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.reports(service)
	reports.running = slices.DeleteFunc(reports.running, func(each ticket) bool { return each == issued })
	now := c.manager.options.Now()
	reports.dropOldEnded(now)
	if now.Sub(issued.at) < callTicketTTL {
		reports.ended = append(reports.ended, issued)
	}
	if took > 0 {
		reports.addTime(callservice.CallTime{Target: target, Took: took})
	}
}

// dropOldEnded removes calls that their coordinators have forgotten.
func (r *callReports) dropOldEnded(now time.Time) {
	r.ended = slices.DeleteFunc(r.ended, func(each ticket) bool { return now.Sub(each.at) >= callTicketTTL })
	r.ended = latest(r.ended, maxCallTickets)
}

// addTime adds a value, in the place of the target's oldest if there are enough.
func (r *callReports) addTime(value callservice.CallTime) {
	first, count := -1, 0
	for i, each := range r.times {
		if each.Target == value.Target {
			if count++; first < 0 {
				first = i
			}
		}
	}
	if count >= maxCallTimes {
		r.times = slices.Delete(r.times, first, first+1)
	}
	r.times = latest(append(r.times, value), maxAllCallTimes)
}

// countFallback counts a target that this entry chooses itself.
func (c *Calls) countFallback(service, reason string) {
	c.stats.ChosenByFallback.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.fallbacks[reason]
	if known == nil {
		known = &fallbackCount{}
		c.fallbacks[reason] = known
	}
	known.service = service
	known.count++
	c.manager.reportFallbacks(c.manager.options.Now(), reason, known)
}

// ChooseTarget answers the request of an entry. It returns ErrDeclined if this entry does not coordinate.
func (c *Calls) ChooseTarget(_ context.Context, request CallRequest) (CallAnswer, error) {
	if !c.manager.accepts(len(c.manager.options.View.Live())) {
		c.stats.Declined.Add(1)
		return CallAnswer{}, ErrDeclined
	}
	c.stats.RequestsReceived.Add(1)
	spec, targets := c.manager.options.Service(request.Service)
	if spec != nil || len(targets) == 0 {
		return CallAnswer{}, nil // this entry does not know of the service or its targets yet
	}
	c.coordinatedMu.Lock()
	defer c.coordinatedMu.Unlock()
	coordination := c.coordinated[request.Service]
	if coordination == nil {
		coordination = &callCoordination{view: c.options.NewView()}
		c.coordinated[request.Service] = coordination
		c.manager.options.Observe(Event{Kind: EventCoordinator, Service: request.Service, Coordinator: c.manager.options.View.Self().Name, Role: RoleCoordinating})
	}
	coordination.usedAt = c.manager.options.Now()
	coordination.view.Update(request.CallState)
	target, number, _ := coordination.view.Choose(callservice.CallTargetQuery{
		Entry: request.Entry, AvailabilityZone: request.Zone, Targets: targets, Exclude: request.Exclude, Connected: request.Connected,
	})
	return CallAnswer{Target: target, Ticket: number}, nil
}

// CoordinatedCount returns the number of services of calls that this entry coordinates.
func (c *Calls) CoordinatedCount() int {
	c.coordinatedMu.Lock()
	defer c.coordinatedMu.Unlock()
	return len(c.coordinated)
}

// Run removes what is no longer needed until ctx ends.
func (c *Calls) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.maintain()
		}
	}
}

// maintain removes what is no longer needed and reports the fallbacks since the last events.
func (c *Calls) maintain() {
	now := c.manager.options.Now()
	c.endIdleCoordinations(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for reason, known := range c.fallbacks {
		c.manager.reportFallbacks(now, reason, known)
	}
	live := c.manager.options.View.Live()
	for name, state := range c.peers {
		isLive := slices.ContainsFunc(live, func(peer membership.Peer) bool { return peer.Name == name })
		if !state.trying && (state.failures == 0 || !isLive) {
			delete(c.peers, name)
		}
	}
	for _, reports := range c.services {
		reports.dropOldEnded(now)
	}
}

// endIdleCoordinations ends the coordination of services for which no requests arrive, of all if this entry does not coordinate.
func (c *Calls) endIdleCoordinations(now time.Time) {
	accepts := c.manager.accepts(len(c.manager.options.View.Live()))
	c.coordinatedMu.Lock()
	defer c.coordinatedMu.Unlock()
	for service, coordination := range c.coordinated {
		if !accepts || now.Sub(coordination.usedAt) > coordinationTTL {
			delete(c.coordinated, service)
			c.manager.options.Observe(Event{Kind: EventCoordinator, Service: service, Coordinator: c.manager.options.View.Self().Name, Role: RoleStopped})
		}
	}
}

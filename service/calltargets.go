package service

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

const (
	// defaultUsualTime is the usual time of a call while no target's is known.
	defaultUsualTime = 50 * time.Millisecond
	// maxTimeSamples is the number of calls over which the usual time of a target is averaged: half a second of a target's calls,
	// after which the error of the mean is below a tenth.
	maxTimeSamples = 64
	// usualTimeTTL is the time after which a usual time that no call has confirmed counts as the mean of the other targets if that is
	// smaller, so that a target which was slow for a moment gets calls again. The next call then starts a new mean.
	usualTimeTTL = 5 * time.Second
	// equalTimeShare is the difference between targets, as a fraction of the usual time, that is not worth a new connection.
	equalTimeShare = 0.1
	// maxTicketAge is how long the end of a call may be reported: longer than the deadlines of calls.
	maxTicketAge = 3 * time.Second
	// A call that its entry reports as running after overdueFactor times its expected time counts for overdueTTL more: its target may
	// have stopped answering.
	overdueFactor = 4
	overdueTTL    = time.Second
)

// CallTime is the time of a call that a target answered.
type CallTime struct {
	Target string
	Took   time.Duration
}

// CallState is what an entry reports with a query.
type CallState struct {
	Entry string
	// Times are those of answered calls since the last message that was answered.
	Times []CallTime
	// Ended are the tickets of calls that have ended since, Running those of the calls in progress.
	Ended, Running []uint64
}

// CallTargetQuery is what Choose needs to know of a call.
type CallTargetQuery struct {
	Entry, AvailabilityZone string
	// Targets are those of the service that may get new calls, Exclude the IDs of those that the entry can't use for the call.
	Targets []*directory.Target
	Exclude []string
	// Connected are the IDs of the targets to which the entry has an idle connection.
	Connected []string
}

// CallTargetsOptions are the dependencies of CallTargets.
type CallTargetsOptions struct {
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Seed makes the random choices and the tickets reproducible.
	Seed uint64
}

// CallTargets is the coordinator's view of the targets of one service of calls. It is not safe for concurrent use.
type CallTargets struct {
	now        func() time.Time
	random     *rand.Rand
	lastTicket uint64
	targets    map[string]*sharedTarget
	tickets    map[uint64]*callTicket
	// issued are the tickets by age; the first may have ended.
	issued []*callTicket
}

// sharedTarget is what the coordinator knows of one target.
type sharedTarget struct {
	usual   time.Duration
	samples int
	// observedAt is when a call was last reported.
	observedAt time.Time
	// counted are the calls that may be in progress.
	counted []*callTicket
}

// callTicket is one call that was sent to a target.
type callTicket struct {
	number    uint64
	entry     string
	target    *sharedTarget
	at, until time.Time
	expected  time.Duration
	ended     bool
}

// NewCallTargets returns a view that knows of no calls.
func NewCallTargets(options CallTargetsOptions) *CallTargets {
	if options.Now == nil {
		options.Now = time.Now
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &CallTargets{
		now: options.Now, random: random, targets: map[string]*sharedTarget{}, tickets: map[uint64]*callTicket{},
		// The tickets of a former coordinator mean nothing here. They stay below 2^53, which all JSON decoders read exactly.
		lastTicket: random.Uint64N(1 << 52),
	}
}

// Update takes over an entry's report.
func (c *CallTargets) Update(state CallState) {
	now := c.now()
	c.dropOld(now)
	for _, number := range state.Ended {
		if ticket := c.tickets[number]; ticket != nil && ticket.entry == state.Entry {
			c.end(ticket)
		}
	}
	for _, number := range state.Running {
		if ticket := c.tickets[number]; ticket != nil && ticket.entry == state.Entry {
			ticket.extend(now)
		}
	}
	for _, each := range state.Times {
		if target := c.targets[each.Target]; target != nil && each.Took > 0 {
			target.addTime(each.Took, now)
		}
	}
}

// addTime adds a call to the mean.
func (t *sharedTarget) addTime(took time.Duration, now time.Time) {
	if now.Sub(t.observedAt) >= usualTimeTTL {
		t.samples = 0
	}
	t.samples = min(t.samples+1, maxTimeSamples)
	t.usual += (took - t.usual) / time.Duration(t.samples)
	t.observedAt = now
}

// extend counts a call that is still running for longer.
func (t *callTicket) extend(now time.Time) {
	longer := t.expected
	if now.Sub(t.at) >= overdueFactor*t.expected {
		longer = overdueTTL
	}
	if until := now.Add(longer); until.After(t.until) {
		if !t.until.After(now) && !slices.Contains(t.target.counted, t) {
			t.target.counted = append(t.target.counted, t)
		}
		t.until = until
	}
}

// end removes a call that has ended.
func (c *CallTargets) end(ticket *callTicket) {
	ticket.ended = true
	delete(c.tickets, ticket.number)
}

// dropOld removes calls whose end was not reported.
func (c *CallTargets) dropOld(now time.Time) {
	count := 0
	for count < len(c.issued) && (c.issued[count].ended || now.Sub(c.issued[count].at) >= maxTicketAge) {
		c.end(c.issued[count])
		count++
	}
	c.issued = slices.Delete(c.issued, 0, count)
}

// inProgress returns the number of calls that are expected to be in progress at a target.
func (t *sharedTarget) inProgress(now time.Time) int {
	kept := t.counted[:0]
	for _, each := range t.counted {
		if !each.ended && each.until.After(now) {
			kept = append(kept, each)
		}
	}
	clear(t.counted[len(kept):])
	t.counted = kept
	return len(kept)
}

// Choose returns the target at which a call of the entry is expected to end first, and counts the call there; ok is false if no
// target is allowed.
func (c *CallTargets) Choose(query CallTargetQuery) (target string, ticket uint64, ok bool) {
	now := c.now()
	c.dropOld(now)
	if len(c.targets) > 2*len(query.Targets) {
		c.dropUnlisted(query.Targets)
	}
	mean := c.meanTime(query.Targets, now)
	var bestEnd time.Duration
	var bestUsual time.Duration
	for _, each := range query.Targets {
		if slices.Contains(query.Exclude, each.ID) {
			continue
		}
		end, usual := c.expect(each, mean, now)
		if !ok || end < bestEnd {
			bestEnd, bestUsual, ok = end, usual, true
		}
	}
	if !ok {
		return "", 0, false
	}
	limit := bestEnd + time.Duration(equalTimeShare*float64(bestUsual))
	var chosen *directory.Target
	var chosenEnd time.Duration
	rank, equals := -1, 0
	for _, each := range query.Targets {
		end, _ := c.expect(each, mean, now)
		if end > limit || slices.Contains(query.Exclude, each.ID) {
			continue
		}
		if r := query.rank(each); r > rank {
			rank, equals = r, 0
		} else if r < rank {
			continue
		}
		if equals++; c.random.IntN(equals) == 0 {
			chosen, chosenEnd = each, end
		}
	}
	return chosen.ID, c.issue(query.Entry, chosen.ID, chosenEnd, now), true
}

// rank orders targets at which the call is expected to end at the same time.
func (q *CallTargetQuery) rank(target *directory.Target) int {
	switch {
	case slices.Contains(q.Connected, target.ID):
		return 2
	case q.AvailabilityZone != "" && target.AvailabilityZone == q.AvailabilityZone:
		return 1
	}
	return 0
}

// issue counts a call at a target.
func (c *CallTargets) issue(entry, target string, expected time.Duration, now time.Time) uint64 {
	c.lastTicket++
	state := c.state(target)
	issued := &callTicket{number: c.lastTicket, entry: entry, target: state, at: now, until: now.Add(expected), expected: expected}
	state.counted = append(state.counted, issued)
	c.tickets[issued.number] = issued
	c.issued = append(c.issued, issued)
	return issued.number
}

// expect returns the time until a new call at the target ends, and the target's usual time. mean is that of all targets.
func (c *CallTargets) expect(target *directory.Target, mean time.Duration, now time.Time) (end, usual time.Duration) {
	state := c.state(target.ID)
	usual = state.usual
	if state.samples == 0 || now.Sub(state.observedAt) >= usualTimeTTL && mean < usual {
		usual = mean
	}
	slots := max(1, target.Slots) // without a number of slots, the target with the fewest calls is the best
	waiting := max(0, state.inProgress(now)+1-slots)
	return usual + time.Duration(waiting)*usual/time.Duration(slots), usual
}

// meanTime returns the mean of the usual times that calls have confirmed lately.
func (c *CallTargets) meanTime(targets []*directory.Target, now time.Time) time.Duration {
	var sum time.Duration
	count := 0
	for _, each := range targets {
		if state := c.targets[each.ID]; state != nil && state.samples > 0 && now.Sub(state.observedAt) < usualTimeTTL {
			sum += state.usual
			count++
		}
	}
	if count == 0 {
		return defaultUsualTime
	}
	return sum / time.Duration(count)
}

func (c *CallTargets) state(target string) *sharedTarget {
	state := c.targets[target]
	if state == nil {
		state = &sharedTarget{}
		c.targets[target] = state
	}
	return state
}

// dropUnlisted removes the state of targets that are no longer listed.
func (c *CallTargets) dropUnlisted(targets []*directory.Target) {
	for id := range c.targets {
		if !slices.ContainsFunc(targets, func(t *directory.Target) bool { return t.ID == id }) {
			delete(c.targets, id)
		}
	}
}

package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// A fault is what is wrong with the new version of the modelled traffic.
type fault struct {
	name string
	// failures and broken are the parts of its responses that fail in addition, and slowdown the factor of its
	// latencies.
	failures, broken, slowdown float64
	// route limits the fault to one route, if not negative.
	route int
	// from is the time after the order at which it begins, and load the share of all requests that the new version
	// has to get within a second before it shows.
	from time.Duration
	load float64
}

var (
	noFault     = fault{name: "good", slowdown: 1, route: -1}
	failing     = fault{name: "20 in 100 failures", failures: 0.2, slowdown: 1, route: -1}
	slow        = fault{name: "3 times the time", slowdown: 3, route: -1}
	routeFails  = fault{name: "40 in 100 failures on one of four routes", failures: 0.4, slowdown: 1, route: 2}
	crashing    = fault{name: "20 in 100 connections broken", broken: 0.2, slowdown: 1, route: -1}
	laterFails  = fault{name: "20 in 100 failures from 15 s on", failures: 0.2, slowdown: 1, route: -1, from: 15 * time.Second}
	underLoad   = fault{name: "20 in 100 failures under load", failures: 0.2, slowdown: 1, route: -1, load: 0.2}
	underLoad45 = fault{name: "20 in 100 failures at nearly half of the load", failures: 0.2, slowdown: 1, route: -1, load: 0.45}
)

// traffic is a service of the model.
type traffic struct {
	entries  int
	rate     float64 // requests per second of the service
	duration time.Duration
	fault    fault
	// baseFailures is the part of the responses of both versions that fail.
	baseFailures float64
	// zoneCrashes makes all targets of one of three zones crash at once, about every 20 s. The targets of the new
	// version are in newZones of the zones.
	zoneCrashes bool
	newZones    int
	// sharedTrouble makes a further 30 in 100 responses of both versions fail, and all take twice the time, in 4 of
	// every 12 s.
	sharedTrouble bool
	// coordinatorLost are the times after the order at which the coordinator is replaced.
	coordinatorLost []time.Duration
	// fixedShare keeps the rollout at the second share of the stage Canary, to measure the judge by itself.
	fixedShare bool
}

const (
	tick           = 20 * time.Millisecond
	modelledRoutes = 4
	latencySpread  = 0.5 // the standard deviation of the logarithm
	// zoneCrashTime is how long requests still go to the targets of a zone that crashed.
	zoneCrashTime = 2 * time.Second
	// takeoverTime is how long there is no coordinator when one is lost.
	takeoverTime = 2 * time.Second
)

// testBounds are the bounds of the page.
var testBounds = Bounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}

type result struct {
	output Output
	// decided is the time from the order to the end of the rollout, verdictAt that to Bad, fiftieth that to the
	// 50th bad response; zero if there was none.
	decided, verdictAt, fiftieth time.Duration
	// sent counts the requests sent to the new version, all those of the service until the deadline, and sentLate
	// those sent to the new version later than Bounds.RollbackAfter after the 50th bad response.
	sent, all, sentLate int
	// bad counts the bad responses of the new version.
	bad int
	// sentBeforeShift and allBeforeShift count the requests until the stage Shift.
	sentBeforeShift, allBeforeShift int
}

type response struct {
	entry   int
	newer   bool
	bad     bool
	route   int
	outcome Outcome
	latency time.Duration
}

type modelledEntry struct {
	gate          *Gate
	old, new      Evidence
	oldInProgress int
	// stage is what the entry knows, reportedStage what it knew when it reported last.
	stage, reportedStage Stage
	reportedInProgress   int
	reportedAt           time.Time
}

var routeNames = func() (names [modelledRoutes]string) {
	for i := range names {
		names[i] = fmt.Sprintf("route-%d", i)
	}
	return names
}()

// run plays one rollout, until it ends or the deadline is past by 10 s.
func (m traffic) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, uint64(m.entries)<<32|uint64(m.rate)))
	order := testOrder("v2", m.duration)
	plan := NewPlan(testBounds)
	interval := max(400*time.Millisecond, time.Duration(m.entries)*5*time.Millisecond)
	intervalTicks := int(interval / tick)
	entries := make([]modelledEntry, m.entries)
	reporting := make([][]int, intervalTicks) // the entries that report at a tick of the interval
	for i := range entries {
		entries[i] = modelledEntry{gate: NewGate(fmt.Sprintf("entry-%d", i), testOrder(fmt.Sprint(seed), m.duration))}
		at := random.IntN(intervalTicks)
		reporting[at] = append(reporting[at], i)
	}
	const ring = 2048 // ticks; 40 s, more than any latency
	var pending [ring][]response
	var all result
	var sumOld, sumNew Evidence
	perTick := m.rate * tick.Seconds()
	// newInWindow and allInWindow are exponential averages over a second, for faults under load.
	newInWindow, allInWindow := 0.0, 1.0
	crashUntil, crashZone := -1, 0
	share := 0.0
	var stored Status
	lost := m.coordinatorLost
	var takeoverAt time.Duration
	ticks := int((m.duration + 10*time.Second) / tick)
	deadline := int(m.duration / tick)
	for t := range ticks {
		now := order.Ordered.Add(time.Duration(t) * tick)
		since := time.Duration(t) * tick
		troubled := m.sharedTrouble && since%(12*time.Second) < 4*time.Second
		if m.zoneCrashes && t > crashUntil && random.Float64() < tick.Seconds()/20 {
			crashUntil, crashZone = t+int(zoneCrashTime/tick), random.IntN(3)
		}
		forget := tick.Seconds()
		newInWindow, allInWindow = newInWindow*(1-forget), allInWindow*(1-forget)
		for range poisson(random, perTick) {
			entry := random.IntN(m.entries)
			route := random.IntN(modelledRoutes)
			newer := entries[entry].gate.Allow(now)
			if t < deadline {
				all.all++
			}
			allInWindow++
			answer := response{entry: entry, newer: newer, route: route}
			factor := 1.0
			failures, broken := m.baseFailures, 0.0
			zones := 3
			if troubled {
				failures, factor = failures+0.3, 2
			}
			if newer {
				newInWindow++
				if m.newZones > 0 {
					zones = m.newZones
				}
				if t < deadline {
					all.sent++
				}
				if all.fiftieth > 0 && since > all.fiftieth+testBounds.RollbackAfter {
					all.sentLate++
				}
				f := m.fault
				if (f.route < 0 || f.route == route) && since >= f.from && newInWindow >= f.load*allInWindow {
					failures, broken, factor = failures+f.failures, f.broken, factor*f.slowdown
					answer.bad = f.slowdown > 1
				}
			}
			if t < crashUntil && random.IntN(zones) == crashZone {
				broken = 1
			}
			answer.latency = time.Duration(factor * 60 * float64(route+1) * math.Exp(latencySpread*random.NormFloat64()) * float64(time.Millisecond))
			switch draw := random.Float64(); {
			case draw < broken:
				answer.outcome, answer.latency = Broken, time.Millisecond
			case draw < broken+failures:
				answer.outcome = Failed
			}
			answer.bad = answer.bad || answer.outcome == Failed || answer.outcome == Broken && t >= crashUntil
			if newer {
				entries[entry].new.AddStarted()
			} else {
				entries[entry].old.AddStarted()
				entries[entry].oldInProgress++
			}
			at := (t + 1 + min(int(answer.latency/tick), ring-2)) % ring
			pending[at] = append(pending[at], answer)
		}
		for _, answer := range pending[t%ring] {
			entry := &entries[answer.entry]
			if !answer.newer {
				entry.oldInProgress--
				entry.old.Record(routeNames[answer.route], answer.outcome, answer.latency)
				continue
			}
			entry.new.Record(routeNames[answer.route], answer.outcome, answer.latency)
			if answer.bad {
				if all.bad++; all.bad == 50 {
					all.fiftieth = since
				}
			}
		}
		pending[t%ring] = pending[t%ring][:0]

		// The report of an entry arrives at once, and the answer two ticks later.
		for _, i := range reporting[t%intervalTicks] {
			entry := &entries[i]
			sumOld.Add(entry.old)
			sumNew.Add(entry.new)
			clearEvidence(&entry.old)
			clearEvidence(&entry.new)
			entry.reportedInProgress, entry.reportedStage, entry.reportedAt = entry.oldInProgress, entry.stage, now
		}
		if t > intervalTicks && since >= takeoverAt {
			for _, i := range reporting[(t-2)%intervalTicks] {
				entries[i].stage = plan.stage
				entries[i].gate.SetShare(entries[i].reportedAt, share)
			}
		}
		if len(lost) > 0 && since >= lost[0] {
			lost, takeoverAt = lost[1:], since+takeoverTime
			plan = NewPlan(testBounds)
			plan.Resume(order.Ordered.Add(takeoverAt), order, stored)
		}
		if since < takeoverAt {
			clearEvidence(&sumOld) // these reports are lost
			clearEvidence(&sumNew)
			continue
		}
		if t%5 != 0 {
			continue
		}
		inProgress, unconfirmed := 0, 0
		for i := range entries {
			if plan.stage != Drain {
				unconfirmed = m.entries
				break
			}
			inProgress += entries[i].reportedInProgress
			if entries[i].reportedStage != Drain || now.Sub(entries[i].reportedAt) > MaxShareAge {
				unconfirmed++
			}
		}
		output := plan.Step(now, Input{Order: &order, OldRegistered: 3, NewReady: 3, Old: sumOld, New: sumNew,
			OldInProgress: inProgress, Unconfirmed: unconfirmed, ReportInterval: interval})
		clearEvidence(&sumOld)
		clearEvidence(&sumNew)
		if output.Write != nil {
			stored = *output.Write
			plan.Written(stored)
		}
		if m.fixedShare && output.Stage == Shift {
			plan.stage, plan.share, plan.answered = Canary, secondCanaryPart*testBounds.Share, 0
			output.Stage, output.Share = plan.stage, plan.share
		}
		share = output.Share
		if output.Stage == Canary {
			all.sentBeforeShift, all.allBeforeShift = all.sent, all.all
		}
		if output.Verdict.Decision == Bad && all.verdictAt == 0 {
			all.verdictAt = since
		}
		if output.Stage.Final() {
			if all.decided == 0 {
				all.decided, all.output = since, output
			}
			if output.Stage == Succeeded {
				all.all += int(m.rate * max(m.duration-since, 0).Seconds())
				return all
			}
			// After a rollback the model continues until the entries know.
			if since > all.decided+3*time.Second {
				all.all += int(m.rate * max(m.duration-since, 0).Seconds())
				return all
			}
		}
	}
	all.output.Stage = plan.stage
	return all
}

// clearEvidence empties the evidence and keeps its memory, which makes up much of the time of the tests otherwise.
func clearEvidence(evidence *Evidence) {
	evidence.Started = 0
	for i := range evidence.Routes {
		counts := &evidence.Routes[i]
		*counts = RouteEvidence{Route: counts.Route, Latency: counts.Latency[:0]}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		n++
		product *= random.Float64()
	}
	return n
}

//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the rollouts.
const (
	rolloutEntries = 8
	rolloutService = "registre-froid"
)

// rolloutStatus is what the system writes of a rollout.
type rolloutStatus struct {
	State string  `json:"state"`
	To    string  `json:"to"`
	Stage string  `json:"stage"`
	Share float64 `json:"share"`
}

// outOfTouch is a time in which a machine is not in touch.
type outOfTouch struct {
	entry    string
	from, to time.Time
}

// rollout is a rollout of a service of plain calls from version v1 to v2, with an operator that does what the pages say of its status.
type rollout struct {
	entries           []*entryProcess
	ordered, deadline time.Time
	// finished is closed once the clients are done, a second after the deadline.
	finished chan struct{}

	temporary string
	began     time.Time
	recordMu  sync.Mutex
	record    *os.File
	clients   *clients
	runsMu    sync.Mutex
	runs      []run
	endMu     sync.Mutex
	ended     string
	old, new  []*engine
}

// orderRollout starts a store, entries, engines of both versions and clients, and orders the rollout. prepare sets up an engine of the new
// version, onStatus is called for each status that is written.
func orderRollout(folder string, duration time.Duration, prepare func(*engine), onStatus func(rolloutStatus)) *rollout {
	r := &rollout{began: time.Now(), finished: make(chan struct{})}
	var err error
	r.record, err = os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	r.temporary, err = os.MkdirTemp("", "review-rollout-")
	check(err)
	s := newStore()
	s.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "entry", "hostname": "registre.example", "path_prefix": "/entry/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": rolloutService, "max_attempts": 3},
			{"name": "lookup", "hostname": "registre.example", "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": rolloutService, "max_attempts": 3},
		},
		"services": []map[string]any{{"name": rolloutService, "max_connections": 560}},
		"limits":   map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	zones := []string{"qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d"}
	for i, zone := range zones {
		r.old = append(r.old, r.startEngine(s, fmt.Sprintf("i-old-%d", i), zone, "v1", func(*engine) {}))
	}
	s.onStatus = func(kind, name string, text json.RawMessage) {
		var status rolloutStatus
		if kind != "rollouts" || json.Unmarshal(text, &status) != nil {
			return
		}
		r.say("status of the rollout: %s", text)
		onStatus(status)
		r.operate(status)
	}
	var places []string
	for i := range rolloutEntries {
		places = append(places, zones[i%len(zones)])
	}
	r.entries = newEntries(r.temporary, s.address, places, []string{
		"AZUREBARROW_ROLLOUT_SHARE=0.1", "AZUREBARROW_ROLLOUT_SLACK=50", "AZUREBARROW_ROLLOUT_ROLLBACK_MS=5000", "AZUREBARROW_ADDRESS_REUSE_S=2",
	})
	for _, e := range r.entries {
		e.start()
	}
	time.Sleep(6 * time.Second)
	checkReady(r.entries)
	r.clients = &clients{host: "registre.example", entries: r.entries, kinds: []callKind{
		{name: "entry", method: "POST", path: "/entry/", perSecond: 108, deadline: 1500 * time.Millisecond},
		{name: "lookup", method: "GET", path: "/lookup/", perSecond: 75, deadline: 1500 * time.Millisecond, idempotent: true},
	}}
	orderAt := time.Now().Add(5 * time.Second)
	go func() { r.clients.run(orderAt.Add(duration + time.Second)); close(r.finished) }()
	time.Sleep(time.Until(orderAt.Add(-time.Second)))
	for i, zone := range zones {
		r.new = append(r.new, r.startEngine(s, fmt.Sprintf("i-new-%d", i), zone, "v2", prepare))
	}
	time.Sleep(time.Until(orderAt))
	s.put("rollouts", rolloutService, map[string]any{"service": rolloutService, "to": "v2", "duration_s": duration.Seconds()})
	r.ordered = time.Now()
	r.deadline = r.ordered.Add(duration)
	r.say("ordered: %s to v2 within %v", rolloutService, duration)
	return r
}

// say notes what happens in the record.
func (r *rollout) say(format string, values ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// startEngine starts an engine and has it write its entry to the store until it stops.
func (r *rollout) startEngine(s *store, id, zone, version string, prepare func(*engine)) *engine {
	e := &engine{id: id, service: rolloutService, zone: zone, version: version, slots: 6, work: 30 * time.Millisecond}
	e.log = func(done run) {
		r.runsMu.Lock()
		defer r.runsMu.Unlock()
		r.runs = append(r.runs, done)
	}
	prepare(e)
	e.start()
	go func() {
		for !e.isStopped() {
			s.put("servers", e.id, e.spec())
			time.Sleep(heartbeat / 12)
		}
		s.expire("servers", e.id)
	}()
	return e
}

// operate ends the engines of a version once the rollout has ended.
func (r *rollout) operate(status rolloutStatus) {
	r.endMu.Lock()
	defer r.endMu.Unlock()
	if r.ended != "" || status.To != "v2" {
		return
	}
	switch status.State {
	case "succeeded":
		r.ended = status.State
		r.say("succeeded: the engines of v1 stop at once")
		for _, e := range r.old {
			e.stop()
		}
	case "rolled_back":
		r.ended = status.State
		go func() {
			time.Sleep(3 * time.Second)
			for _, e := range r.new {
				e.mu.Lock()
				e.state = "draining"
				e.mu.Unlock()
			}
			r.say("rolled back: the engines of v2 drain")
		}()
	}
}

// finish waits for the end and judges what the engines saw. A sound version may get any number of requests.
func (r *rollout) finish(isBad bool, out []outOfTouch) int {
	<-r.finished
	defer os.RemoveAll(r.temporary)
	defer r.record.Close()
	r.runsMu.Lock()
	defer r.runsMu.Unlock()
	r.recordMu.Lock()
	byID := map[string]attempt{}
	answers := map[string]int{}
	for _, a := range r.clients.attempts {
		byID[a.id] = a
		answers[fmt.Sprintf("%s %d", a.kind, a.status)]++
		fmt.Fprintf(r.record, "%.3f sent %s %s to %s, status %d\n", a.sent.Sub(r.began).Seconds(), a.kind, a.id, a.entry, a.status)
	}
	slices.SortFunc(r.runs, func(a, b run) int { return a.at.Compare(b.at) })
	reached, toNew, bad, late := 0, 0, 0, 0
	var limitAt time.Time
	for _, done := range r.runs {
		fmt.Fprintf(r.record, "%.3f ran %s at %s, %d\n", done.at.Sub(r.began).Seconds(), done.id, done.engine, done.status)
		if done.at.Before(r.ordered) || done.at.After(r.deadline) {
			continue
		}
		reached++
		isOut := slices.ContainsFunc(out, func(o outOfTouch) bool {
			return o.entry == byID[done.id].entry && done.at.After(o.from) && done.at.Before(o.to)
		})
		if done.version != "v2" || isOut {
			continue
		}
		toNew++
		late += one(!limitAt.IsZero() && byID[done.id].sent.After(limitAt))
		if done.status >= 500 {
			if bad++; bad == badAnswers {
				limitAt = done.at.Add(rollbackTime)
			}
		}
	}
	r.recordMu.Unlock()
	allowed := canaryShare*float64(reached) + canarySlack
	r.say("answers by kind and status: %v", answers)
	r.say("requests that reached the service between the order and its deadline: %d; at v2, from machines in touch: %d, bad answers %d; allowed if v2 is bad: %.0f", reached, toNew, bad, allowed)
	r.say("requests at v2, sent later than %v after its answer number %d that was bad: %d", rollbackTime, badAnswers, late)
	for _, e := range r.entries {
		e.copyLog(r.record, "msg=rollout")
	}
	if isBad && float64(toNew) > allowed {
		r.say("EXPOSURE is broken")
		return exitBroken
	}
	r.say("EXPOSURE held")
	return exitHeld
}

// copyLog copies the lines of the entry's log that hold the text.
func (e *entryProcess) copyLog(to io.Writer, text string) {
	log, _ := os.ReadFile(e.logFile)
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			fmt.Fprintf(to, "          %s: %s", e.name, line)
		}
	}
}

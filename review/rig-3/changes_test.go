//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	changesEntries  = 8
	changesDuration = 70
	// loadLimit is the number of requests a second from which on an engine of the new version fails some of them.
	loadLimit = 32
)

// leaderLost orders a rollout to a version that is bad under load only. As the last step has begun, the process that writes the status
// stands still for some time or, if that is 0, is killed and started again, as many times. One of soundOf requests beyond the load limit is
// answered well.
func leaderLost(frozen time.Duration, times, soundOf int) func(folder string, trouble bool) int {
	return func(folder string, trouble bool) int { return loseLeader(folder, trouble, frozen, times, soundOf) }
}

// outOfTouch is a time in which a machine is not in touch.
type outOfTouch struct {
	entry    string
	from, to time.Time
}

func loseLeader(folder string, trouble bool, frozen time.Duration, times, soundOf int) int {
	const service = "registre-froid"
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-leader-")
	check(err)
	defer os.RemoveAll(temporary)
	began := time.Now()
	var recordMu sync.Mutex
	say := func(format string, values ...any) {
		recordMu.Lock()
		defer recordMu.Unlock()
		fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
	}
	s := newStore()
	s.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "entry", "hostname": "registre.example", "path_prefix": "/entry/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": service, "max_attempts": 3},
			{"name": "lookup", "hostname": "registre.example", "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": service, "max_attempts": 3},
		},
		"services": []map[string]any{{"name": service, "max_connections": 560}},
		"limits":   map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	var runsMu sync.Mutex
	var runs []run
	newEngine := func(id, zone, version string) *engine {
		e := &engine{id: id, service: service, zone: zone, version: version, slots: 6, work: 30 * time.Millisecond}
		e.log = func(r run) {
			runsMu.Lock()
			defer runsMu.Unlock()
			runs = append(runs, r)
		}
		if version == "v2" {
			var recent []time.Time // guarded by the engine's lock
			e.fails = func(n int) bool {
				now := time.Now()
				recent = slices.DeleteFunc(append(recent, now), func(t time.Time) bool { return now.Sub(t) > time.Second })
				return len(recent) > loadLimit && n%soundOf != 0
			}
		}
		e.start()
		return e
	}
	beat := func(e *engine) {
		for !e.isStopped() {
			s.put("servers", e.id, e.spec())
			time.Sleep(heartbeat / 12)
		}
		s.expire("servers", e.id)
	}
	zones := []string{"qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d"}
	var old, fresh []*engine
	for i, zone := range zones {
		e := newEngine(fmt.Sprintf("i-old-%d", i), zone, "v1")
		old = append(old, e)
		go beat(e)
	}
	var endMu sync.Mutex
	ended, steps := "", 0
	lastStep := make(chan struct{}, times)
	s.onStatus = func(kind, name string, text json.RawMessage) {
		var status struct {
			State string  `json:"state"`
			To    string  `json:"to"`
			Stage string  `json:"stage"`
			Share float64 `json:"share"`
		}
		if kind != "rollouts" || json.Unmarshal(text, &status) != nil {
			return
		}
		say("status of the rollout: %s", text)
		endMu.Lock()
		defer endMu.Unlock()
		if status.Stage == "shift" && status.Share == 1 && steps < times {
			steps++
			lastStep <- struct{}{}
		}
		if ended != "" || status.To != "v2" {
			return
		}
		switch status.State {
		case "succeeded":
			ended = status.State
			say("succeeded: the engines of v1 stop at once")
			for _, e := range old {
				e.stop()
			}
		case "rolled_back":
			ended = status.State
			go func() {
				time.Sleep(3 * time.Second)
				for _, e := range fresh {
					e.mu.Lock()
					e.state = "draining"
					e.mu.Unlock()
				}
				say("rolled back: the engines of v2 drain")
			}()
		}
	}
	var places []string
	for i := range changesEntries {
		places = append(places, zones[i%len(zones)])
	}
	entries := newEntries(temporary, s.address, places, []string{
		"AZUREBARROW_ROLLOUT_SHARE=0.1", "AZUREBARROW_ROLLOUT_SLACK=50", "AZUREBARROW_ROLLOUT_ROLLBACK_MS=5000", "AZUREBARROW_ADDRESS_REUSE_S=2",
	})
	for _, e := range entries {
		e.start()
	}
	time.Sleep(6 * time.Second)
	checkReady(entries)
	traffic := &clients{host: "registre.example", entries: entries, kinds: []callKind{
		{name: "entry", method: "POST", path: "/entry/", perSecond: 108, deadline: 1500 * time.Millisecond},
		{name: "lookup", method: "GET", path: "/lookup/", perSecond: 75, deadline: 1500 * time.Millisecond, idempotent: true},
	}}
	ordered := time.Now().Add(5 * time.Second)
	finished := make(chan struct{})
	go func() { traffic.run(ordered.Add((changesDuration + 1) * time.Second)); close(finished) }()
	time.Sleep(time.Until(ordered.Add(-time.Second)))
	for i, zone := range zones {
		e := newEngine(fmt.Sprintf("i-new-%d", i), zone, "v2")
		fresh = append(fresh, e)
		go beat(e)
	}
	time.Sleep(time.Until(ordered))
	s.put("rollouts", service, map[string]any{"service": service, "to": "v2", "duration_s": changesDuration})
	ordered = time.Now()
	deadline := ordered.Add(changesDuration * time.Second)
	say("ordered: %s to v2 within %d s", service, changesDuration)
	var out []outOfTouch
	for range times {
		if !trouble {
			break
		}
		select {
		case <-lastStep:
		case <-finished:
			say("the last step did not begin")
			return exitUnable
		}
		leader := coordinator(entries, service)
		time.Sleep(500 * time.Millisecond)
		lostAt := time.Now()
		if frozen > 0 {
			check(leader.command.Process.Signal(syscall.SIGSTOP))
			say("%s stands still, the process that last wrote to the store under a condition", leader.name)
			time.Sleep(frozen)
			check(leader.command.Process.Signal(syscall.SIGCONT))
			say("%s goes on", leader.name)
		} else {
			leader.kill()
			say("%s is killed, the process that last wrote to the store under a condition", leader.name)
			time.Sleep(500 * time.Millisecond)
			leader.start()
			say("%s is started again", leader.name)
		}
		out = append(out, outOfTouch{leader.name, lostAt, time.Now().Add(stableWindow)})
	}
	<-finished

	runsMu.Lock()
	defer runsMu.Unlock()
	byID := map[string]attempt{}
	answers := map[string]int{}
	for _, a := range traffic.attempts {
		byID[a.id] = a
		answers[fmt.Sprintf("%s %d", a.kind, a.status)]++
		fmt.Fprintf(record, "%.3f sent %s %s to %s, status %d\n", a.sent.Sub(began).Seconds(), a.kind, a.id, a.entry, a.status)
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	reached, toNew, bad := 0, 0, 0
	for _, r := range runs {
		fmt.Fprintf(record, "%.3f ran %s at %s, %d\n", r.at.Sub(began).Seconds(), r.id, r.engine, r.status)
		if r.at.Before(ordered) || r.at.After(deadline) {
			continue
		}
		reached++
		isOut := slices.ContainsFunc(out, func(o outOfTouch) bool { return o.entry == byID[r.id].entry && r.at.After(o.from) && r.at.Before(o.to) })
		if r.version != "v2" || isOut {
			continue
		}
		toNew++
		bad += one(r.status >= 500)
	}
	allowed := canaryShare*float64(reached) + canarySlack
	say("answers by kind and status: %v", answers)
	say("requests that reached the service between the order and its deadline: %d; at v2, from machines in touch: %d, bad answers %d; allowed: %.0f", reached, toNew, bad, allowed)
	for _, e := range entries {
		keep, _ := os.ReadFile(e.logFile)
		for line := range strings.Lines(string(keep)) {
			if strings.Contains(line, "msg=rollout") {
				fmt.Fprintf(record, "          %s: %s", e.name, line)
			}
		}
	}
	if float64(toNew) > allowed {
		say("EXPOSURE is broken")
		return exitBroken
	}
	say("EXPOSURE held")
	return exitHeld
}

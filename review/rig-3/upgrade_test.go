//go:build review

package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Times of the case, in seconds after the traffic has started.
const (
	upgradeDownAt, upgradeUpAt = 8.0, 16.0
	upgradeFirst               = 8.5
	upgradeEvery               = 0.3
	upgradeAway                = 500 * time.Millisecond
	upgradeEnd                 = 24.0
	upgradeEngines             = 24
	// mixedAllowed is the number of streams with events of two versions that the rule excuses.
	mixedAllowed = 2
)

// upgradedInPlace has engines start again one after the other, under the ids that they had, with newer software. The store is away for 8 s
// meanwhile.
func upgradedInPlace(folder string, trouble bool) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-upgrade-")
	check(err)
	defer os.RemoveAll(temporary)
	began := time.Now()
	var mu sync.Mutex
	say := func(format string, values ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
	}
	s := newStore()
	s.put("config", "main", streamConfiguration())
	var arrivals []arrival
	var engines []*modelEngine
	zones := []string{"casa-a", "rabat-b", "fes-c"}
	for i := range upgradeEngines {
		e := &modelEngine{
			name: fmt.Sprintf("i-%02d", i), service: "guide-model", zone: zones[i%3], version: "v1", keepsID: true, slots: 64, events: 130, step: 28 * time.Millisecond, prefill: 1040 * time.Millisecond,
			store: s, say: say, arrived: func(a arrival) { mu.Lock(); defer mu.Unlock(); arrivals = append(arrivals, a) }, crashed: func(time.Time) {},
		}
		e.start()
		engines = append(engines, e)
	}
	entries := newEntries(temporary, s.address, []string{zones[0], zones[1], zones[2], zones[0], zones[1], zones[2], zones[0], zones[1]}, []string{"AZUREBARROW_ADDRESS_REUSE_S=2"})
	for _, e := range entries {
		e.start()
	}
	time.Sleep(6 * time.Second)
	checkReady(entries)
	var streams []soundStream
	var waiting sync.WaitGroup
	started := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(started.Add(time.Duration(seconds * float64(time.Second)))))
	}
	say("traffic starts")
	waiting.Go(func() {
		for next := started; next.Before(started.Add(time.Duration(upgradeEnd * float64(time.Second)))); next = next.Add(upgradeStreamEvery) {
			time.Sleep(time.Until(next))
			waiting.Go(func() {
				stream := sendStream(entries, "5c1e07a2:100,91bd3f06:100")
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, stream)
			})
		}
	})
	if trouble {
		at(upgradeDownAt)
		s.setBusy(true)
		say("the store is down, all calls get 503")
		waiting.Go(func() {
			at(upgradeUpAt)
			s.setBusy(false)
			say("the store is back")
		})
	}
	for i, e := range engines {
		at(upgradeFirst + float64(i)*upgradeEvery)
		waiting.Go(func() {
			e.restart("v2", upgradeAway)
			say("%s has started again under its id, with v2", e.name)
		})
	}
	waiting.Wait()

	mu.Lock()
	mixed, whole := 0, 0
	slices.SortFunc(streams, func(a, b soundStream) int { return a.sent.Compare(b.sent) })
	for _, a := range arrivals {
		fmt.Fprintf(record, "          %s reached %s at %.3f s\n", a.id, a.engine, a.at.Sub(began).Seconds())
	}
	for _, each := range streams {
		fmt.Fprintf(record, "          %s sent to %s at %.3f s: status %d, %d events, complete %t, by version %v\n", each.id, each.entry, each.sent.Sub(began).Seconds(), each.status, each.events, each.complete, each.versions)
		mixed += one(len(each.versions) > 1)
		whole += one(each.complete)
	}
	mu.Unlock()
	say("streams: %d, complete: %d, with events of two versions: %d (allowed: %d)", len(streams), whole, mixed, mixedAllowed)
	if mixed > mixedAllowed {
		say("ORDER is broken")
		return exitBroken
	}
	say("ORDER held")
	return exitHeld
}

// upgradeStreamEvery is the time between two streams: the 6.23 a second of balanza-serrana.
const upgradeStreamEvery = 160 * time.Millisecond

// streamConfiguration is a configuration with one route of streams that may be resumed.
func streamConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "history", "hostname": "rail.example", "path_prefix": "/history/", "kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 4500, "target_gap_ms": 700, "priority": 1, "service": "guide-model", "max_attempts": 5, "stream_resume": true, "sticky": true},
		},
		"services": []map[string]any{{"name": "guide-model", "max_connections": 370, "engine": map[string]any{"slots": 64, "kv_capacity": 55000, "stride": 5, "models": []map[string]any{{"name": "m"}}}}},
		"limits":   map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
}

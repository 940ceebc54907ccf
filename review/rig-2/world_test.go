//go:build review

package rig2

import (
	"fmt"
	"sync"
	"time"
)

// Names of the small deployment that the cases use.
const (
	host       = "ficu95.example"
	modelName  = "redactor-modelo"
	recordName = "registro-balanza"
	bookPath   = "/alta/"
	lookPath   = "/consulta/"
	streamPath = "/resumen/"
	apiKey     = "xd9dnn2ctnfzs989anu6"
)

// A draft has 140 events of 5 tokens on average, each token a step of 5.55 ms; its prompt of 5,000 tokens is read in a second.
const (
	modelEvents = 140
	modelGap    = 28 * time.Millisecond
)

var zones = []string{"norte-uy-a", "norte-uy-b", "norte-uy-c"}

// configuration is that of balanza-serrana, with one streaming route.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 2,
			"service": service, "max_attempts": attempts, "public": false,
		}
	}
	stream := route("resumen", streamPath, "streaming", modelName, 25000, 4500, 5)
	stream["sticky"], stream["stream_resume"], stream["target_gap_ms"] = true, true, 700
	return map[string]any{
		"version": version,
		"routes": []any{
			stream, route("alta", bookPath, "non_idempotent", recordName, 800, 100, 1), route("consulta", lookPath, "idempotent", recordName, 800, 100, 2),
		},
		"services": []any{
			map[string]any{"name": modelName, "health_path": "/health", "max_connections": 370, "engine": map[string]any{
				"slots": 64, "kv_capacity": 55000, "stride": 5, "backups": false, "moves": false, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": recordName, "health_path": "/health", "max_connections": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// world is a small deployment.
type world struct {
	*rig
	store   *store
	records []*engine
	models  []*engine
	fleet   *fleet
}

// newWorld starts the store, engines and entries.
func newWorld(r *rig, entries, models int) (*world, error) {
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	w := &world{rig: r, store: s}
	s.put("config", "main", configuration(7))
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-reg%d", i), service: recordName, zone: zones[i], version: "v1", slots: 6, work: 15 * time.Millisecond, store: s, record: r.record}
		if err := e.start(engineAddress(i)); err != nil {
			return nil, err
		}
		w.records = append(w.records, e)
	}
	for i := range models {
		e := &engine{
			id: fmt.Sprintf("i-mod%d", i), service: modelName, zone: zones[i%3], version: "v1", slots: 64, events: modelEvents, work: time.Second, interval: modelGap,
			store: s, record: r.record,
		}
		if err := e.start(engineAddress(3 + i)); err != nil {
			return nil, err
		}
		w.models = append(w.models, e)
	}
	if w.fleet, err = newFleet(r.folder, s, entries, zones); err != nil {
		return nil, err
	}
	if err := w.fleet.startAll(); err != nil {
		w.fleet.stop()
		return nil, err
	}
	return w, nil
}

func booking(deadline time.Duration) call {
	return call{kind: "pesada-alta", method: "POST", path: bookPath + "crate", host: host, key: apiKey, deadline: deadline, body: "weight=412"}
}

func lookup(deadline time.Duration) call {
	return call{kind: "pesada-consulta", method: "GET", path: lookPath + "crate", host: host, key: apiKey, deadline: deadline}
}

func draft(deadline time.Duration) call {
	return call{
		kind: "lote-resumen", method: "POST", path: streamPath + "lot", host: host, key: apiKey, deadline: deadline, body: "{}",
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "5000,700"},
	}
}

// load sends calls at a steady rate, to all entries in turn, until stop is closed.
func (w *world) load(perSecond int, prefix string, of func(n int) call, stop <-chan struct{}) *sync.WaitGroup {
	var sent sync.WaitGroup
	sent.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			e := w.fleet.entries[n%len(w.fleet.entries)]
			sent.Go(func() { w.send(e, fmt.Sprintf("%s-%05d", prefix, n), of(n)) })
		}
	})
	return &sent
}

// engineAddress returns the address of an engine.
func engineAddress(n int) string { return hostAddress(engineHosts+n) + ":8080" }

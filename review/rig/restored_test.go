//go:build review

package rig

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["restored"] = playRestored }

// What the case's days name: the bounds of the site's sheet, and the drill.
const (
	awayFor        = 500 * time.Millisecond  // "for a moment"
	copyAge        = 2500 * time.Millisecond // "some seconds old"
	configApply    = 2 * time.Second
	maxStretch     = 5 * time.Second
	stableWindow   = 3 * time.Second
	changedEngines = 12
	// writeGap is the time between the writes of two engines.
	writeGap = 10 * time.Millisecond
)

// playRestored has the store come back from a copy of some seconds ago while the operator changes the configuration. It then sends
// requests with the key that the newest configuration took away, and requests on the route that it added.
func playRestored(r *rig) int {
	services := []map[string]any{plainService("desk"), modelService("model")}
	hold, lookup, added := plainRoute("hold", "/hold/", "non_idempotent", "desk", 1), plainRoute("lookup", "/lookup/", "idempotent", "desk", 2),
		plainRoute("added", "/added/", "idempotent", "desk", 2)
	routes := []map[string]any{hold, lookup}
	r.store.put("config", "main", configuration(3, routes, services, "key-a", "key-b"))
	r.startEngines("desk", 3, engineOptions{service: "desk", version: "v1", slots: 6, work: 15 * time.Millisecond})
	engines := r.startEngines("model", 18, engineOptions{service: "model", version: "v1", slots: 64, events: 20, interval: 20 * time.Millisecond})
	r.startEntries(8)
	r.at(6)

	for _, e := range engines[:changedEngines] {
		r.store.put("servers", e.id, e.spec("ready", 2000))
	}
	time.Sleep(time.Second)
	saved := r.store.snapshot()
	r.note("the drill's copy is taken at revision %d", saved.revision)
	time.Sleep(copyAge / 2)
	second := configuration(7, routes, services, "key-a", "key-b", "key-c")
	// An engine's entry changes while it warms up.
	writeAgain := func() {
		for _, e := range engines[:changedEngines] {
			r.store.put("servers", e.id, e.spec("ready", 800))
			time.Sleep(writeGap)
		}
	}
	revision, _ := r.store.put("config", "main", second)
	writeAgain()
	r.note("version 7 of the configuration is acknowledged at revision %d; %d engines have written; the store is at %d", revision, changedEngines, r.store.revision())
	time.Sleep(copyAge / 2)
	r.probe("before the drill", "key-b", "/hold/1", http.MethodPost)

	before := r.store.revision()
	if r.trouble {
		r.store.setMode(silent)
		r.note("the store is away, at revision %d", before)
		time.Sleep(awayFor)
		r.store.restore(saved)
		r.store.setMode(up)
		r.note("the store is back from the copy, at revision %d", r.store.revision())
		r.store.put("config", "main", second)
	} else {
		time.Sleep(awayFor)
	}
	// The newest configuration takes key-b away and adds a route.
	revision, ok := r.store.put("config", "main", configuration(9, append(routes, added), services, "key-a", "key-c"))
	acknowledged := time.Now()
	r.note("version 9 of the configuration is acknowledged at revision %d: %v", revision, ok)
	writeAgain()
	r.note("what the engines wrote is written again; the store is at revision %d, was at %d before the drill", r.store.revision(), before)

	time.Sleep(max(configApply+maxStretch, awayFor+stableWindow) + time.Second)
	r.note("%.1f s after the acknowledgement; all machines have been in touch for the stable window", time.Since(acknowledged).Seconds())
	ranRevoked, denied := 0, 0
	const rounds = 5
	for range rounds {
		ran, _ := r.probe("with the key that version 9 took away", "key-b", "/hold/1", http.MethodPost)
		_, refused := r.probe("on the route that version 9 added", "key-a", "/added/1", http.MethodGet)
		ranRevoked, denied = ranRevoked+ran, denied+refused
		time.Sleep(2 * time.Second)
	}
	r.keepLogs()
	r.note("requests that ran with a key that is not in force: %d; proper requests refused with 404: %d; of %d each", ranRevoked, denied, rounds*len(r.entries))
	if ranRevoked > 0 || denied > 0 {
		return broken
	}
	return held
}

// probe sends one request to each entry. It returns how many of them ran at an engine, and how many were answered 401, 403 or 404.
func (r *rig) probe(what, key, path, method string) (ran, refused int) {
	answers := make([]answer, len(r.entries))
	var sent sync.WaitGroup
	for i, e := range r.entries {
		sent.Go(func() {
			answers[i] = r.newClient(e).do(request{method: method, path: path, key: key, timeout: 1500 * time.Millisecond})
		})
	}
	sent.Wait()
	byID := map[string]string{}
	for _, each := range r.ledger.all() {
		byID[each.request] = each.engine
	}
	statuses := ""
	for _, got := range answers {
		at, hasRun := byID[got.id]
		if hasRun {
			ran++
		}
		switch got.status {
		case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
			refused++
		}
		statuses += fmt.Sprintf(" %s:%s:%d:%s", got.entry, got.id, got.status, at)
	}
	r.note("%s %s %s, entry:request:status:engine that ran it:%s", what, method, path, statuses)
	return ran, refused
}

//go:build review

package rig2

import (
	"fmt"
	"time"
)

func init() { cases["foreign"] = runForeign }

const (
	// mirrorService is a service that no configuration names.
	mirrorService = "registro-espejo"
	// recovery is recovery_s of the deployment, downTime how long its processes are away at the final fault.
	recovery, downTime = 12 * time.Second, 800 * time.Millisecond
	// minServed is the share of requests that RECOVER wants served.
	minServed = 0.25
)

// runForeign has another writer leave entries in the store that name a service which isn't configured and the addresses of sound engines.
// All processes are killed at the end, as on a day with a final fault; that happens without the trouble too.
func runForeign(r *rig) (bool, error) {
	w, err := newWorld(r, 8, 24)
	if err != nil {
		return false, err
	}
	defer w.fleet.stop()
	stop := make(chan struct{})
	calls := w.load(28, "call", func(n int) call {
		if n%28 < 20 {
			return booking(1500 * time.Millisecond)
		}
		return lookup(1500 * time.Millisecond)
	}, stop)
	drafts := w.load(6, "draft", func(int) call { return draft(25 * time.Second) }, stop)
	time.Sleep(10 * time.Second)
	if r.trouble {
		for i, e := range w.records {
			name, entry := fmt.Sprintf("m-%d", i), e.entry("ready")
			entry["service"], entry["born"] = mirrorService, time.Now().UnixMilli()
			w.store.put("servers", name, entry)
			r.note("another writer leaves servers/%s: service %s at %s, where %s of %s serves", name, mirrorService, e.address, e.id, e.service)
		}
	}
	time.Sleep(2 * time.Second)
	fault := time.Now()
	r.note("all processes are killed")
	for _, e := range w.fleet.entries {
		e.kill()
	}
	time.Sleep(downTime)
	if err := w.fleet.startAll(); err != nil {
		return false, err
	}
	back := time.Now()
	r.note("all processes are back")
	time.Sleep(recovery + 8*time.Second)
	close(stop)
	calls.Wait()
	drafts.Wait()
	var before, after share
	for _, a := range r.attempts {
		switch {
		case a.sent.Before(fault):
			before.add(a)
		case a.sent.After(back.Add(recovery)):
			after.add(a)
		}
	}
	r.note("served before the final fault: %s; later than recovery_s after it: %s", before, after)
	broken := before.of() >= minServed && after.of() < minServed
	r.note("RECOVER: broken %v", broken)
	return broken, nil
}

// share counts the requests that were served.
type share struct{ served, all int }

func (s *share) add(a *attempt) {
	s.all++
	if a.served() {
		s.served++
	}
}

func (s share) of() float64 { return float64(s.served) / float64(max(1, s.all)) }

// String implements fmt.Stringer.
func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.all) }

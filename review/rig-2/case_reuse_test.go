//go:build review

package rig2

import (
	"fmt"
	"time"
)

func init() { cases["reuse"] = runReuse }

const (
	// foreignService is a service that no configuration names.
	foreignService = "traductor-modelo"
	// storeDownTime is how long the store is silent, addressReuse how long an address stays free after its engine has ended.
	storeDownTime = 8 * time.Second
	addressReuse  = 2200 * time.Millisecond
	// reusedEngines is the number of engines that crash for good: a share of 0.15 of 24 at most.
	reusedEngines = 3
)

// runReuse has engines crash for good while the store is silent, and their addresses go to engines of a service that the configuration
// doesn't name and that runs the same model. It counts the requests that these run.
func runReuse(r *rig) (bool, error) {
	w, err := newWorld(r, 8, 24)
	if err != nil {
		return false, err
	}
	defer w.fleet.stop()
	stop := make(chan struct{})
	drafts := w.load(6, "draft", func(int) call { return draft(25 * time.Second) }, stop)
	bookings := w.load(20, "book", func(int) call { return booking(1500 * time.Millisecond) }, stop)
	time.Sleep(5 * time.Second)
	if r.trouble {
		w.reuseAddresses()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	drafts.Wait()
	bookings.Wait()
	foreign := 0
	for _, each := range r.runs {
		if each.service == foreignService {
			foreign++
			r.note("%s was run by %s of service %s", each.id, each.engine, each.service)
		}
	}
	r.note("ROUTE: %d requests were run by a service to which no configuration allows them to go", foreign)
	return foreign > 0, nil
}

func (w *world) reuseAddresses() {
	w.note("the store is silent")
	w.store.setSilent(true)
	end := time.Now().Add(storeDownTime)
	time.Sleep(500 * time.Millisecond)
	gone := w.models[:reusedEngines]
	for _, e := range gone {
		w.note("%s of service %s at %s has crashed for good", e.id, e.service, e.address)
		e.crash()
	}
	time.Sleep(addressReuse)
	for i, e := range gone {
		other := &engine{
			id: fmt.Sprintf("i-tra%d", i), service: foreignService, zone: e.zone, version: "v1", slots: 64, events: modelEvents, work: time.Second,
			interval: modelGap, store: w.store, record: w.record,
		}
		if err := other.listen(e.address); err != nil {
			w.note("the address can't be used: %v", err)
			continue
		}
		w.note("%s of service %s starts at %s", other.id, other.service, other.address)
		defer other.register("ready") // once the store takes it
	}
	time.Sleep(time.Until(end))
	w.store.setSilent(false)
	w.note("the store answers")
}

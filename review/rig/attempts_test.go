//go:build review

package rig

import (
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

func init() { cases["attempts"] = playAttempts }

const (
	// lossShare of the engines lose the answers of lossRate of the requests that they ran, for lossFor, lossTimes in a row: the
	// site file's answer_lost.
	lossShare, lossRate = 0.6, 0.4
	lossFor, lossPause  = 4 * time.Second, 1500 * time.Millisecond
	lossTimes           = 10
	// maxAttempts is the route's max_attempts; overAllowed requests may run on more engines.
	maxAttempts, overAllowed = 2, 3
)

// playAttempts has sound engines lose the answers of streams that they ran, and counts the engines on which each attempt of a client
// ran.
func playAttempts(r *rig) int {
	r.store.put("config", "main", configuration(3, []map[string]any{streamRoute("drafts", "/drafts/", "model", maxAttempts)},
		[]map[string]any{modelService("model")}, "key-a"))
	var losing atomic.Int64
	loses := func(engine string) func(string) bool {
		return func(string) bool {
			round := losing.Load()
			if round == 0 {
				return false
			}
			sum := fnv.New32a()
			_, _ = sum.Write([]byte{byte(round)})
			_, _ = sum.Write([]byte(engine))
			return sum.Sum32()%100 < lossShare*100 && rand.Float64() < lossRate
		}
	}
	options := engineOptions{service: "model", version: "v1", slots: 64, events: 100, interval: 10 * time.Millisecond, work: 200 * time.Millisecond}
	for _, e := range r.startEngines("model", 18, options) {
		e.losesAnswer = loses(e.id)
	}
	r.startEntries(8)
	r.at(8)

	answers := r.startStreams(1, "/drafts/1", lossTimes*(lossFor+lossPause))
	for round := range lossTimes {
		time.Sleep(lossPause)
		if r.trouble {
			losing.Store(int64(round) + 1)
			r.note("engines begin to lose answers")
		}
		time.Sleep(lossFor)
		losing.Store(0)
	}
	got := map[string]answer{}
	for each := range answers {
		got[each.id] = each
	}
	engines := map[string]map[string]bool{}
	for _, each := range r.ledger.all() {
		if engines[each.request] == nil {
			engines[each.request] = map[string]bool{}
		}
		engines[each.request][each.engine] = true
	}
	counts, over := map[int]int{}, 0
	for id, ran := range engines {
		counts[len(ran)]++
		if len(ran) > maxAttempts {
			over++
			r.note("- %s at %s, status %d, ran on %d engines", id, got[id].entry, got[id].status, len(ran))
		}
	}
	r.keepLogs()
	r.note("requests by the number of engines on which they ran: %v", counts)
	r.note("requests that ran on more than max_attempts %d engines: %d (BUDGET excuses %d); no engine ended or was cut off", maxAttempts, over, overAllowed)
	if over > overAllowed {
		return broken
	}
	return held
}

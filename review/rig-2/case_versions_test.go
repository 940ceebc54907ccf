//go:build review

package rig2

import (
	"strings"
	"time"
)

func init() { cases["versions"] = runVersions }

const (
	// maxJoined is the number of streams of two versions that ORDER allows.
	maxJoined = 2
	// upgradeGap is the time between the restarts of two engines, upgradeTime that for which one is away.
	upgradeGap, upgradeTime = time.Second, 500 * time.Millisecond
	// upgraded is the number of engines that are restarted: a share of 0.5 of 12.
	upgraded = 6
)

// runVersions has engines start again one after the other, under their ids and with a newer version of their software, while the store is
// silent. It counts the streams that hold events of both versions.
func runVersions(r *rig) (bool, error) {
	w, err := newWorld(r, 8, 12)
	if err != nil {
		return false, err
	}
	defer w.fleet.stop()
	stop := make(chan struct{})
	drafts := w.load(10, "draft", func(int) call { return draft(25 * time.Second) }, stop)
	time.Sleep(6 * time.Second)
	if r.trouble {
		w.upgradeWhileSilent()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	drafts.Wait()
	joined := 0
	for _, a := range r.attempts {
		if strings.Contains(a.body, "data: v1 ") && strings.Contains(a.body, "data: v2 ") {
			joined++
			r.note("%s holds %d events of v1 and %d of v2", a.id, strings.Count(a.body, "data: v1 "), strings.Count(a.body, "data: v2 "))
		}
	}
	r.note("ORDER: %d streams hold events of two versions, %d allowed", joined, maxJoined)
	return joined > maxJoined, nil
}

func (w *world) upgradeWhileSilent() {
	w.note("the store is silent")
	w.store.setSilent(true)
	end := time.Now().Add(storeDownTime)
	time.Sleep(500 * time.Millisecond)
	for _, e := range w.models[:upgraded] {
		next := time.Now().Add(upgradeGap)
		_ = e.server.Close()
		time.Sleep(upgradeTime)
		e.mu.Lock()
		e.version, e.born = "v2", 0
		e.mu.Unlock()
		if err := e.listen(e.address); err != nil {
			w.note("%s can't start again: %v", e.id, err)
			return
		}
		w.note("%s has started again with version v2", e.id)
		defer e.register("ready") // once the store takes it
		time.Sleep(time.Until(next))
	}
	time.Sleep(time.Until(end))
	w.store.setSilent(false)
	w.note("the store answers")
}

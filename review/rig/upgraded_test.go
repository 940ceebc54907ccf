//go:build review

package rig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgraded"] = playUpgraded }

const (
	storeDownFor = 8 * time.Second         // platform_down
	engineDown   = 1200 * time.Millisecond // srv_crash
	// crashed is the number of engines of a zone that crash, all: a share of 1.0.
	crashed = 6
	// mixedAllowed is the number of streams of two versions that ORDER excuses.
	mixedAllowed = 2
)

// playUpgraded crashes the engines of a zone while the store is down. They start again at their addresses with newer software, which
// they can't register yet. Then they crash once more, and their streams go on elsewhere.
func playUpgraded(r *rig) int {
	services := []map[string]any{modelService("model")}
	r.store.put("config", "main", configuration(3, []map[string]any{streamRoute("drafts", "/drafts/", "model", 5)}, services, "key-a"))
	options := engineOptions{service: "model", version: "v1", slots: 64, events: 130, interval: 30 * time.Millisecond}
	engines := r.startEngines("model", 18, options)
	var first []*engine
	for i, e := range engines {
		if i%3 == 0 && len(first) < crashed {
			first = append(first, e)
		}
	}
	r.startEntries(8)
	r.at(8)

	answers := r.startStreams(5, "/drafts/1", 18*time.Second)
	r.at(12)
	if r.trouble {
		r.store.setMode(busy)
		r.note("the store is down: it answers 503")
		down := time.Now()
		time.Sleep(300 * time.Millisecond)
		next := r.crash(first, "v2")
		time.Sleep(5100 * time.Millisecond)
		next = r.crash(next, "v2")
		time.Sleep(storeDownFor - time.Since(down))
		r.store.setMode(up)
		r.note("the store is back")
		for _, e := range next {
			r.store.put("servers", e.id, e.spec("ready", 0))
		}
		for _, e := range first {
			r.store.remove("servers", e.id) // they have sent nothing for three heartbeats
		}
	}
	mixed, whole := 0, 0
	for got := range answers {
		versions := versionsOf(got.body)
		if got.err == nil && got.status == 200 {
			whole++
		}
		if len(versions) > 1 {
			mixed++
			r.note("- %s at %s, status %d, error %v: events of %s", got.id, got.entry, got.status, got.err, strings.Join(versions, ", "))
		}
	}
	r.keepLogs()
	r.note("complete streams: %d; streams with events of two versions: %d (ORDER excuses %d)", whole, mixed, mixedAllowed)
	if mixed > mixedAllowed {
		return broken
	}
	return held
}

// crash crashes engines, which start again at their addresses under other IDs, with software of a version.
func (r *rig) crash(engines []*engine, version string) (started []*engine) {
	for _, e := range engines {
		e.crash()
	}
	r.note("%d engines of %s crash, %s the first", len(engines), engines[0].zone, engines[0].id)
	time.Sleep(engineDown)
	registered := 0
	for _, e := range engines {
		options := e.engineOptions
		options.version = version
		next, err := startEngine(e.id+"-again", e.address, options)
		if err != nil {
			panic(err)
		}
		started, r.engines = append(started, next), append(r.engines, next)
		if _, ok := r.store.put("servers", next.id, next.spec("ready", 0)); ok {
			registered++
		}
	}
	r.note("they are back with version %s, each under another ID; %d could register", version, registered)
	return started
}

// startStreams has clients at each entry send one stream after another for a time. The channel is closed when the last one has ended.
func (r *rig) startStreams(perEntry int, path string, length time.Duration) <-chan answer {
	answers := make(chan answer, 100000)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	var clients sync.WaitGroup
	for _, e := range r.entries {
		for i := range perEntry {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				c := r.newClient(e)
				for n := 0; ctx.Err() == nil; n++ {
					answers <- c.do(request{method: "POST", path: path, key: "key-a", timeout: 25 * time.Second, body: fmt.Appendf(nil, "prompt %s %d %d", e.name, i, n), header: map[string]string{
						"X-Model": "m", "X-Token-Usage": "5000,650", "X-Prompt-Prefix": fmt.Sprintf("aa%d:200,%s%d%d:4800", n%7, e.name[5:], i, n),
					}})
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	go func() { clients.Wait(); cancel(); close(answers) }()
	return answers
}

// versionsOf returns the versions that made the events of a stream.
func versionsOf(body string) []string {
	var versions []string
	for _, version := range []string{"v1", "v2"} {
		if strings.Contains(body, "data: "+version+" ") {
			versions = append(versions, version)
		}
	}
	return versions
}

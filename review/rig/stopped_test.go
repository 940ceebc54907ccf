//go:build review

package rig

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopped"] = playStopped }

const (
	shortEvents, longEvents = 20, 130
	eventInterval           = 30 * time.Millisecond
	shortClients            = 6
	longClients             = 12
	// longGap is the time between the streams that the clients send after the SIGTERM; LOST excuses what is sent up to 3 s after it.
	longGap, excused = 500 * time.Millisecond, 3 * time.Second
)

// playStopped stops one entry by SIGTERM and has clients send long streams over connections that they have kept.
func playStopped(r *rig) int {
	r.store.put("config", "main", configuration(3, []map[string]any{streamRoute("summary", "/summary/", "short", 5), streamRoute("history", "/history/", "long", 5)},
		[]map[string]any{modelService("short"), modelService("long")}, "key-a"))
	options := engineOptions{service: "short", version: "v1", slots: 64, events: shortEvents, interval: eventInterval}
	r.startEngines("short", 6, options)
	options.service, options.events = "long", longEvents
	r.startEngines("long", 6, options)
	r.startEntries(3)
	r.at(6)
	e := r.entries[0]
	history := request{method: "POST", path: "/history/1", key: "key-a", timeout: 25 * time.Second, body: []byte("prompt"), header: map[string]string{
		"X-Model": "m", "X-Token-Usage": "5000,650", "X-Prompt-Prefix": "aa1:200,bb1:4800",
	}}
	summary := history
	summary.path, summary.header = "/summary/1", map[string]string{"X-Model": "m", "X-Token-Usage": "5000,100", "X-Prompt-Prefix": "aa1:200,cc1:4800"}

	stopAt := time.Now().Add(9 * time.Second)
	var clients sync.WaitGroup
	for range shortClients {
		clients.Go(func() {
			c := r.newClient(e)
			for time.Now().Add(time.Second).Before(stopAt) {
				c.do(summary)
			}
		})
	}
	answers := make(chan answer, longClients)
	for i := range longClients {
		clients.Go(func() {
			c := r.newClient(e)
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			before := c.do(history)
			r.note("- %s before the stop: status %d after %.1f s, error %v", before.id, before.status, before.done.Sub(before.sent).Seconds(), before.err)
			time.Sleep(time.Until(stopAt.Add(time.Duration(i) * longGap)))
			answers <- c.do(history)
		})
	}
	time.Sleep(time.Until(stopAt))
	if r.trouble {
		e.signal(syscall.SIGTERM)
		r.note("%s gets SIGTERM", e.name)
	}
	clients.Wait()
	close(answers)
	ran := map[string]bool{}
	for _, each := range r.ledger.all() {
		ran[each.request] = true
	}
	cut, whole, refused, early := 0, 0, 0, 0
	for got := range answers {
		events := strings.Count(got.body, "data: ")
		r.note("%s sent %.1f s after the SIGTERM: status %d, %d of %d events, ended %.1f s after the SIGTERM, error %v", got.id,
			got.sent.Sub(stopAt).Seconds(), got.status, events, longEvents, got.done.Sub(stopAt).Seconds(), got.err)
		switch {
		case got.err == nil && got.status == 200 && events == longEvents:
			whole++
		case got.err != nil && ran[got.id] && got.sent.Sub(stopAt) <= excused:
			early++
		case got.err != nil && ran[got.id]:
			cut++
		default:
			refused++
		}
	}
	r.keepLogs()
	r.note("streams of kept connections after the SIGTERM: %d complete, %d refused or not read, %d cut that were sent within 3 s, %d cut that were sent later",
		whole, refused, early, cut)
	if cut > 0 {
		return broken
	}
	return held
}

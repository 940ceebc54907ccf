//go:build review

package rig

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

// memoryBytes returns the memory of a process that is in use now, in bytes.
func (e *entry) memoryBytes() int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(e.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

const (
	// memoryLimit is memory_mb of the site's machines.
	memoryLimit = 284 << 20
	// bodyLimit is max_body_bytes of the configuration.
	bodyLimit = 4194304
	// manyClients are the 25 clients of a zone, 1.7 times: burst.
	manyClients     = 42
	ordinaryClients = 12
	// lostAllowed is the number of requests that LOST excuses.
	lostAllowed = 3
)

// playMemory has users come at once who each send a body as large as the configuration allows, beside clients that send small calls.
// As the platform does, it kills a process whose memory exceeds the limit, and starts it again.
func playMemory(r *rig) int {
	r.store.put("config", "main", configuration(3, []map[string]any{plainRoute("hold", "/hold/", "non_idempotent", "desk", 1)},
		[]map[string]any{plainService("desk")}, "key-a"))
	// An engine runs 6 requests and queues 24.
	r.startEngines("desk", 3, engineOptions{service: "desk", version: "v1", slots: 30, work: 60 * time.Millisecond})
	r.startEntries(3)
	r.at(6)
	e := r.entries[0]
	var kills atomic.Int64
	stop := make(chan struct{})
	go r.enforceMemory(e, &kills, stop)

	answers := make(chan answer, 100000)
	ordinary := make(chan struct{})
	var clients sync.WaitGroup
	for range ordinaryClients {
		clients.Go(func() {
			c := r.newClient(e)
			for {
				select {
				case <-ordinary:
					return
				default:
				}
				answers <- c.do(request{method: "POST", path: "/hold/small", key: "key-a", timeout: 1500 * time.Millisecond, body: []byte("hold")})
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	body := make([]byte, bodyLimit)
	statuses := map[int]int{}
	for range 3 {
		if !r.trouble {
			break
		}
		r.note("%d users send a call of %d bytes each", manyClients, bodyLimit)
		var large sync.WaitGroup
		var mu sync.Mutex
		for range manyClients {
			large.Go(func() {
				got := r.newClient(e).do(request{method: "POST", path: "/hold/large", key: "key-a", timeout: 1500 * time.Millisecond, body: body})
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
		large.Wait()
		r.note("their answers so far, by status (0: the connection ended): %v", statuses)
		time.Sleep(5 * time.Second)
	}
	close(ordinary)
	clients.Wait()
	close(stop)
	close(answers)
	ran := map[string]bool{}
	for _, each := range r.ledger.all() {
		ran[each.request] = true
	}
	lost, whole := 0, 0
	for got := range answers {
		if got.err == nil {
			whole++
		} else if ran[got.id] {
			lost++
			r.note("- %s ran at an engine and got no answer: %v", got.id, got.err)
		}
	}
	r.keepLogs()
	r.note("answers to the %d ordinary clients: %d; the process was killed for its memory %d times; their requests that ran and whose connection ended without an answer: %d (LOST excuses %d)",
		ordinaryClients, whole, kills.Load(), lost, lostAllowed)
	if lost > lostAllowed {
		return broken
	}
	return held
}

// enforceMemory kills an entry whose memory exceeds the limit and starts it again.
func (r *rig) enforceMemory(e *entry, kills *atomic.Int64, stop <-chan struct{}) {
	var peak int64
	for {
		select {
		case <-stop:
			r.note("most memory in use: %d MB of %d", peak>>20, memoryLimit>>20)
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := e.memoryBytes()
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		kills.Add(1)
		e.signal(syscall.SIGKILL)
		<-e.ended
		r.note("%s uses %d MB and is killed", e.name, used>>20)
		time.Sleep(300 * time.Millisecond)
		e.run()
		e.awaitReady()
	}
}

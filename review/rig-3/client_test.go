//go:build review

package rig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	sent, ended time.Time
	id, kind    string
	entry       string
	status      int // 0 for a connection that ended without an answer
	signed      bool
}

// clients send plain calls at a steady rate, each on a new connection, to the entries in rotation.
type clients struct {
	host    string
	kinds   []callKind
	entries []*entryProcess

	mu       sync.Mutex
	out      map[*entryProcess]bool
	attempts []attempt
	waiting  sync.WaitGroup
}

// callKind is a kind of plain calls.
type callKind struct {
	name, method, path string
	perSecond          float64
	deadline           time.Duration
	idempotent         bool
}

func (c *clients) pick() *entryProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []*entryProcess
	for _, e := range c.entries {
		if !c.out[e] {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = c.entries
	}
	return usable[rand.IntN(len(usable))]
}

// run sends calls until the end.
func (c *clients) run(until time.Time) {
	c.out = map[*entryProcess]bool{}
	for _, e := range c.entries {
		go e.watchReady(func(out bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.out[e] = out
		})
	}
	for _, kind := range c.kinds {
		c.waiting.Go(func() {
			for next := time.Now(); next.Before(until); next = next.Add(time.Duration(float64(time.Second) / kind.perSecond)) {
				time.Sleep(time.Until(next))
				c.waiting.Go(func() { c.call(kind) })
			}
		})
	}
	c.waiting.Wait()
}

// call sends a call and retries it once as the pages allow.
func (c *clients) call(kind callKind) {
	deadline := time.Now().Add(kind.deadline)
	for range 2 {
		wait, again := c.attempt(kind, time.Until(deadline))
		if !again || time.Until(deadline) < wait+50*time.Millisecond {
			return
		}
		time.Sleep(wait)
	}
}

func (c *clients) attempt(kind callKind, left time.Duration) (wait time.Duration, again bool) {
	entry := c.pick()
	a := attempt{sent: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64()), kind: kind.name, entry: entry.name}
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(kind.method, "http://"+entry.front+kind.path+a.id, strings.NewReader(map[bool]string{true: "", false: "crate " + a.id}[kind.idempotent]))
	check(err)
	request.GetBody = nil
	request.Host = c.host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	response, err := client.Do(request)
	refused := err != nil && strings.Contains(err.Error(), "connection refused")
	if err == nil {
		a.status = response.StatusCode
		a.signed = response.Header.Get("X-Response-Signature") != ""
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(seconds*float64(time.Second)), left/3)
		}
	}
	a.ended = time.Now()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	switch {
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || refused:
		return wait, true
	case a.status >= 200 && a.status < 300:
		return 0, false
	}
	return wait, kind.idempotent
}

//go:build review

package rig2

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["limit"] = runLimit }

const (
	// largestLimit is the largest signed 64-bit integer, which programs use for "no limit".
	largestLimit = "9223372036854775807"
	// maxClosed is how many requests LOST allows to be closed without an answer.
	maxClosed = 3
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = time.Second
	// draftClients is the number of clients of an entry that have drafts written, draftTime what one takes: a second until its first event.
	draftClients = 4
	draftTime    = 5 * time.Second
)

// bookingClients are the clients of each entry that book: their share is uneven, since the platform chooses the entry by a hash of the client.
var bookingClients = []int{5, 4, 4, 3, 1, 1, 1, 1}

// runLimit has the engines of a service name a Server-Limit that is a large decimal number. It counts the requests on kept connections that a sound engine
// got and that ended with their connection.
func runLimit(r *rig) (bool, error) {
	w, err := newWorld(r, 8, 24)
	if err != nil {
		return false, err
	}
	defer w.fleet.stop()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, e := range w.fleet.entries {
		for n := range draftClients {
			k := &keptClient{record: r.record, entry: e, prefix: fmt.Sprintf("draft-%d-%d", i, n)}
			clients.Go(func() {
				// The clients don't send in step.
				time.Sleep(time.Duration(draftClients*i+n) * draftTime / time.Duration(draftClients*len(w.fleet.entries)))
				k.run(draft(25*time.Second), 100*time.Millisecond, stop)
			})
		}
		for n := range bookingClients[i] {
			k := &keptClient{record: r.record, entry: e, prefix: fmt.Sprintf("book-%d-%d", i, n)}
			clients.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(bookingClients[i]))
				k.run(booking(1500*time.Millisecond), time.Second, stop)
			})
		}
	}
	ends := w.fleet.restartEnded(r.record, restartDelay, stop)
	time.Sleep(8 * time.Second)
	if r.trouble {
		r.note("the engines of %s name Server-Limit: %s", recordName, largestLimit)
		for _, e := range w.records {
			e.setHeader("Server-Limit", largestLimit)
		}
	}
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	ended := ends()
	closed := 0
	for _, a := range r.attempts {
		if a.kept && a.err != nil && a.status == 0 && r.wasRun(a.id) {
			closed++
			r.note("%s on a kept connection was passed on and got no answer: %v", a.id, a.err)
		}
	}
	r.note("processes ended by themselves %d times; LOST: %d requests closed without an answer, %d allowed", ended, closed, maxClosed)
	return closed > maxClosed, nil
}

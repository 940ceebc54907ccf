package entry

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// The users' bound: between pauseSlack after a target asked an entry for a pause and the end of that time, no more than
// maxInPause requests reach it from the entry.
const (
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
)

// mostInPause returns the largest number of requests that reached a target from an entry within a pause that it had asked
// that entry for, and the number of pauses asked for. entryOf returns the entry that sent a request.
func (s *standinTarget) mostInPause(t *testing.T, entryOf func(request string) int) (most, asked int) {
	t.Helper()
	records, err := target.ReadLog(s.log)
	if err != nil {
		t.Fatal(err)
	}
	for _, refusal := range records {
		if refusal.What != target.Refused || refusal.AskedPause == 0 {
			continue
		}
		asked++
		count := 0
		for _, record := range records {
			arrived := record.What == target.Began || record.What == target.Refused
			if arrived && entryOf(record.Request) == entryOf(refusal.Request) &&
				record.At.After(refusal.At.Add(pauseSlack)) && record.At.Before(refusal.At.Add(refusal.AskedPause)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most, asked
}

// Guards against requests of any kind to a target that has asked the entry for a pause.
func TestTargetGetsNothingFromAnEntryThatItAskedForAPause(t *testing.T) {
	const (
		entries, perSecond = 4, 150
		pause              = 3 * time.Second
	)
	is := is.NewRelaxed(t)
	c := startCluster(t, entries)
	desks := c.startDesks(t, 6, 5*time.Millisecond)
	asking := []*standinTarget{desks[0], c.engines[0]}
	for _, target := range asking {
		target.inject(t, fault.Fault{Kind: fault.AskedPause, Factor: pause.Seconds(), Duration: v1.Duration(6 * time.Second)})
	}
	var mu sync.Mutex
	var requests sync.WaitGroup
	sent, served := map[string]int{}, map[string]int{}
	started := time.Now()
	for number := 0; time.Since(started) < 11*time.Second; number++ {
		requests.Go(func() {
			path := []string{"/find/x", "/hold/x", "/drafts/x"}[number/entries%3]
			entry := number % entries
			response, _, err := c.request(entry, "POST", path, fmt.Sprintf("%d-%d", entry, number), "k1", "")
			mu.Lock()
			defer mu.Unlock()
			sent[path]++
			if err == nil && response.StatusCode == 200 {
				served[path]++
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	requests.Wait()
	entryOf := func(request string) int {
		text, _, _ := strings.Cut(request, "-")
		entry, _ := strconv.Atoi(text)
		return entry
	}
	for i, target := range asking {
		most, asked := target.mostInPause(t, entryOf)
		t.Logf("target %d asked %d times; at most %d requests of an entry within a pause", i, asked, most)
		is.True(asked > 0)
		is.True(most <= maxInPause)
		began := 0
		for _, at := range target.arrivals(t) {
			if at.After(started.Add(7 * time.Second)) {
				began++
			}
		}
		is.True(began > 0) // it is used again
	}
	t.Logf("served %v of %v", served, sent)
	for path, count := range sent {
		is.True(100*served[path] >= 95*count) // the others take the rest
	}
}

//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the deployment (atlasrail-router) and times of the case.
const (
	poisonEngines    = 18
	poisonEntries    = 4
	soundEvery       = 213 * time.Millisecond
	poisonEvery      = 2 * time.Second
	poisonWindow     = 3 * time.Second // stable_window_ms
	poisonCalm       = 14 * time.Second
	poisonTrouble    = 50 * time.Second
	poisonEngineBack = 3 * time.Second
)

// soundStream is the first attempt of a sound stream.
type soundStream struct {
	sent            time.Time
	id, entry       string
	status, events  int
	complete, begun bool
	// versions counts the events by the version of the engine that made them.
	versions map[string]int
}

// poisonedPrompts sends streams, some of which hold a part that crashes each engine that begins to write an answer on it. eventsBefore is the
// number of events that leave before an engine falls over.
func poisonedPrompts(eventsBefore int) func(folder string, trouble bool) int {
	return func(folder string, trouble bool) int {
		record, err := os.Create(filepath.Join(folder, "record.txt"))
		check(err)
		defer record.Close()
		temporary, err := os.MkdirTemp("", "review-poison-")
		check(err)
		defer os.RemoveAll(temporary)
		began := time.Now()
		var mu sync.Mutex
		say := func(format string, values ...any) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
		}
		s := newStore()
		s.put("config", "main", streamConfiguration())
		var arrivals []arrival
		var crashes []time.Time
		zones := []string{"casa-a", "rabat-b", "fes-c"}
		for i := range poisonEngines {
			e := &modelEngine{
				name: fmt.Sprintf("i-%02d", i), service: "guide-model", zone: zones[i%3], version: "v1", slots: 64, events: 130, prefill: 300 * time.Millisecond, step: 20 * time.Millisecond,
				eventsBefore: eventsBefore, back: poisonEngineBack, store: s, say: say,
				arrived: func(a arrival) { mu.Lock(); defer mu.Unlock(); arrivals = append(arrivals, a) },
				crashed: func(at time.Time) { mu.Lock(); defer mu.Unlock(); crashes = append(crashes, at) },
			}
			e.start()
		}
		entries := newEntries(temporary, s.address, []string{zones[0], zones[1], zones[2], zones[0]}[:poisonEntries], []string{"AZUREBARROW_ADDRESS_REUSE_S=2"})
		for _, e := range entries {
			e.start()
		}
		time.Sleep(6 * time.Second)
		checkReady(entries)
		var sounds []soundStream
		var waiting sync.WaitGroup
		started := time.Now()
		until := started.Add(poisonCalm + poisonTrouble)
		say("traffic starts")
		waiting.Go(func() {
			for next := started; next.Before(until); next = next.Add(soundEvery) {
				time.Sleep(time.Until(next))
				waiting.Go(func() {
					stream := sendStream(entries, "5c1e07a2:100,91bd3f06:100")
					mu.Lock()
					defer mu.Unlock()
					sounds = append(sounds, stream)
				})
			}
		})
		if trouble {
			waiting.Go(func() {
				for next := started.Add(poisonCalm); next.Before(until); next = next.Add(poisonEvery) {
					time.Sleep(time.Until(next))
					waiting.Go(func() {
						stream := sendStream(entries, "5c1e07a2:100,"+poisonPart+":100")
						say("a request with the part that crashes engines, %s at %s: status %d, %d events", stream.id, stream.entry, stream.status, stream.events)
					})
				}
			})
		}
		waiting.Wait()

		mu.Lock()
		slices.SortFunc(crashes, time.Time.Compare)
		for _, a := range arrivals {
			fmt.Fprintf(record, "          %s reached %s at %.3f s, crashes engines: %t\n", a.id, a.engine, a.at.Sub(began).Seconds(), a.poison)
		}
		for _, each := range sounds {
			fmt.Fprintf(record, "          sound %s sent to %s at %.3f s: status %d, %d events, complete %t\n", each.id, each.entry, each.sent.Sub(began).Seconds(), each.status, each.events, each.complete)
		}
		count, crashed := len(crashes), slices.Clone(crashes)
		mu.Unlock()
		troubleBegins := until
		lateArrivals := 0
		if count >= 5 {
			fifth := crashed[4]
			troubleBegins = fifth.Add(2 * poisonWindow)
			late := map[string]bool{}
			for _, a := range arrivals {
				if a.poison && a.at.After(fifth.Add(poisonWindow)) {
					late[a.id] = true
				}
			}
			lateArrivals = len(late)
		}
		calm, calmBegun, calmWhole, hit, hitBegun, hitWhole := 0, 0, 0, 0, 0, 0
		for _, each := range sounds {
			switch {
			case each.sent.Before(started.Add(poisonCalm)):
				calm++
				calmBegun += one(each.begun)
				calmWhole += one(each.complete)
			case each.sent.After(troubleBegins):
				hit++
				hitBegun += one(each.begun)
				hitWhole += one(each.complete)
			}
		}
		say("engines fell over %d times", count)
		say("requests with the part that reached engines later than %v after the fifth crash: %d (allowed: 3)", poisonWindow, lateArrivals)
		say("sound streams in calm: %d, begun at the first attempt: %d, complete: %d", calm, calmBegun, calmWhole)
		say("sound streams from %v after the fifth crash: %d, begun at the first attempt: %d, complete: %d", 2*poisonWindow, hit, hitBegun, hitWhole)
		isLost := calm >= 20 && hit >= 20 && float64(hitBegun)/float64(hit) < 0.5*float64(calmBegun)/float64(calm)
		if isLost {
			say("LOST is broken")
		}
		if lateArrivals > 3 {
			say("BUDGET is broken")
		}
		if isLost || lateArrivals > 3 {
			return exitBroken
		}
		say("LOST and BUDGET held")
		return exitHeld
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sendStream sends a stream with the shared parts to one of the entries and reads it.
func sendStream(entries []*entryProcess, parts string) soundStream {
	entry := entries[rand.IntN(len(entries))]
	a := soundStream{sent: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64()), entry: entry.name, versions: map[string]int{}}
	client := &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.front+"/history/"+a.id, strings.NewReader("prompt "+a.id))
	check(err)
	request.GetBody = nil
	request.Host = "rail.example"
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", "25000")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", "5200,650")
	request.Header.Set("X-Prompt-Prefix", parts+","+a.id[:8]+":5000")
	response, err := client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if a.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return a
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if text, found := strings.CutPrefix(line, "id: "); found {
			a.begun = true
			if id, _ := strconv.Atoi(strings.TrimSpace(text)); id == a.events+1 {
				a.events++
			}
		}
		if text, found := strings.CutPrefix(line, "data: "); found && err == nil {
			version, _, _ := strings.Cut(text, " ")
			a.versions[version]++
		}
		if err != nil {
			a.complete = err == io.EOF && a.events == 130
			return a
		}
	}
}

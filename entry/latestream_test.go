package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/standin/target"
)

// pacedInterval is the time between the events of a paced target's streams.
const pacedInterval = 50 * time.Millisecond

// startPaced starts a target whose streams have as many events as the last element of their path says.
func (c *testCluster) startPaced(t *testing.T, id, zone string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		request := r.Header.Get(target.FieldRequestID)
		w.Header().Set(target.FieldRequestID, request)
		w.Header().Set(target.FieldSignature, target.Signature(request))
		w.Header().Set("Content-Type", "text/event-stream")
		count, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for event := last + 1; event <= count && r.Context().Err() == nil; event++ {
			time.Sleep(pacedInterval)
			_, _ = io.WriteString(w, target.Event(r.URL.Path, event))
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	c.register(&standinTarget{address: strings.TrimPrefix(server.URL, "http://")}, target.Options{ID: id, Service: "long", AvailabilityZone: zone, Slots: 64}, "ready")
}

// pacedStream sends a stream of that many events over a connection of its own, after the last event that its caller has got; 0 if it
// has got none. It returns the status and whether the answer was complete.
func (c *testCluster) pacedStream(id, usage string, events, lastEvent int) (status int, complete bool) {
	path := fmt.Sprintf("/long/%s/%d", id, events)
	request, err := http.NewRequest(http.MethodPost, "http://"+c.entries[0].settings.CallerAddress+path, strings.NewReader("prompt"))
	if err != nil {
		return 0, false
	}
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "20000", "X-Token-Usage": usage, "Authorization": "Bearer k1",
	} {
		request.Header.Set(name, value)
	}
	if lastEvent > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
	}
	request.Host = "h.example"
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(response.Body))
	return response.StatusCode, err == nil && strings.HasSuffix(string(text), target.Event(path, events))
}

// Guards against streams that are taken late in the grace of a stop and cut as it ends, since what the entry has seen of their kind says
// little: a few, remainders of others, or short ones only while long ones are still in progress.
func TestStreamsLateInTheGraceAreCompleteOrRefused(t *testing.T) {
	const grace, lateFrom, interval = 8 * time.Second, 3 * time.Second, 250 * time.Millisecond
	const short, long, longest, many = 6, 100, 160, 40 // events of 50 ms
	const usage, otherUsage = "100,600", "100,6000"
	for name, before := range map[string]func(c *testCluster, begin func(id string, events, lastEvent int)){
		"few seen": func(_ *testCluster, begin func(string, int, int)) {
			for i := range 3 {
				begin(fmt.Sprint("few-", i), short, 0)
			}
		},
		"remainders seen": func(_ *testCluster, begin func(string, int, int)) {
			for i := range many {
				begin(fmt.Sprint("rest-", i), long, long-short)
			}
		},
		"long ones in progress": func(_ *testCluster, begin func(string, int, int)) {
			for i := range many {
				begin(fmt.Sprint("short-", i), short, 0)
			}
			begin("long", long, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			c := startCluster(t, 1)
			c.entries[0].shutdown.grace = grace
			for i, zone := range []string{"a", "b", "c"} {
				c.startPaced(t, fmt.Sprint("i-paced-", i), zone)
			}
			c.awaitTargets(t, "long", 3)
			var earlier sync.WaitGroup
			before(c, func(id string, events, lastEvent int) {
				earlier.Go(func() {
					status, complete := c.pacedStream(id, usage, events, lastEvent)
					is.Equal(status, http.StatusOK)
					is.True(complete)
				})
			})
			// The entry runs on for a stream of another kind.
			earlier.Go(func() {
				status, complete := c.pacedStream("other-kind", otherUsage, longest, 0)
				is.Equal(status, http.StatusOK)
				is.True(complete)
			})
			time.Sleep(short*pacedInterval + time.Second) // those of few events have ended
			stopAt := time.Now()
			c.stops[0]()
			for since := lateFrom; since < grace; since += interval {
				earlier.Go(func() {
					time.Sleep(time.Until(stopAt.Add(since)))
					status, complete := c.pacedStream(fmt.Sprint("late-", since), usage, long, 0)
					if status == http.StatusOK && !complete {
						t.Errorf("a stream sent %v after the stop began was accepted and cut", since)
					}
				})
			}
			earlier.Wait()
		})
	}
}

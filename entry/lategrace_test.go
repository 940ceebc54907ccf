package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callOverOwnConnection sends a call over a connection of its own, its body later than its head, and returns the status; 0 if the
// connection ended without an answer.
func (c *testCluster) callOverOwnConnection(path, id string, bodyAfter time.Duration) (status int, err error) {
	conn, err := net.Dial("tcp", c.entries[0].settings.CallerAddress)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return callOver(conn, path, id, bodyAfter)
}

func callOver(conn net.Conn, path, id string, bodyAfter time.Duration) (status int, err error) {
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\n", path, id)
	if err != nil {
		return 0, err
	}
	time.Sleep(bodyAfter)
	if _, err := conn.Write([]byte("body")); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against calls that are taken late in the grace of a stop and cut off without an answer as it ends.
func TestCallsLateInTheGraceAreAnsweredOrRefused(t *testing.T) {
	const perCall = 25 * time.Millisecond
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second} {
		for _, work := range []time.Duration{5 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("grace %v, work %v", grace, work), func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				c := startCluster(t, 1)
				c.entries[0].shutdown.grace = grace
				desks := c.startDesks(t, 300, work)
				paths := []string{"/ledger/x", "/search/x"}
				for i := range 2 { // the entry has seen calls before
					_, err := c.callOverOwnConnection(paths[i], fmt.Sprintf("warm-%d", i), 0)
					is.NoErr(err)
				}
				const slowBody = 300 * time.Millisecond
				type result struct {
					status int
					sentAt time.Duration
				}
				var mu sync.Mutex
				results := map[string]result{}
				ended := grace // when the entry takes no connection any more
				var calls sync.WaitGroup
				stopAt := time.Now()
				c.stops[0]()
				for number := range int(grace / perCall) {
					time.Sleep(time.Until(stopAt.Add(time.Duration(number) * perCall)))
					calls.Go(func() {
						path, id, bodyAfter := paths[number%2], fmt.Sprintf("c%d", number), time.Duration(0)
						if number%5 == 0 {
							bodyAfter = slowBody
						}
						sentAt := time.Since(stopAt)
						conn, err := net.Dial("tcp", c.entries[0].settings.CallerAddress)
						if err != nil {
							mu.Lock()
							defer mu.Unlock()
							ended = min(ended, sentAt)
							return
						}
						defer conn.Close()
						status, _ := callOver(conn, path, id, bodyAfter)
						mu.Lock()
						defer mu.Unlock()
						results[id] = result{status, sentAt}
					})
				}
				calls.Wait()
				ran := map[string]bool{}
				for _, desk := range desks {
					for id := range desk.runs(t) {
						ran[id] = true
					}
				}
				served, refused := 0, 0
				for id, got := range results {
					switch {
					case got.status == http.StatusOK:
						served++
					case got.status == http.StatusServiceUnavailable:
						refused++
						is.True(!ran[id])
					case ran[id]:
						t.Errorf("%s, sent %v after the stop began, ran and got status %d", id, got.sentAt, got.status)
					case got.status == 0 && got.sentAt < ended-closeTimeout-perCall: // later ones cross the end of the connection
						t.Errorf("%s, sent %v after the stop began, got no answer", id, got.sentAt)
					}
				}
				t.Logf("served %d, refused %d of %d", served, refused, len(results))
				if work > perCall { // else the entry ends as soon as none is in progress
					// What ends well before the entry does is served.
					is.True(float64(served) >= 0.8*float64(grace-2*work-grace/5)/float64(perCall))
				}
			})
		}
	}
}

// Guards against calls that end without an answer, because they take longer than the grace.
func TestCallsThatOutlastTheGraceAreAnsweredAsItEnds(t *testing.T) {
	is := is.NewRelaxed(t)
	c := startCluster(t, 1)
	c.startDesks(t, 60, 4*time.Second)
	var calls sync.WaitGroup
	for _, each := range []struct {
		path      string
		bodyAfter time.Duration
		status    int
	}{
		{"/ledger/x", 0, http.StatusBadGateway},
		{"/search/x", 0, http.StatusBadGateway},
		{"/ledger/slow-body", 4 * time.Second, http.StatusServiceUnavailable},
	} {
		calls.Go(func() {
			status, err := c.callOverOwnConnection(each.path, strings.ReplaceAll(each.path, "/", "-"), each.bodyAfter)
			if each.bodyAfter > 0 && err != nil {
				// The answer came before the body was sent: the write may find the connection closed.
				t.Logf("%s: %v", each.path, err)
				return
			}
			is.NoErr(err)
			is.Equal(status, each.status)
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.stops[0]()
	calls.Wait()
}

package placementpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/routing"
)

// exampleReport is a report of an entry with streams at a number of engines.
func exampleReport(engines int) placementcontrol.Report {
	report := placementcontrol.Report{Entry: "entry-ams-1-0042", Incarnation: 1796595000123456789, Sequence: 4711, Service: "drafts-large"}
	for i := range engines {
		id, address := fmt.Sprintf("i-ams-1-%04d", i), fmt.Sprintf("10.112.113.%d:18080", i%256)
		report.Engines = append(report.Engines, routing.EngineLoad{
			ID: id, Address: address, Streams: 1 + i%3, PrefillTokens: float64(5200 * (i % 2)), ResidentTokens: 5900, CopyTokens: float64(5900 * (i % 4)),
			Lost: i%7 == 6, Refused: i%7 == 5,
		})
		if i%4 == 0 {
			report.Paces = append(report.Paces, routing.PaceSample{ID: id, Address: address, Service: report.Service, Gap: time.Duration(29_000+i) * time.Microsecond})
		}
	}
	if engines > 0 {
		report.Tickets = []uint64{1 << 51}
	}
	return report
}

func exampleRequest(engines int) placementcontrol.Request {
	return placementcontrol.Request{
		Report: exampleReport(engines), Zone: "ams-1", ID: "01JEEWC8RZ1H9X2J4K6M8P0Q2S", Customer: "ranch", Priority: 2,
		Size: generation.StreamSize{Prompt: 5000, Output: 700}, CachedAt: "i-ams-1-0007", Affinity: "d1a41f7e55c0b1a2", Exclude: []string{"i-ams-1-0009"},
		Waited: 1500 * time.Millisecond, Objective: 4 * time.Second, TimeLeft: 24_900 * time.Millisecond, Begun: true, Queued: true,
	}
}

// fakeCoordinator keeps the messages and answers with what it is told.
type fakeCoordinator struct {
	request placementcontrol.Request
	report  placementcontrol.Report
	answer  placementcontrol.Answer
	err     error
	calls   int
}

func (f *fakeCoordinator) Place(_ context.Context, request placementcontrol.Request) (placementcontrol.Answer, error) {
	f.request = request
	f.calls++
	return f.answer, f.err
}

func (f *fakeCoordinator) Receive(report placementcontrol.Report) error {
	f.report = report
	f.calls++
	return f.err
}

func startCoordinator(t *testing.T, coordinator Coordinator) membership.Peer {
	mux := http.NewServeMux()
	Register(mux, coordinator)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
}

// Guards against messages that are changed on their way.
func TestMessagesTravelUnchanged(t *testing.T) {
	is := is.New(t)
	fake := &fakeCoordinator{}
	peer := startCoordinator(t, fake)
	client := NewClient(http.DefaultClient)
	for _, engines := range []int{0, 1, 40, 400} {
		for _, answer := range []placementcontrol.Answer{
			{}, {Engine: "i-1", Address: "10.0.0.1:80", Ticket: 1 << 52}, {Queued: true, Position: 3}, {Refused: true, RetryAfter: 1200 * time.Millisecond},
		} {
			fake.answer = answer
			got, err := client.Place(t.Context(), peer, exampleRequest(engines))
			is.NoErr(err)
			is.Equal(got, answer)
			is.Equal(fake.request, exampleRequest(engines))
		}
		is.NoErr(client.Report(t.Context(), peer, exampleReport(engines)))
		is.Equal(fake.report, exampleReport(engines))
	}
}

// Guards against a peer that does not coordinate and is taken for a broken one, or the other way round.
func TestDeclinesAndErrors(t *testing.T) {
	fake := &fakeCoordinator{}
	coordinator := startCoordinator(t, fake)
	for name, each := range map[string]struct {
		err      error
		handler  http.HandlerFunc
		declined bool
	}{
		"declines":      {err: placementcontrol.ErrDeclined, declined: true},
		"other error":   {err: context.Canceled},
		"former build":  {handler: http.NotFound, declined: true},
		"not an answer": {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"engine":7}`) }},
		"negative wait": {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"retry_after_ms":-1}`) }},
		"too long": {handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"engine":"`+strings.Repeat("i", maxAnswerBytes)+`"}`)
		}},
		"refusal for memory": {handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer := coordinator
			fake.err = each.err
			if each.handler != nil {
				server := httptest.NewServer(each.handler)
				t.Cleanup(server.Close)
				peer = membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
			}
			_, err := NewClient(http.DefaultClient).Place(t.Context(), peer, exampleRequest(2))
			is.True(err != nil)
			is.Equal(errors.Is(err, placementcontrol.ErrDeclined), each.declined)
		})
	}
}

// invalidMessages are bodies that must not reach the coordinator.
var invalidMessages = []string{
	``, `[]`, `{}`, `7`, `{"entry":"e"}`, `{"service":"s"}`, `{"entry":"e","service":"s"} x`,
	`{"entry":"e","service":"s","sequence":"1"}`, `{"entry":"e","service":"s","incarnation":-1}`,
	`{"entry":"e","service":"s","engines":[{"id":""}]}`, `{"entry":"e","service":"s","engines":[{"id":"i","streams":-1}]}`,
	`{"entry":"e","service":"s","engines":[{"id":"i","prefill":-1}]}`, `{"entry":"e","service":"s","engines":[{"id":"i","resident":1e300}]}`,
	`{"entry":"e","service":"s","engines":[{"id":"i","copies":1e999}]}`, `{"entry":"e","service":"s","engines":[{"id":"i","streams":99999999}]}`,
	`{"entry":"e","service":"s","paces":[{"id":"i","gap_us":0}]}`, `{"entry":"e","service":"s","paces":[{"id":"i","gap_us":9223372036854775807}]}`,
	`{"entry":"e","service":"s","tickets":[-1]}`, `{"entry":"` + strings.Repeat("e", maxRequestBytes) + `","service":"s"}`,
}

// Guards against invalid messages that make the coordinator panic or count what no entry has.
func TestInvalidMessagesAreRefused(t *testing.T) {
	fake := &fakeCoordinator{}
	mux := http.NewServeMux()
	Register(mux, fake)
	status := func(path, body string) int {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return recorder.Code
	}
	is := is.New(t)
	for _, body := range invalidMessages {
		is.Equal(status(reportPath, body), http.StatusBadRequest)
		is.Equal(status(placementPath, body), http.StatusBadRequest)
	}
	for _, field := range []string{`"objective_ms":-1`, `"waited_ms":-1`, `"deadline_ms":9223372036854775807`, `"prompt_tokens":-5`, `"output_tokens":1.5`, `"exclude":"i"`} {
		is.Equal(status(placementPath, `{"entry":"e","service":"s",`+field+`}`), http.StatusBadRequest)
	}
	is.Equal(fake.calls, 0)
	is.Equal(status(reportPath, `{"entry":"e","service":"s","later":[1]}`), http.StatusNoContent) // fields of a later build
	is.Equal(status(placementPath, `{"entry":"e","service":"s","later":{}}`), http.StatusOK)
}

// Guards against sizes that callers declare, or clocks that jump, which would make the coordinator refuse an entry's messages.
func TestAnySizeMakesAValidMessage(t *testing.T) {
	is := is.New(t)
	request := exampleRequest(2)
	request.Size = generation.StreamSize{Prompt: 1 << 62, Output: -5}
	request.TimeLeft, request.Objective = -time.Hour, 1<<62
	request.Engines[0].ResidentTokens, request.Engines[1].PrefillTokens, request.Engines[1].Streams = 1e300, -0.2, -1
	request.Paces[0].Gap = 1 << 62
	text, err := json.Marshal(requestToWire(request))
	is.NoErr(err)
	var wire wireRequest
	is.NoErr(json.Unmarshal(text, &wire))
	_, err = wire.decode()
	is.NoErr(err)
}

// Guards against a state that is too large for a message, with all that placementcontrol puts into one and long names.
func TestTheLargestMessageIsTaken(t *testing.T) {
	const engines, excluded, paces, name = 250, 256, 32, 36
	is := is.New(t)
	request := exampleRequest(engines)
	for i := range request.Engines {
		load := &request.Engines[i]
		load.ID = fmt.Sprintf("%0*d", name, i)
		load.Address, load.Lost, load.Refused, load.Streams = "255.255.255.255:65535", true, true, 100
		load.PrefillTokens, load.ResidentTokens, load.CopyTokens = 1e6, 1e6, 1e6
	}
	request.Exclude, request.Paces = nil, nil
	for i := range excluded {
		request.Exclude = append(request.Exclude, fmt.Sprintf("%0*d", name, i))
	}
	for i := range paces {
		request.Paces = append(request.Paces, routing.PaceSample{ID: request.Engines[i].ID, Address: request.Engines[i].Address, Gap: time.Second})
	}
	request.ID, request.Affinity = strings.Repeat("r", 200), strings.Repeat("a", 200)
	text, err := json.Marshal(requestToWire(request))
	is.NoErr(err)
	t.Log(len(text), "bytes")
	is.True(len(text) <= maxRequestBytes)
}

// FuzzDecode checks that a message of any bytes is refused or has only valid numbers, and that what was decoded travels unchanged.
func FuzzDecode(f *testing.F) {
	for _, body := range invalidMessages[:len(invalidMessages)-1] {
		f.Add([]byte(body))
	}
	text, err := json.Marshal(requestToWire(exampleRequest(3)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, body []byte) {
		fake := &fakeCoordinator{}
		mux := http.NewServeMux()
		Register(mux, fake)
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, placementPath, strings.NewReader(string(body))))
		if (recorder.Code == http.StatusOK) != (fake.calls == 1) || fake.calls == 0 && recorder.Code != http.StatusBadRequest {
			t.Fatal(recorder.Code, fake.calls)
		}
		if fake.calls == 0 {
			return
		}
		if fake.request.TimeLeft < 0 || fake.request.Objective < 0 || fake.request.Size.Prompt < 0 || fake.request.Size.Output < 0 || fake.request.Entry == "" {
			t.Fatal("invalid: ", fake.request)
		}
		for _, engine := range fake.request.Engines {
			if engine.Streams < 0 || !isTokens(engine.PrefillTokens) || !isTokens(engine.ResidentTokens) || !isTokens(engine.CopyTokens) {
				t.Fatal("invalid: ", engine)
			}
		}
		again, err := requestToWire(fake.request).decode()
		if err != nil || again.Entry != fake.request.Entry || len(again.Engines) != len(fake.request.Engines) {
			t.Fatal("changed: ", again, err)
		}
		var answer wireAnswer
		if json.Unmarshal(body, &answer) == nil {
			_, _ = answer.decode()
		}
	})
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against messages that take more of a link than an entry may spend for control, 5 KB/s, and of the coordinator's more than an eighth
// of the narrowest that is used, 50 Mbit/s. The service has 67 streams a second that take 8 s; each begins with a request and causes two
// reports of a change, and an entry with streams sends a message a second at least.
func TestCostOfMessages(t *testing.T) {
	const (
		streamsPerSecond     = 67.0
		streamSeconds        = 8.0
		changesPerStream     = 2.0
		maxReportsPerSecond  = 1000.0 / 150
		maxEntryBytesPerS    = 5 << 10
		maxCoordinatorBytesS = 50e6 / 8 / 8 * 2 // both directions of a link count for themselves
	)
	peer := startCoordinator(t, &fakeCoordinator{answer: placementcontrol.Answer{Engine: "i-ams-1-0007", Address: "10.112.113.114:18080", Ticket: 1 << 52}})
	for _, entries := range []int{30, 84, 195, 300} {
		is := is.New(t)
		var bytesOnWire atomic.Int64
		client := NewClient(&http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &bytesOnWire}, err
		}}})
		rate := streamsPerSecond / float64(entries)
		engines := max(1, int(rate*streamSeconds*2+0.5)) // the streams' engines and those of their copies
		request, report := exampleRequest(engines), exampleReport(engines)
		request.Paces, report.Paces = nil, nil
		const messages = 20
		for range messages {
			_, err := client.Place(t.Context(), peer, request)
			is.NoErr(err)
		}
		requestBytes := float64(bytesOnWire.Swap(0)) / messages
		for range messages {
			is.NoErr(client.Report(t.Context(), peer, report))
		}
		reportBytes := float64(bytesOnWire.Load()) / messages
		reports := max(1-rate, min(changesPerStream*rate, maxReportsPerSecond))
		perEntry := rate*requestBytes + reports*reportBytes
		t.Logf("%d entries: a request of %.0f bytes with its answer, a report of %.0f; an entry sends %.2f and %.2f a second, %.2f KB/s; the coordinator gets %.0f a second, %.0f KB/s",
			entries, requestBytes, reportBytes, rate, reports, perEntry/1024, float64(entries-1)*(rate+reports), float64(entries-1)*perEntry/1024)
		is.True(perEntry <= maxEntryBytesPerS || entries < 84) // few entries have the more streams each
		is.True(float64(entries-1)*perEntry <= maxCoordinatorBytesS)
	}
}

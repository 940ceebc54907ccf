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

	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/service"
)

func exampleCallRequest() placementcontrol.CallRequest {
	return placementcontrol.CallRequest{
		CallState: service.CallState{
			Entry: "entry-ams-1-0042", Times: []service.CallTime{{Target: "i-records-0001", Took: 31_234 * time.Microsecond}},
			Ended: []uint64{1 << 51}, Running: []uint64{1<<51 + 7},
		},
		Zone: "ams-1", Service: "records", ID: "01JEEWC8RZ1H9X2J4K6M8P0Q2S", Exclude: []string{"i-records-0002"}, Connected: []string{"i-records-0001"},
	}
}

// fakeCallCoordinator keeps the request and answers with what it is told.
type fakeCallCoordinator struct {
	request placementcontrol.CallRequest
	answer  placementcontrol.CallAnswer
	err     error
	calls   int
}

func (f *fakeCallCoordinator) ChooseTarget(_ context.Context, request placementcontrol.CallRequest) (placementcontrol.CallAnswer, error) {
	f.request = request
	f.calls++
	return f.answer, f.err
}

func startCallCoordinator(t *testing.T, coordinator CallCoordinator) membership.Peer {
	mux := http.NewServeMux()
	RegisterCalls(mux, coordinator)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return membership.Peer{Address: strings.TrimPrefix(server.URL, "http://")}
}

// Guards against messages of calls that are changed on their way.
func TestCallMessagesTravelUnchanged(t *testing.T) {
	is := is.New(t)
	fake := &fakeCallCoordinator{}
	peer := startCallCoordinator(t, fake)
	for _, request := range []placementcontrol.CallRequest{
		exampleCallRequest(), {CallState: service.CallState{Entry: "e"}, Service: "s"},
	} {
		for _, answer := range []placementcontrol.CallAnswer{{}, {Target: "i-records-0001", Ticket: 1 << 52}} {
			fake.answer = answer
			got, err := NewClient(http.DefaultClient).ChooseTarget(t.Context(), peer, request)
			is.NoErr(err)
			is.Equal(got, answer)
			is.Equal(fake.request, request)
		}
	}
}

// Guards against a peer that does not coordinate calls and is taken for a broken one, or the other way round.
func TestDeclinesAndErrorsOfCalls(t *testing.T) {
	fake := &fakeCallCoordinator{}
	coordinator := startCallCoordinator(t, fake)
	for name, each := range map[string]struct {
		err      error
		handler  http.HandlerFunc
		declined bool
	}{
		"declines":      {err: placementcontrol.ErrDeclined, declined: true},
		"other error":   {err: context.Canceled},
		"former build":  {handler: http.NotFound, declined: true},
		"not an answer": {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"target":7}`) }},
		"too long": {handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"target":"`+strings.Repeat("i", maxAnswerBytes)+`"}`)
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
			_, err := NewClient(http.DefaultClient).ChooseTarget(t.Context(), peer, exampleCallRequest())
			is.True(err != nil)
			is.Equal(errors.Is(err, placementcontrol.ErrDeclined), each.declined)
		})
	}
}

// invalidCallMessages are bodies that must not reach the coordinator.
var invalidCallMessages = []string{
	``, `[]`, `{}`, `7`, `{"entry":"e"}`, `{"service":"s"}`, `{"entry":"e","service":"s"} x`, `{"entry":"e","service":"s","ended":[-1]}`,
	`{"entry":"e","service":"s","running":[1.5]}`, `{"entry":"e","service":"s","times":[{"id":"","took_us":5}]}`,
	`{"entry":"e","service":"s","times":[{"id":"i","took_us":0}]}`, `{"entry":"e","service":"s","times":[{"id":"i","took_us":9223372036854775807}]}`,
	`{"entry":"e","service":"s","exclude":"i"}`, `{"entry":"` + strings.Repeat("e", maxRequestBytes) + `","service":"s"}`,
}

// Guards against a message of calls that is too large, with all that placementcontrol puts into one and long names.
func TestTheLargestCallMessageIsTaken(t *testing.T) {
	const targets, times, tickets, name = 300, 512, 256, 36
	is := is.New(t)
	request := exampleCallRequest()
	request.ID, request.Exclude, request.Connected, request.Times, request.Ended, request.Running = strings.Repeat("r", 200), nil, nil, nil, nil, nil
	for i := range targets {
		request.Exclude = append(request.Exclude, fmt.Sprintf("%0*d", name, i))
	}
	for i := range times {
		request.Times = append(request.Times, service.CallTime{Target: request.Exclude[i%targets], Took: time.Minute})
	}
	for i := range uint64(tickets) {
		request.Ended = append(request.Ended, 1<<53-1-i)
	}
	request.Running = request.Ended
	text, err := json.Marshal(callRequestToWire(request))
	is.NoErr(err)
	t.Log(len(text), "bytes")
	is.True(len(text) <= maxRequestBytes)
}

// Guards against invalid messages that make the coordinator panic or count what no entry has.
func TestInvalidCallMessagesAreRefused(t *testing.T) {
	is := is.New(t)
	fake := &fakeCallCoordinator{}
	mux := http.NewServeMux()
	RegisterCalls(mux, fake)
	status := func(body string) int {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, callTargetPath, strings.NewReader(body)))
		return recorder.Code
	}
	for _, body := range invalidCallMessages {
		is.Equal(status(body), http.StatusBadRequest)
	}
	is.Equal(fake.calls, 0)
	is.Equal(status(`{"entry":"e","service":"s","later":[1]}`), http.StatusOK) // fields of a later build

	request := exampleCallRequest()
	request.Times = []service.CallTime{{Target: "i", Took: 1 << 62}, {Target: "i", Took: time.Nanosecond}}
	wire := callRequestToWire(request)
	_, err := wire.decode()
	is.NoErr(err)
}

// FuzzDecodeCall checks that a message of any bytes is refused or has only valid numbers, and that what was decoded travels unchanged.
func FuzzDecodeCall(f *testing.F) {
	for _, body := range invalidCallMessages[:len(invalidCallMessages)-1] {
		f.Add([]byte(body))
	}
	text, err := json.Marshal(callRequestToWire(exampleCallRequest()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, body []byte) {
		fake := &fakeCallCoordinator{}
		mux := http.NewServeMux()
		RegisterCalls(mux, fake)
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, callTargetPath, strings.NewReader(string(body))))
		if (recorder.Code == http.StatusOK) != (fake.calls == 1) || fake.calls == 0 && recorder.Code != http.StatusBadRequest {
			t.Fatal(recorder.Code, fake.calls)
		}
		if fake.calls == 0 {
			return
		}
		for _, each := range fake.request.Times {
			if each.Took <= 0 || each.Target == "" {
				t.Fatal("invalid: ", each)
			}
		}
		wire := callRequestToWire(fake.request)
		again, err := wire.decode()
		if err != nil || again.Entry != fake.request.Entry || len(again.Times) != len(fake.request.Times) || len(again.Ended) != len(fake.request.Ended) {
			t.Fatal("changed: ", again, err)
		}
	})
}

// Guards against messages that take more of a link than an entry may spend for control, 5 KB/s, and of the coordinator's more than an eighth
// of the narrowest that is used, 50 Mbit/s. A service has 325 calls a second; each call is one request, which reports the call before it.
func TestCostOfCallMessages(t *testing.T) {
	const (
		callsPerSecond       = 325.0
		maxEntryBytesPerS    = 5 << 10
		maxCoordinatorBytesS = 50e6 / 8 / 8 * 2 // both directions of a link count for themselves
	)
	peer := startCallCoordinator(t, &fakeCallCoordinator{answer: placementcontrol.CallAnswer{Target: "i-records-0001", Ticket: 1 << 52}})
	for _, entries := range []int{30, 84, 195, 300} {
		is := is.New(t)
		var bytesOnWire atomic.Int64
		client := NewClient(&http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &bytesOnWire}, err
		}}})
		request := exampleCallRequest()
		request.Exclude, request.Running = nil, nil
		const messages = 20
		for range messages {
			_, err := client.ChooseTarget(t.Context(), peer, request)
			is.NoErr(err)
		}
		requestBytes := float64(bytesOnWire.Load()) / messages
		rate := callsPerSecond / float64(entries)
		t.Logf("%d entries: a request of %.0f bytes with its answer; an entry sends %.2f a second, %.2f KB/s; the coordinator gets %.0f a second, %.0f KB/s",
			entries, requestBytes, rate, rate*requestBytes/1024, float64(entries-1)*rate, float64(entries-1)*rate*requestBytes/1024)
		is.True(rate*requestBytes <= maxEntryBytesPerS || entries < 84) // few entries have the more calls each
		is.True(float64(entries-1)*rate*requestBytes <= maxCoordinatorBytesS)
	}
}

// BenchmarkCallHandler measures the coordinator's work for one request without the connection.
func BenchmarkCallHandler(b *testing.B) {
	mux := http.NewServeMux()
	RegisterCalls(mux, &fakeCallCoordinator{answer: placementcontrol.CallAnswer{Target: "i-records-0001", Ticket: 1 << 52}})
	text, _ := json.Marshal(callRequestToWire(exampleCallRequest()))
	b.ReportAllocs()
	for range b.N {
		mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, callTargetPath, strings.NewReader(string(text))))
	}
}

package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/chain"
	"github.com/azurebarrow/azurebarrow/standin/fault"
	"github.com/matryer/is"
)

type event struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	Index     int    `json:"index"`
	Token     string `json:"token"`
	Finish    string `json:"finish"`
}

func startEngine(t *testing.T, configure func(*Options)) (*Engine, *httptest.Server) {
	t.Helper()
	options := DefaultOptions()
	options.TokenInterval = time.Millisecond
	options.FixedLength = 30
	if configure != nil {
		configure(&options)
	}
	engine := New(options)
	server := httptest.NewServer(engine)
	t.Cleanup(func() {
		engine.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return engine, server
}

func postJSON(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url, "application/json", strings.NewReader(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func readEvents(body io.Reader) []event {
	var events []event
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		var e event
		if found && json.Unmarshal([]byte(data), &e) == nil {
			events = append(events, e)
		}
	}
	return events
}

var request = generateRequest{RequestID: "g1", Attempt: 1, Model: "m", Version: "v1", Prompt: strings.Repeat("line 7 ", 100), MaxTokens: 100, Seed: 7}

func tokensOf(events []event) []string {
	var tokens []string
	for _, e := range events {
		if e.Finish == "" {
			tokens = append(tokens, e.Token)
		}
	}
	return tokens
}

func TestGenerateStreamsTokensAndFinishes(t *testing.T) {
	is := is.New(t)
	engine, server := startEngine(t, nil)
	events := readEvents(postJSON(t, server.URL+"/v1/generate", request).Body)
	is.Equal(len(events), 31)
	is.NoErr(chain.Verify(request.chainRequest(), tokensOf(events)))
	is.Equal(events[30], event{RequestID: "g1", Attempt: 1, Index: 30, Finish: "stop"})
	is.Equal(engine.Stats().DecodeTokens, int64(30))
	is.Equal(engine.Stats().PrefillTokens, int64(175))
}

func TestAttemptContinuesOutputAndUsesPrefixCache(t *testing.T) {
	is := is.New(t)
	engine, server := startEngine(t, func(o *Options) { o.Divergent = true })
	first := tokensOf(readEvents(postJSON(t, server.URL+"/v1/generate", request).Body))
	second := request
	second.Attempt = 2
	second.Output = first[:12]
	rest := readEvents(postJSON(t, server.URL+"/v1/generate", second).Body)
	is.Equal(rest[0].Index, 12)
	is.NoErr(chain.Verify(request.chainRequest(), append(first[:12:12], tokensOf(rest)...)))
	is.Equal(engine.Stats().CachedTokens, int64(128)) // two blocks of 256 bytes
	mixed := append(first[:13:13], tokensOf(rest)[1:]...)
	is.True(chain.Verify(request.chainRequest(), mixed) != nil)
}

func TestStreamIsResumedAndCancelled(t *testing.T) {
	is := is.New(t)
	engine, server := startEngine(t, func(o *Options) { o.FixedLength = 1 << 20; o.PrefillPerToken = 0 })
	long := request
	long.MaxTokens = 0
	response := postJSON(t, server.URL+"/v1/generate", long)
	_, err := bufio.NewReader(response.Body).ReadString('\n')
	is.NoErr(err)
	response.Body.Close()
	resumed, err := http.Get(server.URL + "/v1/streams/g1/1?from=0")
	is.NoErr(err)
	defer resumed.Body.Close()
	line, err := bufio.NewReader(resumed.Body).ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, `"index":0,`))
	cancel, _ := http.NewRequest(http.MethodDelete, server.URL+"/v1/streams/g1/1", nil)
	acknowledged, err := http.DefaultClient.Do(cancel)
	is.NoErr(err)
	acknowledged.Body.Close()
	is.Equal(acknowledged.StatusCode, http.StatusOK)
	is.Equal(engine.Stats().Cancels, int64(1))
	is.Equal(engine.Stats().Running, 0)
	unknown, err := http.Get(server.URL + "/v1/streams/g1/1?from=0")
	is.NoErr(err)
	unknown.Body.Close()
	is.Equal(unknown.StatusCode, http.StatusNotFound)
}

func TestStreamFaultsAreDetectable(t *testing.T) {
	for _, kind := range []fault.Kind{fault.SkippedToken, fault.DuplicatedToken, fault.ForeignToken, fault.CloseStream, fault.ResetStream} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			_, server := startEngine(t, nil)
			posted := postJSON(t, server.URL+"/faults", fault.Fault{Kind: kind, After: 5, Count: 1})
			is.Equal(posted.StatusCode, http.StatusNoContent)
			events := readEvents(postJSON(t, server.URL+"/v1/generate", request).Body)
			is.True(len(events) != 31 || chain.Verify(request.chainRequest(), tokensOf(events)) != nil)
		})
	}
}

func TestCrashEndsStreamsAndStartsNewIncarnation(t *testing.T) {
	is := is.New(t)
	died := make(chan time.Duration, 1)
	engine, server := startEngine(t, func(o *Options) { o.OnDie = func(d time.Duration) { died <- d } })
	engine.Apply(fault.Fault{Kind: fault.Crash, After: 3, Match: "line 7"})
	response := postJSON(t, server.URL+"/v1/generate", request)
	is.True(len(readEvents(response.Body)) < 31)
	is.Equal(<-died, time.Duration(0))
	is.Equal(engine.Stats().Kills, int64(1))
	health, err := http.Get(server.URL + "/v1/health")
	is.NoErr(err)
	defer health.Body.Close()
	var answer healthResponse
	is.NoErr(json.NewDecoder(health.Body).Decode(&answer))
	is.Equal(answer.Incarnation, "engine-2")
}

func TestStreamDoesNotEndBeforeRelease(t *testing.T) {
	is := is.New(t)
	var released, early atomic.Bool
	engine, server := startEngine(t, func(o *Options) {
		o.TokenInterval = 0
		o.HoldAt = 10
		o.OnToken = func(token Emission) {
			if token.Index >= o.HoldAt && !released.Load() {
				early.Store(true)
			}
		}
	})
	body := bufio.NewReader(postJSON(t, server.URL+"/v1/generate", request).Body)
	var start strings.Builder
	for range 2 * 10 { // an event is a line and an empty one
		line, err := body.ReadString('\n')
		is.NoErr(err)
		start.WriteString(line)
	}
	is.Equal(len(readEvents(strings.NewReader(start.String()))), 10)
	is.Equal(engine.Stats().Running, 1)
	released.Store(true)
	engine.Release()
	is.Equal(len(readEvents(body)), 21)
	is.True(!early.Load())
}

func TestStaleCommandIsRefusedOnlyWithCheckFence(t *testing.T) {
	for _, checked := range []bool{true, false} {
		is := is.New(t)
		engine, server := startEngine(t, func(o *Options) { o.CheckFence = checked })
		newer := Command{ID: "1", Kind: commandSetRole, Role: "prefill", Fence: 5}
		older := Command{ID: "2", Kind: commandSetRole, Role: "serve", Fence: 4}
		is.Equal(postJSON(t, server.URL+"/v1/orders", newer).StatusCode, http.StatusOK)
		status := postJSON(t, server.URL+"/v1/orders", older).StatusCode
		if checked {
			is.Equal(status, http.StatusConflict)
			is.Equal(engine.Stats().FencedCommands, int64(1))
			continue
		}
		is.Equal(status, http.StatusOK)
		is.Equal(engine.Stats().StaleCommands, int64(1))
	}
}

package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/slo"
)

// fixedEngine answers every attempt with the same tokens.
type fixedEngine struct{ tokens []string }

func (e fixedEngine) Generate(_ context.Context, _ *v1.Target, request generation.StreamRequest) (generation.Stream, error) {
	return &fixedStream{id: request.ID, tokens: e.tokens, next: len(request.Output)}, nil
}

func (e fixedEngine) Attach(_ context.Context, _ *v1.Target, id generation.StreamID, from int) (generation.Stream, error) {
	return &fixedStream{id: id, tokens: e.tokens, next: from}, nil
}

func (fixedEngine) Cancel(context.Context, *v1.Target, generation.StreamID) error { return nil }

type fixedStream struct {
	id     generation.StreamID
	tokens []string
	next   int
}

func (s *fixedStream) Recv() (generation.StreamEvent, error) {
	index := s.next
	s.next++
	switch {
	case index < len(s.tokens):
		return generation.StreamEvent{ID: s.id, Token: generation.Token{Index: index, Text: s.tokens[index]}}, nil
	case index == len(s.tokens):
		return generation.StreamEvent{ID: s.id, Token: generation.Token{Index: index}, Finish: generation.FinishStop}, nil
	default:
		return generation.StreamEvent{}, io.EOF
	}
}

func (*fixedStream) Close() {}

type fixedChooser struct{ target *v1.Target }

func (c fixedChooser) Choose(context.Context, generation.TargetQuery) (*generation.Lease, error) {
	if c.target == nil {
		return nil, generation.ErrNoTarget
	}
	return &generation.Lease{Target: c.target, Done: func(generation.Usage) {}}, nil
}

type fixedConfiguration struct{ snapshot *config.Snapshot }

func (c fixedConfiguration) Snapshot() *config.Snapshot { return c.snapshot }

func testSnapshot() *config.Snapshot {
	snapshot := config.NewSnapshot(1)
	for _, name := range []string{"ranch", "stranger"} {
		snapshot.Customers[name] = &v1.Customer{
			Metadata: v1.Metadata{Name: name},
			Spec:     v1.CustomerSpec{APIKeyHashes: []string{config.HashAPIKey(name + "-key")}},
		}
	}
	snapshot.Deployments["drafting"] = &v1.Deployment{
		Metadata: v1.Metadata{Name: "drafting"},
		Spec: v1.DeploymentSpec{Type: v1.DeploymentGeneration, Model: "m", Version: "v1",
			Customers: []v1.CustomerAccess{{Name: "ranch", Priority: 5}}},
	}
	snapshot.Index()
	return snapshot
}

func newTestServer(target *v1.Target, tokens ...string) *Server {
	discard := func(string, ...generation.Field) {}
	return NewServer(Options{
		Configuration: fixedConfiguration{testSnapshot()},
		Generations: generation.NewManager(generation.Options{Engine: fixedEngine{tokens},
			Chooser: fixedChooser{target}, RetryWindow: time.Minute, Log: discard}),
		Objectives:   slo.NewRecorder(fixedConfiguration{testSnapshot()}),
		MaxBodyBytes: 1 << 10,
		BodyTimeout:  time.Second,
		Ready:        func() bool { return true },
		Draining:     func() bool { return false },
		Log:          discard,
	})
}

func post(server http.Handler, path, body string, header http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer ranch-key")
	for name, values := range header {
		request.Header[name] = values
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	return recorder
}

var engineTarget = &v1.Target{Metadata: v1.Metadata{Name: "t1"}}

func TestWholeAnswerHoldsEveryToken(t *testing.T) {
	is := is.New(t)
	server := newTestServer(engineTarget, "a ", "b ", "c")
	answer := post(server, "/v1/completions", `{"model":"drafting","prompt":"p"}`, nil)
	is.Equal(answer.Code, http.StatusOK)
	var body completion[textChoice]
	is.NoErr(json.Unmarshal(answer.Body.Bytes(), &body))
	is.Equal(body.Choices[0].Text, "a b c")
	is.Equal(*body.Choices[0].FinishReason, "stop")
	is.Equal(body.Usage.CompletionTokens, 3)
}

func TestStreamResumesAfterLastEventID(t *testing.T) {
	is := is.New(t)
	server := newTestServer(engineTarget, "a", "b", "c")
	key := http.Header{headerIdempotencyKey: {"k1"}}
	body := `{"model":"drafting","messages":[{"role":"user","content":"p"}],"stream":true}`
	first := post(server, "/v1/chat/completions", body, key)
	begin, _, _ := strings.Cut(first.Body.String(), "\n")
	id, err := generation.ParseEventID(strings.TrimPrefix(begin, "id: "))
	is.NoErr(err)
	is.Equal(id.Generation, first.Header().Get(headerGeneration))
	is.Equal(id.Index, 0)
	is.Equal(strings.Count(first.Body.String(), "id: "), 4) // three tokens and the end
	is.True(strings.HasSuffix(first.Body.String(), "data: [DONE]\n\n"))

	id.Index = 1
	key.Set(headerLastEventID, id.String())
	rest := post(server, "/v1/chat/completions", body, key)
	id.Index = 2
	is.True(strings.HasPrefix(rest.Body.String(), "id: "+id.String()+"\n"))
	is.Equal(strings.Count(rest.Body.String(), "id: "), 2)
}

func TestErrorsAreTyped(t *testing.T) {
	for _, test := range []struct {
		name, body string
		header     http.Header
		target     *v1.Target
		status     int
		code       Code
		outcome    Outcome
	}{
		{"malformed JSON", `{"model":`, nil, engineTarget, 400, CodeBadRequest, OutcomeNotRun},
		{"wrong type", `{"model":"drafting","prompt":7}`, nil, engineTarget, 400, CodeBadRequest, OutcomeNotRun},
		{"no prompt", `{"model":"drafting"}`, nil, engineTarget, 400, CodeBadRequest, OutcomeNotRun},
		{"negative length", `{"model":"drafting","prompt":"p","max_tokens":-1}`, nil, engineTarget, 400, CodeBadRequest, OutcomeNotRun},
		{"unknown model", `{"model":"other","prompt":"p"}`, nil, engineTarget, 404, CodeUnknownModel, OutcomeNotRun},
		{"wrong API key", `{"model":"drafting","prompt":"p"}`, http.Header{"Authorization": {"Bearer no"}}, engineTarget, 401, CodeUnauthorized, OutcomeNotRun},
		{"foreign customer", `{"model":"drafting","prompt":"p"}`, http.Header{"Authorization": {"Bearer stranger-key"}}, engineTarget, 403, CodeForbidden, OutcomeNotRun},
		{"too large", fmt.Sprintf(`{"model":"drafting","prompt":%q}`, strings.Repeat("x", 2000)), nil, engineTarget, 413, CodeTooLarge, OutcomeNotRun},
		{"malformed event ID", `{"model":"drafting","prompt":"p"}`, http.Header{"Last-Event-Id": {"x"}}, engineTarget, 400, CodeBadRequest, OutcomeNotRun},
		{"malformed retry of a key", `{"model":`, http.Header{headerIdempotencyKey: {"k"}}, engineTarget, 400, CodeBadRequest, OutcomeUnknown},
		{"no target, minted key", `{"model":"drafting","prompt":"p"}`, nil, nil, 503, CodeGivenUp, OutcomeNotRun},
		{"no target, caller's key", `{"model":"drafting","prompt":"p"}`, http.Header{headerIdempotencyKey: {"k"}}, nil, 503, CodeGivenUp, OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			answer := post(newTestServer(test.target, "a"), "/v1/completions", test.body, test.header)
			is.Equal(answer.Code, test.status)
			var body errorBody
			is.NoErr(json.Unmarshal(answer.Body.Bytes(), &body))
			is.Equal(body.Error.Code, test.code)
			is.Equal(body.Error.Outcome, test.outcome)
			if test.outcome == OutcomeNotRun { // a key that the caller knows could run later
				is.Equal(body.Error.RequestKey+answer.Header().Get(headerIdempotencyKey), "")
			}
			is.Equal(test.status == http.StatusServiceUnavailable, answer.Header().Get("Retry-After") != "")
		})
	}
}

func TestKeyReuseWithAnotherRequestIsRejected(t *testing.T) {
	is := is.New(t)
	server := newTestServer(engineTarget, "a")
	key := http.Header{headerIdempotencyKey: {"k1"}}
	post(server, "/v1/completions", `{"model":"drafting","prompt":"p"}`, key)
	answer := post(server, "/v1/completions", `{"model":"drafting","prompt":"q"}`, key)
	is.Equal(answer.Code, http.StatusUnprocessableEntity)
}

func TestEntryWithoutConfigurationRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	server := newTestServer(engineTarget, "a")
	server.options.Ready = func() bool { return false }
	for _, test := range []struct {
		header  http.Header
		outcome Outcome
	}{{nil, OutcomeNotRun}, {http.Header{headerIdempotencyKey: {"k"}}, OutcomeUnknown}} {
		answer := post(server, "/v1/completions", `{"model":"drafting","prompt":"p"}`, test.header)
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		var body errorBody
		is.NoErr(json.Unmarshal(answer.Body.Bytes(), &body))
		is.Equal(body.Error.Outcome, test.outcome)
		is.Equal(answer.Header().Get("Retry-After"), "1")
	}
}

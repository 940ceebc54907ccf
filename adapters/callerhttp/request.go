package callerhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 17
	maxKeyBytes      = 256
	// maxSeed is the largest seed that is derived from a key. Every integer up to it is exact in a
	// JSON number.
	maxSeed = 1<<53 - 1
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody is the request body of both completion calls: text completions use Prompt, chat
// completions use Messages.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Seed      *int64    `json:"seed"`
	Stream    bool      `json:"stream"`
	Priority  *int      `json:"priority"`
}

// acceptedRequest is a completion request that passed all checks.
type acceptedRequest struct {
	request generation.Request
	// resumeAfter is the last event that the caller received, or nil unless it resumes a stream.
	resumeAfter *generation.EventID
	stream      bool
	// keyMinted is set if the caller sent no key and this entry generated one.
	keyMinted bool
}

// accept authenticates and checks a completion request.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, chat bool) (*acceptedRequest, *Error) {
	snapshot := s.options.Configuration.Snapshot()
	customer, failure := authenticate(snapshot, r)
	if failure != nil {
		return nil, failure
	}
	body, failure := s.readCompletion(w, r)
	if failure != nil {
		return nil, failure
	}
	prompt, failure := body.prompt(chat)
	if failure != nil {
		return nil, failure
	}
	deployment, access, failure := authorize(snapshot, customer, body.Model)
	if failure != nil {
		return nil, failure
	}
	key, minted, failure := requestKey(r)
	if failure != nil {
		return nil, failure
	}
	resumeAfter, failure := lastEventID(r)
	if failure != nil {
		return nil, failure
	}
	request := generation.Request{
		Key:        generation.Key{Customer: customer.Metadata.Name, ID: key},
		Deployment: deployment.Metadata.Name,
		Model:      deployment.Spec.Model,
		Version:    deployment.Spec.Version,
		Adapter:    chooseAdapter(deployment.Spec.Adapters, key),
		Prompt:     prompt,
		MaxTokens:  body.MaxTokens,
		Seed:       int64(xxhash.Sum64String(key) & maxSeed),
		Priority:   access.Priority,
		Recovery:   deployment.Spec.Recovery,
		Arrived:    time.Now(),
	}
	if body.Seed != nil {
		request.Seed = *body.Seed
	}
	if body.Priority != nil && *body.Priority < access.Priority {
		request.Priority = max(*body.Priority, 0)
	}
	return &acceptedRequest{request: request, resumeAfter: resumeAfter, stream: body.Stream, keyMinted: minted}, nil
}

func authenticate(snapshot *config.Snapshot, r *http.Request) (*v1.Customer, *Error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, badRequest(http.StatusUnauthorized, CodeUnauthorized, "Authorization: Bearer KEY is required")
	}
	customer := snapshot.CustomerByAPIKey(key)
	if customer == nil {
		return nil, badRequest(http.StatusUnauthorized, CodeUnauthorized, "the API key is not known")
	}
	return customer, nil
}

func authorize(snapshot *config.Snapshot, customer *v1.Customer, model string) (*v1.Deployment, v1.CustomerAccess, *Error) {
	deployment, known := snapshot.Deployments[model]
	if !known || deployment.Spec.Type != v1.DeploymentGeneration {
		return nil, v1.CustomerAccess{}, badRequest(http.StatusNotFound, CodeUnknownModel, fmt.Sprintf("model %q is not served here", model))
	}
	for _, access := range deployment.Spec.Customers {
		if access.Name == customer.Metadata.Name {
			return deployment, access, nil
		}
	}
	return nil, v1.CustomerAccess{}, badRequest(http.StatusForbidden, CodeForbidden, fmt.Sprintf("customer %q may not use model %q", customer.Metadata.Name, model))
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (*completionBody, *Error) {
	data, failure := readBody(w, r, s.options.MaxBodyBytes, s.options.BodyTimeout)
	if failure != nil {
		return nil, failure
	}
	body := completionBody{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest(http.StatusBadRequest, CodeBadRequest, "body: "+describeJSONError(err))
	}
	if body.MaxTokens < 1 || body.MaxTokens > maxMaxTokens {
		return nil, badRequest(http.StatusBadRequest, CodeBadRequest, fmt.Sprintf("max_tokens: %d is not between 1 and %d", body.MaxTokens, maxMaxTokens))
	}
	return &body, nil
}

func (b *completionBody) prompt(chat bool) (string, *Error) {
	if !chat {
		if b.Prompt == "" {
			return "", badRequest(http.StatusBadRequest, CodeBadRequest, "prompt: is required")
		}
		return b.Prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", badRequest(http.StatusBadRequest, CodeBadRequest, "messages: is required")
	}
	var prompt strings.Builder
	for _, message := range b.Messages {
		prompt.WriteString("<|" + message.Role + "|>\n" + message.Content + "\n")
	}
	return prompt.String(), nil
}

func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("offset %d: %v", syntax.Offset, err)
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("offset %d: %s: want %s, got %s", wrongType.Offset, wrongType.Field, wrongType.Type, wrongType.Value)
	}
	return err.Error()
}

func lastEventID(r *http.Request) (*generation.EventID, *Error) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return nil, nil
	}
	id, err := generation.ParseEventID(text)
	if err != nil {
		return nil, badRequest(http.StatusBadRequest, CodeBadRequest, "Last-Event-ID: "+err.Error())
	}
	return &id, nil
}

// chooseAdapter picks an adapter with a probability proportional to its weight. The choice is
// derived from the key, so that retries under the same key get the same adapter.
func chooseAdapter(adapters []v1.AdapterWeight, key string) string {
	total := 0
	for _, adapter := range adapters {
		total += adapter.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, adapter := range adapters {
		point -= adapter.Weight
		if point < 0 {
			return adapter.Name
		}
	}
	return ""
}

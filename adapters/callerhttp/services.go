package callerhttp

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/config"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/idempotency"
	"github.com/azurebarrow/azurebarrow/service"
)

// ServicesPrefix is the path prefix of service calls.
const ServicesPrefix = "/v1/services/"

// Error codes of service calls, in addition to those of package service.
const (
	CodeUnknownDeployment Code = "unknown-deployment"
)

// ServiceExecutor is the port to the executor of service calls.
type ServiceExecutor interface {
	Do(ctx context.Context, call service.Call) service.Result
}

// ServicesOptions configures the handler returned by NewServices.
type ServicesOptions struct {
	Configuration Configuration
	Executor      ServiceExecutor
	// Objectives may be nil.
	Objectives Objectives
	// MaxBodyBytes limits the size of the body of a call, BodyTimeout the time to read it.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// Log is called once for each service call; nil discards the events.
	Log func(event string, fields ...generation.Field)
}

// servicesHandler handles service calls.
type servicesHandler struct {
	options ServicesOptions
}

// NewServices returns the handler of /v1/services/{deployment}/{path}.
func NewServices(options ServicesOptions) http.Handler {
	if options.Log == nil {
		options.Log = func(string, ...generation.Field) {}
	}
	return &servicesHandler{options: options}
}

// ServeHTTP implements http.Handler.
func (s *servicesHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	call, failure := s.accept(w, r)
	if failure != nil {
		WriteError(w, failure.withKeyOf(r))
		return
	}
	result := s.options.Executor.Do(r.Context(), call)
	took := time.Since(start)
	s.log(call, result, took)
	if result.Answer != nil {
		s.observe(call, took)
		writeAnswer(w, call, *result.Answer)
		return
	}
	failure = serviceError(call, result)
	if failure.Status >= http.StatusInternalServerError && s.options.Objectives != nil {
		s.options.Objectives.RecordAnswer(call.Deployment, false)
	}
	WriteError(w, failure)
}

// observe reports an answered call to the recorder of service-level objectives.
func (s *servicesHandler) observe(call service.Call, took time.Duration) {
	if s.options.Objectives == nil {
		return
	}
	s.options.Objectives.RecordAnswer(call.Deployment, true)
	if call.Class == v1.ClassInteractive {
		s.options.Objectives.RecordLatency(call.Deployment, v1.ObjectiveInteractiveLatency, took)
	}
}

func (s *servicesHandler) log(call service.Call, result service.Result, took time.Duration) {
	s.options.Log("service call",
		generation.Field{Key: "request", Value: call.Customer + "/" + call.Key},
		generation.Field{Key: "deployment", Value: call.Deployment},
		generation.Field{Key: "class", Value: call.Class},
		generation.Field{Key: "customer", Value: call.Customer},
		generation.Field{Key: "outcome", Value: result.Outcome},
		generation.Field{Key: "code", Value: result.Code},
		generation.Field{Key: "took", Value: took},
	)
}

// accept authenticates and checks a service call.
func (s *servicesHandler) accept(w http.ResponseWriter, r *http.Request) (service.Call, *Error) {
	snapshot := s.options.Configuration.Snapshot()
	customer, failure := authenticate(snapshot, r)
	if failure != nil {
		return service.Call{}, failure
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), ServicesPrefix), "/")
	deployment, failure := serviceDeployment(snapshot, customer, name)
	if failure != nil {
		return service.Call{}, failure
	}
	key, minted, failure := requestKey(r)
	if failure != nil {
		return service.Call{}, failure
	}
	body, failure := readBody(w, r, s.options.MaxBodyBytes, s.options.BodyTimeout)
	if failure != nil {
		return service.Call{}, failure
	}
	path = "/" + path
	route := matchRoute(deployment.Spec.Routes, r.Method, path)
	call := service.Call{
		Customer:   customer.Metadata.Name,
		Key:        key,
		KeyMinted:  minted,
		Deployment: name,
		Class:      route.Class,
		Timeout:    time.Duration(route.Timeout),
		Method:     r.Method,
		Path:       path,
		Header:     headerFields(r.Header),
		Body:       body,
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	return call, nil
}

func serviceDeployment(snapshot *config.Snapshot, customer *v1.Customer, name string) (*v1.Deployment, *Error) {
	deployment, known := snapshot.Deployments[name]
	if !known || deployment.Spec.Type != v1.DeploymentService {
		return nil, badRequest(http.StatusNotFound, CodeUnknownDeployment, fmt.Sprintf("service %q is not served here", name))
	}
	for _, access := range deployment.Spec.Customers {
		if access.Name == customer.Metadata.Name {
			return deployment, nil
		}
	}
	return nil, badRequest(http.StatusForbidden, CodeForbidden,
		fmt.Sprintf("customer %q may not use service %q", customer.Metadata.Name, name))
}

// matchRoute returns the route with the longest matching prefix; of two with the same prefix, the
// one that names the method. A call that matches no route is at-most-once: it may not be retried.
func matchRoute(routes []v1.Route, method, path string) v1.Route {
	best := v1.Route{Class: v1.ClassAtMostOnce}
	found := false
	for _, route := range routes {
		if route.Method != "" && route.Method != method || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		moreExact := len(route.Prefix) == len(best.Prefix) && best.Method == "" && route.Method != ""
		if !found || len(route.Prefix) > len(best.Prefix) || moreExact {
			best = route
			found = true
		}
	}
	return best
}

func headerFields(header http.Header) []idempotency.HeaderField {
	var fields []idempotency.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, idempotency.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func writeAnswer(w http.ResponseWriter, call service.Call, answer idempotency.Answer) {
	header := w.Header()
	for _, field := range answer.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(headerIdempotencyKey, call.Key)
	w.WriteHeader(answer.Status)
	// The caller may have disconnected; its retry gets the recorded answer.
	_, _ = w.Write(answer.Body)
}

// serviceStatus holds the HTTP status and the message for each error code of package service.
var serviceStatus = map[service.Code]struct {
	status  int
	message string
}{
	service.CodeOutcomeUnknown:    {http.StatusBadGateway, "the call was sent and its answer is lost; it may have run and will not be sent again"},
	service.CodeDeadline:          {http.StatusGatewayTimeout, "the call was not answered in time; ask again with the same key"},
	service.CodeNoTarget:          {http.StatusServiceUnavailable, "no target could be reached"},
	service.CodeRecordUnavailable: {http.StatusServiceUnavailable, "the call can't be recorded now, so that this request has not sent it"},
	service.CodeRecordCorrupt:     {http.StatusInternalServerError, "the record of calls is damaged; operators must look"},
	service.CodeKeyReused:         {http.StatusUnprocessableEntity, "the key belongs to a call with another content; this one was not sent"},
	service.CodeAnswerOmitted:     {http.StatusConflict, "the call was answered before, and the answer was too large to be kept"},
	service.CodeCrashesTargets:    {http.StatusBadGateway, "calls with this content crash targets and are refused; do not send it again"},
	service.CodeInternal:          {http.StatusInternalServerError, "internal error"},
}

func serviceError(call service.Call, result service.Result) *Error {
	known, ok := serviceStatus[result.Code]
	if !ok {
		known = serviceStatus[service.CodeInternal]
	}
	failure := &Error{
		Status:     known.status,
		RetryAfter: result.RetryAfter,
		Code:       Code(result.Code),
		Message:    known.message,
		Outcome:    Outcome(result.Outcome),
	}
	if !result.WithholdKey {
		failure.RequestKey = call.Key
	}
	return failure
}

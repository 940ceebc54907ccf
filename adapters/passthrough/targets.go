package passthrough

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/platform"
	"github.com/azurebarrow/azurebarrow/service"
)

// Targets sends opaque requests to targets. It implements generation.RelayEngine and service.Sender.
type Targets struct {
	pool      *targethttp.Pool
	paths     *Paths
	directory *directory.Manager
	limits    Limits
	// available returns the targets of a service that may get new work.
	available func(service string) []*directory.Target
	answers   answerReader
	log       func(event string, fields ...generation.Field)
}

// NewTargets returns Targets that sends over the paths, reads the manager's snapshots and keeps the limits that targets
// name.
func NewTargets(pool *targethttp.Pool, paths *Paths, manager *directory.Manager, limits Limits, log func(event string, fields ...generation.Field)) *Targets {
	t := &Targets{pool: pool, paths: paths, directory: manager, limits: limits, log: log}
	t.available = func(service string) []*directory.Target { return manager.Snapshot().AvailableTargets(service) }
	return t
}

// LimitAvailable has Targets return only some of the targets that may get new work by the directory. It is called before any other method.
func (t *Targets) LimitAvailable(limit func(service string, targets []*directory.Target) []*directory.Target) {
	all := t.available
	t.available = func(service string) []*directory.Target { return limit(service, all(service)) }
}

// observeLimit records the limit that an answer names.
func (t *Targets) observeLimit(target string, header http.Header, sent time.Time) {
	limit, named, err := platform.RequestLimit(header)
	if err != nil {
		t.log("target-limit-unusable", generation.Field{Key: "target", Value: target}, generation.Field{Key: "error", Value: err})
		return
	}
	t.limits.Observe(target, limit, named, sent, time.Now())
}

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// noLastEvent keeps the caller's own Last-Event-Id in the header.
	noLastEvent = -1
)

var (
	errUnsigned    = errors.New("the answer is not a target's")
	errNotRun      = errors.New("target did not run the request")
	errMisdirected = errors.New("another target has the address")
)

// Probe implements generation.RelayEngine.
func (t *Targets) Probe(ctx context.Context, target *directory.Target) error {
	return ProbeDirectly(ctx, t.pool, target)
}

// ProbeDirectly opens a connection to a target over this entry's own links. The error wraps
// generation.ErrProbeRefused if it was refused.
func ProbeDirectly(ctx context.Context, pool *targethttp.Pool, target *directory.Target) error {
	err := pool.Connect(ctx, target.Key(), target.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", generation.ErrProbeRefused, err)
	}
	return err
}

// Open implements generation.RelayEngine.
func (t *Targets) Open(ctx context.Context, attempt generation.RelayAttempt) (generation.RelayStream, error) {
	payload := attempt.Request.Payload.(*targetPayload)
	header := platform.TargetHeader{Instance: attempt.Target.ID, Timeout: attempt.Timeout, Priority: payload.call.enginePriority()}
	if attempt.LastEvent != noLastEvent {
		header.LastEvent = strconv.FormatInt(attempt.LastEvent, 10)
	}
	if attempt.Backup != nil {
		header.BackupAddress = attempt.Backup.Address
	}
	if attempt.Copy != nil {
		header.KVCopySource, header.KVCopyName = attempt.Copy.Source, attempt.Copy.Name
	}
	deadline := time.Now().Add(attempt.Timeout)
	sent, uptime := time.Now(), t.directory.Uptime()
	received, err := t.paths.Do(ctx, pathTarget(attempt.Target), deadline, t.mayGetWork(attempt.Target.ID, attempt.Target.Address), func() *targethttp.Request {
		header.Timeout = time.Until(deadline)
		return payload.encode(header)
	})
	if err != nil {
		var notSent *service.NotSentError
		if errors.As(err, &notSent) {
			withdrawn := errors.Is(err, targethttp.ErrSendWithdrawn)
			return nil, &generation.RelayRefusedError{Unreachable: ctx.Err() == nil && !withdrawn, Withdrawn: withdrawn, Cause: err}
		}
		if errors.Is(err, targethttp.ErrHeldUp) {
			return nil, fmt.Errorf("%w: %w", generation.ErrRelayHeldUp, err)
		}
		return nil, err
	}
	verdict := platform.ClassifyAnswer(received.Status, received.Header)
	if verdict.IsOfTarget() {
		t.observeLimit(attempt.Target.ID, received.Header, sent)
	}
	if verdict.IsSigned() {
		t.directory.RecordAnswered(attempt.Target.ID, attempt.Target.Address, uptime)
	}
	switch verdict {
	case platform.Succeeded:
		if begun, ok := attempt.BegunHead.(*answer); ok && !canContinue(begun, received) {
			received.Abort()
			return nil, &generation.RelayTargetError{Status: received.Status}
		}
		return newStream(received), nil
	case platform.NotRun:
		received.Close()
		return nil, &generation.RelayRefusedError{Cause: errNotRun}
	case platform.Misdirected:
		received.Close()
		return nil, &generation.RelayRefusedError{
			AddressMismatch: true, FoundID: platform.ResponderID(received.Header), Cause: errMisdirected,
		}
	case platform.Failed:
		whole, err := t.answers.read(received)
		if err != nil {
			return nil, err
		}
		return nil, &generation.RelayTargetError{Answer: whole, Status: whole.status}
	}
	received.Close()
	return nil, errUnsigned
}

// canContinue reports whether an answer can be the rest of one that the caller has in part: it has the same status, and content of
// the same type.
func canContinue(begun *answer, received *targethttp.Answer) bool {
	if defect.Enabled(defect.ErrorPassedOn) {
		return true
	}
	return received.Status == begun.status && mediaType(received.Header) == mediaType(begun.header)
}

// mediaType returns the type of an answer's content without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// CopyKVCache implements generation.RelayEngine.
func (t *Targets) CopyKVCache(ctx context.Context, source *directory.Target, run string, to *directory.Target) (string, error) {
	call, err := platform.NewKVCopyCall(source.ID, run, to.Address)
	if err != nil {
		return "", err
	}
	body, err := t.callEngine(ctx, source, call)
	if err != nil {
		return "", err
	}
	return platform.DecodeCopyAnswer(body)
}

// FreeCopy implements generation.RelayEngine.
func (t *Targets) FreeCopy(ctx context.Context, source *directory.Target, name string) error {
	_, err := t.callEngine(ctx, source, platform.NewFreeKVCopyCall(source.ID, name))
	return err
}

// engineCallTimeout limits a call of an engine's management interface through a peer; a copy takes a second.
const engineCallTimeout = 2 * time.Second

func pathTarget(target *directory.Target) detour.Target {
	return detour.Target{ID: target.ID, Address: target.Address}
}

// mayGetWork returns a function that reports whether the target may get new work now.
func (t *Targets) mayGetWork(id, address string) func() bool {
	return func() bool { return t.directory.Snapshot().MayGetWork(id, address) }
}

// always lets calls of an engine's management interface pass: engines that leave hand their KV cache over.
func always() bool { return true }

// callEngine sends a call to an engine's management interface and returns the body of its answer.
func (t *Targets) callEngine(ctx context.Context, target *directory.Target, call platform.EngineCall) ([]byte, error) {
	received, err := t.paths.Do(ctx, pathTarget(target), time.Now().Add(engineCallTimeout), always, func() *targethttp.Request {
		return &targethttp.Request{Method: call.Method, URI: call.Path, Host: target.Address, Header: call.Header, Body: call.Body, IDHeader: platform.RequestIDHeader}
	})
	if err != nil {
		return nil, err
	}
	whole, err := t.answers.read(received)
	if err != nil {
		return nil, err
	}
	if whole.status >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s %s: status %d", call.Method, call.Path, whole.status)
	}
	return whole.body, nil
}

// Send implements service.Sender.
func (t *Targets) Send(ctx context.Context, target service.Target, call *service.ForwardedCall) service.SendResult {
	sent, uptime := time.Now(), t.directory.Uptime()
	received, err := t.paths.Do(ctx, detour.Target{ID: target.Name, Address: target.Address}, call.Deadline, t.mayGetWork(target.Name, target.Address), func() *targethttp.Request {
		return call.Payload.(*targetPayload).encode(platform.TargetHeader{Instance: target.Name, Timeout: time.Until(call.Deadline)})
	})
	if err != nil {
		var notSent *service.NotSentError
		if errors.As(err, &notSent) {
			return service.SendResult{
				Verdict: service.SendNotRun, Err: err, NoPath: errors.Is(err, detour.ErrNoPath), Withdrawn: errors.Is(err, targethttp.ErrSendWithdrawn),
			}
		}
		return service.SendResult{Verdict: service.SendUnknown, Err: err, ConnectionLost: targethttp.IsConnectionLost(err)}
	}
	verdict := platform.ClassifyAnswer(received.Status, received.Header)
	if verdict.IsOfTarget() {
		t.observeLimit(target.Name, received.Header, sent)
	}
	if verdict.IsSigned() {
		t.directory.RecordAnswered(target.Name, target.Address, uptime)
	}
	switch verdict {
	case platform.NotRun:
		received.Close()
		pause, _ := platform.AskedPause(received.Status, received.Header) // what can't be read asks for nothing
		return service.SendResult{Verdict: service.SendNotRun, Err: errNotRun, AskedPause: pause}
	case platform.Misdirected:
		received.Close()
		t.reportAddressMismatch(call.Service, target, platform.ResponderID(received.Header))
		return service.SendResult{Verdict: service.SendAddressMismatch, Err: errMisdirected}
	case platform.Unsigned:
		received.Close()
		return service.SendResult{Verdict: service.SendUnknown, Err: errUnsigned}
	}
	whole, err := t.answers.read(received)
	if err != nil {
		return service.SendResult{Verdict: service.SendUnknown, Err: err, ConnectionLost: targethttp.IsConnectionLost(err)}
	}
	if verdict == platform.Failed {
		return service.SendResult{Verdict: service.SendFailed, Answer: whole}
	}
	return service.SendResult{Verdict: service.SendAnswered, Answer: whole}
}

// reportAddressMismatch reports to the directory that found, the ID of another target, answers at target's
// address.
func (t *Targets) reportAddressMismatch(name string, target service.Target, found string) {
	for _, known := range t.directory.Snapshot().Targets[name] {
		if known.ID == target.Name && known.Address == target.Address {
			t.directory.ReportAddressMismatch(known, found)
		}
	}
}

// stream reads the events of an answer. It implements generation.RelayStream.
type stream struct {
	received *targethttp.Answer
	scanner  *eventScanner
}

func newStream(received *targethttp.Answer) *stream {
	return &stream{received: received, scanner: newEventScanner(received.Body)}
}

// Head implements generation.RelayStream.
func (s *stream) Head() any { return &answer{status: s.received.Status, header: s.received.Header} }

// Next implements generation.RelayStream.
func (s *stream) Next() (generation.RelayEvent, error) {
	event, err := s.scanner.next()
	if err == nil {
		return event, nil
	}
	if err == io.EOF {
		s.received.Close()
	} else {
		s.received.Abort()
	}
	return generation.RelayEvent{}, err
}

// Close implements generation.RelayStream.
func (s *stream) Close() { s.received.Close() }

// Targets implements service.Directory. It leaves out the targets whose limit allows no request now.
func (t *Targets) Targets(name string) []service.Target {
	open := t.available(name)
	targets := make([]service.Target, 0, len(open))
	now := time.Now()
	for _, target := range open {
		if !t.limits.Available(target.ID, now) {
			continue
		}
		targets = append(targets, service.Target{Name: target.ID, Address: target.Address, StartedMs: target.StartedMs, Concurrency: target.Slots, Version: target.Version})
	}
	return targets
}

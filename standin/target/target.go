// Package target is a stand-in for a target on the users' platform: a model engine that streams events and
// holds KV cache copies of other engines' runs, or a service that answers plain calls. It registers itself in
// the store and logs each request to a file, which remains after the process has ended.
package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// Header fields of the users' platform.
const (
	FieldRequestID        = "X-Request-Id"
	FieldSignature        = "X-Response-Signature"
	FieldLastEvent        = "Last-Event-Id"
	FieldResumes          = "Resumes"
	FieldDeadline         = "X-Deadline-Ms"
	FieldAuthorization    = "Authorization"
	FieldTokenUsage       = "X-Token-Usage"
	FieldPrompt           = "X-Prompt-Prefix"
	fieldExpectedInstance = "X-Expect-Instance"
	fieldInstance         = "X-Instance-Id"
	fieldNotRun           = "X-Not-Executed"
	fieldCustomer         = "X-Tenant"
	fieldCopyHolder       = "X-Kv-Backup"
	fieldCopySource       = "Kv-From"
	fieldLimit            = "Server-Limit"
	fieldRetryAfter       = "Retry-After"
	fieldLeaving          = "Server-Leaving"
	fieldBrittle          = "Server-Brittle"
)

// Options configures a Target.
type Options struct {
	// ID names this incarnation of the target; Service is the service it belongs to.
	ID, Service, AvailabilityZone string
	// Advertise is the address (host:port) that the target registers.
	Advertise string
	// Slots limits the requests that run at once.
	Slots int
	// Events is the number of events in a stream and EventInterval the time between two of them. With 0
	// events the target is a service that answers plain calls, each after WorkTime.
	Events        int
	EventInterval time.Duration
	WorkTime      time.Duration
	// Version is the version of the target's software; it is registered, and each event names it. Empty for none.
	Version string
	// Limit is the number of requests a second that the target's answers name as its limit, for all callers
	// together; 0 for none. The target does not enforce it.
	Limit float64
	// CrashPrefix, if not empty, begins the IDs of prompt parts, and CrashPath the last elements of paths of requests,
	// that crash the target as it begins to answer. Exit is called then.
	CrashPrefix, CrashPath string
	Exit                   func()
	// FailTakenUp has every failEvery-th attempt that takes up another target's stream answered with an error.
	FailTakenUp bool
	// Log receives a record of each step of a request.
	Log *Log
}

// Target is the stand-in of a target. It is an http.Handler.
type Target struct {
	options Options
	faults  *fault.Set

	mu sync.Mutex
	// running is the number of slots in use.
	running int
	// copies holds the request IDs of the runs whose KV cache copy this engine holds.
	copies map[string]bool
	// takenUp counts the attempts that take up another target's stream.
	takenUp int
}

// New returns a Target.
func New(options Options) *Target {
	return &Target{options: options, faults: fault.NewSet(), copies: map[string]bool{}}
}

// copyPath is where an engine receives a KV cache copy of another engine's run; the request ID follows.
const copyPath = "/standin/copies/"

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID, isCopy := strings.CutPrefix(r.URL.Path, copyPath)
	switch {
	case isCopy:
		t.recordCopy(requestID)
	case r.URL.Path == "/faults":
		t.faults.ServeHTTP(w, r, t.faults.Add)
	case r.Header.Get(fieldExpectedInstance) != t.options.ID:
		w.Header().Set(FieldRequestID, r.Header.Get(FieldRequestID))
		w.Header().Set(fieldInstance, t.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		t.serveRequest(w, r)
	}
}

func (t *Target) recordCopy(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copies[requestID] = true
}

// acquireSlot takes a slot for the request and reports whether it got one. It takes none if an Overload
// fault is on, no slot is free, or the request names a KV cache copy that this engine does not hold. A copy
// can be used once.
func (t *Target) acquireSlot(r *http.Request) bool {
	if _, full := t.faults.Consume(fault.Overload, ""); full {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if source := r.Header.Get(fieldCopySource); source != "" {
		holder, requestID, _ := strings.Cut(source, "/")
		if holder != t.options.Advertise || !t.copies[requestID] {
			return false
		}
		delete(t.copies, requestID)
	}
	if t.running >= t.options.Slots {
		return false
	}
	t.running++
	return true
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, reset := t.faults.Consume(fault.ResetBefore, ""); reset {
		fault.ResetConnection(w)
		return
	}
	w.Header().Set(FieldRequestID, r.Header.Get(FieldRequestID))
	if limit := t.namedLimit(); limit > 0 {
		w.Header().Set(fieldLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if _, leaving := t.faults.Active(fault.SaysLeaving, ""); leaving {
		w.Header().Set(fieldLeaving, "1")
	}
	if brittle, on := t.faults.Active(fault.Brittle, ""); on {
		w.Header().Set(fieldBrittle, strconv.FormatFloat(brittle.Factor, 'f', -1, 64))
	}
	if pause := t.askedPause(); pause > 0 {
		t.logRequest(Refused, r)
		w.Header().Set(fieldRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		w.Header().Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !t.acquireSlot(r) {
		t.logRequest(Refused, r)
		w.Header().Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	t.logRequest(Began, r)
	outcome := Ended
	defer func() { t.logRequest(outcome, r) }()
	w.Header().Set(FieldSignature, Signature(r.Header.Get(FieldRequestID)))
	serve := t.serveCall
	if t.options.Events > 0 {
		serve = t.serveStream
	}
	if serve(w, r) != nil {
		outcome = Abandoned
	}
}

// namedLimit returns the limit that answers name now; 0 for none.
func (t *Target) namedLimit() float64 {
	if limited, on := t.faults.Active(fault.NamedLimit, ""); on {
		return limited.Factor
	}
	return t.options.Limit
}

// askedPause returns the time for which the target wants nothing of those that it turns away now; 0 if it serves.
func (t *Target) askedPause() time.Duration {
	asked, _ := t.faults.Active(fault.AskedPause, "")
	return time.Duration(asked.Factor * float64(time.Second))
}

// crash ends the target if the request crashes it, and reports whether it did.
func (t *Target) crash(r *http.Request) bool {
	prefix, path := t.options.CrashPrefix, t.options.CrashPath
	prompt := "," + r.Header.Get(FieldPrompt)
	byPart := prefix != "" && strings.Contains(prompt, ","+prefix)
	byPath := path != "" && strings.Contains(r.URL.Path, "/"+path)
	if !byPart && !byPath {
		return false
	}
	t.logRequest(Crashed, r)
	t.options.Exit()
	return true
}

// Signature returns the header value by which a caller recognizes that a target ran the request.
func Signature(request string) string { return "signed." + request }

func (t *Target) logRequest(what RecordKind, r *http.Request) {
	left, _ := strconv.Atoi(r.Header.Get(FieldDeadline))
	t.options.Log.Write(Record{
		At: time.Now(), What: what, Target: t.options.ID, Service: t.options.Service,
		Request: r.Header.Get(FieldRequestID), Customer: r.Header.Get(fieldCustomer), Path: r.URL.Path,
		Left: time.Duration(left) * time.Millisecond, KeyLeaked: r.Header.Get(FieldAuthorization) != "",
		Prompt: r.Header.Get(FieldPrompt), Limit: t.namedLimit(), AskedPause: t.askedPause(),
	})
}

// CallBody returns the body of the answer to a plain call.
func CallBody(method, uri, body string) string { return method + " " + uri + " " + body }

// serveCall answers a plain call. An error means that the call was abandoned.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if err := wait.For(r.Context(), t.options.WorkTime); err != nil {
		return err
	}
	if err := t.faults.WaitSlow(r.Context(), ""); err != nil {
		return err
	}
	if t.crash(r) {
		return nil
	}
	if _, lost := t.faults.Consume(fault.ResetAfter, ""); lost {
		fault.ResetConnection(w)
		return nil
	}
	_, err = io.WriteString(w, CallBody(r.Method, r.RequestURI, string(body)))
	return err
}

// Event returns one event of the stream at the path, in the format text/event-stream.
func Event(path string, id int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, path, id) }

// versionComment begins the line of an event that names the version of the target that made it.
const versionComment = ": version "

// VersionedEvent is Event with a line that names the version of the target, unless it is empty.
func VersionedEvent(path string, id int, version string) string {
	event := Event(path, id)
	if version == "" {
		return event
	}
	return strings.TrimSuffix(event, "\n") + versionComment + version + "\n\n"
}

// SplitVersions returns a stream's text without the lines that name versions, and the versions that whole lines name.
func SplitVersions(text string) (plain string, versions []string) {
	var kept strings.Builder
	for _, line := range strings.SplitAfter(text, "\n") {
		if !strings.HasPrefix(line, ":") {
			kept.WriteString(line)
			continue
		}
		version, whole := strings.CutSuffix(strings.TrimPrefix(line, versionComment), "\n")
		if whole && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return kept.String(), versions
}

// serveStream answers with the events after the one in Last-Event-Id. An error means that the stream was
// abandoned.
func (t *Target) serveStream(w http.ResponseWriter, r *http.Request) error {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	last, _ := strconv.Atoi(r.Header.Get(FieldLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	if t.failTakenUp(w, r, last) {
		return errFailed
	}
	for id := last + 1; id <= t.options.Events; id++ {
		if err := wait.For(r.Context(), t.options.EventInterval); err != nil {
			return err
		}
		if err := t.faults.WaitSlow(r.Context(), ""); err != nil {
			return err
		}
		if t.crash(r) {
			return nil
		}
		event := VersionedEvent(r.URL.Path, id, t.options.Version)
		if _, reset := t.faults.ConsumeAt(fault.ResetStream, "", id); reset {
			_, _ = io.WriteString(w, event[:len(event)/2]) // the stream breaks within an event
			_ = http.NewResponseController(w).Flush()
			fault.ResetConnection(w)
			return nil
		}
		if _, closed := t.faults.ConsumeAt(fault.CloseStream, "", id); closed {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		if id == last+1 {
			t.sendCopy(r)
		}
	}
	return nil
}

// copyTimeout is the timeout of the call that sends a KV cache copy.
const copyTimeout = 500 * time.Millisecond

// sendCopy sends a KV cache copy of the run to the engine that the request names as copy holder, if any. The
// stand-in has no KV cache: the call says only that the copy exists.
func (t *Target) sendCopy(r *http.Request) {
	holder := r.Header.Get(fieldCopyHolder)
	if holder == "" {
		return
	}
	url := "http://" + holder + copyPath + r.Header.Get(FieldRequestID)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		// If the call fails, the copy does not exist, and a request that names it is refused.
		_ = Send(ctx, http.MethodPost, url, nil)
	}()
}

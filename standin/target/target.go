// Package target is a stand-in of a target on the users' platform: a model engine that streams events and
// keeps copies of other engines' runs, or a service that answers plain calls. It registers itself in the
// store and writes what it does to a file, which outlives it.
package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// Names of header fields of the users' platform.
const (
	FieldRequest   = "X-Request-Id"
	FieldSignature = "X-Response-Signature"
	FieldLastEvent = "Last-Event-Id"
	FieldDeadline  = "X-Deadline-Ms"
	FieldKey       = "Authorization"
	FieldTokens    = "X-Token-Usage"
	FieldPrompt    = "X-Prompt-Prefix"
	fieldExpected  = "X-Expect-Instance"
	fieldInstance  = "X-Instance-Id"
	fieldNotRun    = "X-Not-Executed"
	fieldCustomer  = "X-Tenant"
	fieldBackup    = "X-Kv-Backup"
	fieldCopy      = "Kv-From"
)

// Options configures a Target.
type Options struct {
	// ID names the incarnation; Service is what it serves.
	ID, Service, AvailabilityZone string
	// Advertise is the address under which it registers.
	Advertise string
	// Slots is the number of requests that run at once.
	Slots int
	// Events is the number of events of a stream, EventInterval the time between two; 0 events make it a
	// service of plain calls that take WorkTime.
	Events        int
	EventInterval time.Duration
	WorkTime      time.Duration
	// Log receives what happens.
	Log *Log
}

// Target is the stand-in; it is an http.Handler.
type Target struct {
	options Options
	faults  *fault.Set

	mu     sync.Mutex
	active int
	copies map[string]bool
}

// New returns a Target.
func New(options Options) *Target {
	return &Target{options: options, faults: fault.NewSet(), copies: map[string]bool{}}
}

// copyPath is where an engine tells another that it keeps a copy of a run.
const copyPath = "/standin/copies/"

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	run, isCopy := strings.CutPrefix(r.URL.Path, copyPath)
	switch {
	case isCopy:
		t.keepCopy(run)
	case r.URL.Path == "/faults":
		t.faults.ServeHTTP(w, r, t.faults.Add)
	case r.Header.Get(fieldExpected) != t.options.ID:
		w.Header().Set(fieldInstance, t.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		t.serveRequest(w, r)
	}
}

func (t *Target) keepCopy(run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copies[run] = true
}

// admit takes a slot, unless a fault or the request's copy forbids it.
func (t *Target) admit(r *http.Request) bool {
	if _, full := t.faults.Take(fault.Overload, ""); full {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if from := r.Header.Get(fieldCopy); from != "" {
		holder, run, _ := strings.Cut(from, "/")
		if holder != t.options.Advertise || !t.copies[run] {
			return false
		}
		delete(t.copies, run)
	}
	if t.active >= t.options.Slots {
		return false
	}
	t.active++
	return true
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, reset := t.faults.Take(fault.ResetBefore, ""); reset {
		fault.ResetConnection(w)
		return
	}
	w.Header().Set(FieldRequest, r.Header.Get(FieldRequest))
	if !t.admit(r) {
		t.log(Refused, r)
		w.Header().Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	t.log(Began, r)
	ending := Ended
	defer func() { t.log(ending, r) }()
	w.Header().Set(FieldSignature, Signature(r.Header.Get(FieldRequest)))
	serve := t.serveCall
	if t.options.Events > 0 {
		serve = t.serveStream
	}
	if serve(w, r) != nil {
		ending = Abandoned
	}
}

// Signature is what proves that a target answered the request.
func Signature(request string) string { return "signed." + request }

func (t *Target) log(what What, r *http.Request) {
	left, _ := strconv.Atoi(r.Header.Get(FieldDeadline))
	t.options.Log.Write(Record{
		At: time.Now(), What: what, Target: t.options.ID, Service: t.options.Service,
		Request: r.Header.Get(FieldRequest), Customer: r.Header.Get(fieldCustomer), Path: r.URL.Path,
		Left: time.Duration(left) * time.Millisecond, KeyLeaked: r.Header.Get(FieldKey) != "",
	})
}

// CallBody is the body of the answer to a plain call.
func CallBody(method, uri, body string) string { return method + " " + uri + " " + body }

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if err := wait.For(r.Context(), t.options.WorkTime); err != nil {
		return err
	}
	if err := t.faults.Delay(r.Context(), ""); err != nil {
		return err
	}
	if _, lost := t.faults.Take(fault.ResetAfter, ""); lost {
		fault.ResetConnection(w)
		return nil
	}
	_, err = io.WriteString(w, CallBody(r.Method, r.RequestURI, string(body)))
	return err
}

// Event is one event of the stream that the path names.
func Event(path string, id int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, path, id) }

func (t *Target) serveStream(w http.ResponseWriter, r *http.Request) error {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	last, _ := strconv.Atoi(r.Header.Get(FieldLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= t.options.Events; id++ {
		if err := wait.For(r.Context(), t.options.EventInterval); err != nil {
			return err
		}
		if err := t.faults.Delay(r.Context(), ""); err != nil {
			return err
		}
		event := Event(r.URL.Path, id)
		if _, reset := t.faults.TakeAt(fault.Reset, "", id); reset {
			_, _ = io.WriteString(w, event[:len(event)/2]) // broken off within an event
			_ = http.NewResponseController(w).Flush()
			fault.ResetConnection(w)
			return nil
		}
		if _, closed := t.faults.TakeAt(fault.Close, "", id); closed {
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

// copyTimeout bounds the call that tells another engine of a copy.
const copyTimeout = 500 * time.Millisecond

// sendCopy has the engine that the request names keep a copy of the run.
func (t *Target) sendCopy(r *http.Request) {
	holder := r.Header.Get(fieldBackup)
	if holder == "" {
		return
	}
	url := "http://" + holder + copyPath + r.Header.Get(FieldRequest)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		// A copy that does not arrive is one that does not exist.
		_ = Send(ctx, http.MethodPost, url, nil)
	}()
}

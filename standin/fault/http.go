package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// Description describes a kind of fault to operators.
type Description struct {
	Kind Kind
	// SupportedBy names the stand-ins that support the kind.
	SupportedBy string
	Text        string
}

// Descriptions lists every kind of fault.
func Descriptions() []Description {
	return []Description{
		{Die, "all", "close all connections and refuse new ones; returns after \"for\""},
		{Pause, "all", "answer nothing and make no progress"},
		{Slow, "all", "multiply an engine's step time by \"factor\"; others answer \"delay\" later"},
		{Overload, "engine", "refuse new streams as overloaded"},
		{Drain, "engine", "announce the end in \"delay\"; new streams are still taken, and counted"},
		{ResetStream, "engine", "reset a stream after \"after\" tokens"},
		{CloseStream, "engine", "end a stream after \"after\" tokens without its end marker"},
		{DelayedToken, "engine", "hold tokens back for \"delay\""},
		{ForeignToken, "engine", "send a token under another request's ID"},
		{DuplicatedToken, "engine", "send a token twice"},
		{SkippedToken, "engine", "leave a token out"},
		{Crash, "engine", "die after \"after\" tokens of a prompt that contains \"match\""},
		{ResetBefore, "service", "reset the connection before the call runs"},
		{ResetAfter, "service", "run the call, then reset the connection"},
		{DieBefore, "service", "die before the call runs"},
		{DieAfter, "service", "run the call, then die"},
		{Outage, "platform, vmlist", "answer 503 at once"},
		{Hang, "platform, vmlist", "accept calls and answer none"},
		{LostWriteResponse, "platform", "let a write take effect, then close its connection"},
		{RememberState, "platform", "keep the present state as the one for stale reads"},
		{StaleReads, "platform, vmlist", "answer reads from the remembered state, else from that at the time of the switch"},
		{RevisionTooOld, "platform", "answer watches that their revision is too old"},
		{HiddenAddresses, "vmlist", "leave out addresses that contain \"match\""},
		{WronglyDraining, "vmlist", "report addresses that contain \"match\" as leaving"},
		{NamedLimit, "target", "answers name \"factor\" requests a second as the limit for all callers together"},
		{OddObject, "store", "add an object to the kind in \"match\" whose value is nested 10,001 levels deep"},
		{Brittle, "target", "answers say that the target fails when it must turn away more than \"factor\" requests a second"},
		{SaysLeaving, "target", "answers say that the target leaves, which the store doesn't"},
		{AskedPause, "target", "turns requests away and asks each sender for \"factor\" seconds without any"},
	}
}

// IsKnown reports whether kind is a kind of fault.
func IsKnown(kind Kind) bool {
	return slices.ContainsFunc(Descriptions(), func(d Description) bool { return d.Kind == kind })
}

// maxFaultBytes limits the body of POST /faults.
const maxFaultBytes = 64 << 10

// ServeHTTP serves POST /faults, which calls apply with the new fault, and DELETE /faults, which clears
// the set.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request, apply func(Fault)) {
	switch r.Method {
	case http.MethodDelete:
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodPost:
		s.serveAdd(w, r, apply)
	default:
		http.Error(w, "use POST or DELETE", http.StatusMethodNotAllowed)
	}
}

func (s *Set) serveAdd(w http.ResponseWriter, r *http.Request, apply func(Fault)) {
	var fault Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !IsKnown(fault.Kind) {
		http.Error(w, "unknown kind of fault: "+string(fault.Kind), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	apply(fault)
}

// WriteJSON writes a response with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ResetConnection closes the connection of w with a TCP reset.
func ResetConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// WaitSlow waits for the delay of an active Slow fault that applies to subject, and counts an occurrence.
func (s *Set) WaitSlow(ctx context.Context, subject string) error {
	slow, on := s.Consume(Slow, subject)
	if !on {
		return nil
	}
	return wait.For(ctx, time.Duration(slow.Delay))
}

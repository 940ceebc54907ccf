// Package vmlist is a stand-in for the API that lists running and leaving VMs. The list shows changes late, and
// faults can make it wrong.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/standin/fault"
)

// State is the state of a VM as the list reports it.
type State string

// States of VMs. A Leaving VM will be removed soon; a Gone VM is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// VM is one listed VM.
type VM struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	State            State  `json:"state"`
	// LeaveAtMs is the time in milliseconds until a leaving VM is removed.
	LeaveAtMs int64 `json:"leaveAtMs"`
}

// Options configures a List.
type Options struct {
	// Lag is the delay until the list shows a change.
	Lag time.Duration
}

// Stats counts the calls that read the list.
type Stats struct {
	Calls int64 `json:"calls"`
}

// change is a change of a VM that the list shows from visibleAt on.
type change struct {
	vm        VM
	visibleAt time.Time
}

// List is the stand-in of the VM list. It is an http.Handler.
type List struct {
	options Options
	faults  *fault.Set
	mux     *http.ServeMux
	// OnDie carries out a Die fault: it stops the listener, which listens again after returnAfter unless
	// that is 0. Set it before the first call.
	OnDie func(returnAfter time.Duration)

	mu sync.Mutex
	// shown holds the visible VMs by address; pending holds later changes, ordered by visibleAt.
	shown   map[string]VM
	pending []change
	// staleList is the answer while a Stale fault is on.
	staleList []VM
	calls     int64
}

// New returns a List without VMs.
func New(options Options) *List {
	l := &List{options: options, faults: fault.NewSet(), shown: map[string]VM{}}
	l.mux = http.NewServeMux()
	l.mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { l.faults.ServeHTTP(w, r, l.Apply) })
	l.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, l.Stats())
	})
	l.mux.HandleFunc("GET /v1/vms", l.serveList)
	l.mux.HandleFunc("POST /vms", l.serveSet)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Faults returns the faults that are on. To switch one on without HTTP, use Apply.
func (l *List) Faults() *fault.Set { return l.faults }

// Apply carries out a fault or switches it on, as POST /faults does.
func (l *List) Apply(f fault.Fault) {
	switch f.Kind {
	case fault.Die:
		if l.OnDie != nil {
			l.OnDie(time.Duration(f.Duration))
		}
		return
	case fault.StaleReads:
		l.mu.Lock()
		l.staleList = l.visibleVMs()
		l.mu.Unlock()
	}
	l.faults.Add(f)
}

// Set adds, changes or (with the state Gone) removes a VM. The list shows it after the lag.
func (l *List) Set(vm VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{vm, time.Now().Add(l.options.Lag)})
}

// Stats returns the current counters.
func (l *List) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Calls: l.calls}
}

// visibleVMs applies the pending changes that are due and returns the VMs ordered by address. The caller holds
// l.mu.
func (l *List) visibleVMs() []VM {
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		vm := l.pending[0].vm
		l.pending = l.pending[1:]
		if vm.State == Gone {
			delete(l.shown, vm.Address)
			continue
		}
		l.shown[vm.Address] = vm
	}
	list := make([]VM, 0, len(l.shown))
	for _, vm := range l.shown {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b VM) int { return strings.Compare(a.Address, b.Address) })
	return list
}

// List returns the VMs that a call would return now, with the faults applied.
func (l *List) List() []VM {
	l.mu.Lock()
	list := l.visibleVMs()
	if _, stale := l.faults.Active(fault.StaleReads, ""); stale {
		list = slices.Clone(l.staleList)
	}
	l.mu.Unlock()
	list = slices.DeleteFunc(list, func(vm VM) bool {
		_, hidden := l.faults.Consume(fault.HiddenAddresses, vm.Address)
		return hidden
	})
	for i := range list {
		if _, wrong := l.faults.Consume(fault.WronglyDraining, list[i].Address); wrong {
			list[i].State = Leaving
		}
	}
	return list
}

type listResponse struct {
	Items []VM `json:"items"`
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	if _, on := l.faults.Consume(fault.Outage, ""); on {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if _, on := l.faults.Active(fault.Hang, ""); on {
		<-r.Context().Done()
		return
	}
	if l.faults.WaitWhile(r.Context(), fault.Pause) != nil || l.faults.WaitSlow(r.Context(), "") != nil {
		return
	}
	fault.WriteJSON(w, http.StatusOK, listResponse{Items: l.List()})
}

// maxVMBytes limits the body of POST /vms.
const maxVMBytes = 64 << 10

func (l *List) serveSet(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxVMBytes)).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(vm)
	w.WriteHeader(http.StatusNoContent)
}

package journal

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/azurebarrow/azurebarrow/membership"
)

// This file is a model checker for takeovers: it explores every order of steps of two entries and two
// replicas, with a crash, a lost message or a timeout, and any reordering of messages. The steps run
// the code of Store, Writer and LookupResult; a state is rebuilt by replaying its steps.

const modelKey = "c/k"

// bounds limits the explored state space.
type bounds struct {
	entries, tokens, losses, crashes, timeouts int
}

// step is one transition: its kind and the entry, replica or message that it concerns.
type step struct {
	kind          string
	subject, peer int
}

// modelMessage is a message in flight, a request or a reply.
type modelMessage struct {
	entry, replica int
	reply          bool
	takeover       *TakeoverRequest
	granted        TakeoverResult
	handle         *replicaHandle
	batch          Batch
	result         BatchResult
}

// modelEntry is an entry of the model, with its writer or its takeover in progress.
type modelEntry struct {
	name     string
	journal  *Journal
	writer   *Writer
	observed modelObserver
	request  *TakeoverRequest
	found    LookupResult
	awaiting [2]bool
	tookOver bool
	produced int
	crashed  bool
}

type modelObserver struct {
	committed  int
	superseded bool
}

func (o *modelObserver) PositionCommitted(position int) { o.committed = position }
func (o *modelObserver) AttemptRecorded(Attempt)        {}
func (o *modelObserver) Superseded(int)                 { o.superseded = true }
func (o *modelObserver) Degraded(bool)                  {}

// seenEvent is a token that a caller has received, with its term and index.
type seenEvent struct {
	term, index int
	token       string
}

// takeoverModel is one state of the model.
type takeoverModel struct {
	bounds   bounds
	replicas []membership.Peer
	stores   []*Store
	entries  []*modelEntry
	messages []*modelMessage
	seen     []seenEvent
	timeouts int
	losses   int
	crashes  int
}

func newTakeoverModel(b bounds) *takeoverModel {
	w := &takeoverModel{bounds: b}
	for i := range 2 {
		w.replicas = append(w.replicas, membership.Peer{Name: fmt.Sprintf("r%d", i), AvailabilityZone: fmt.Sprintf("z%d", i)})
		w.stores = append(w.stores, NewStore(DefaultLimits))
	}
	for i := range b.entries {
		self := membership.Peer{Name: fmt.Sprintf("e%d", i), AvailabilityZone: "a"}
		view := membership.Static{This: self, Peers: append([]membership.Peer{self}, w.replicas...)}
		e := &modelEntry{name: self.Name, journal: New(Options{View: view, Store: NewStore(DefaultLimits)})}
		for _, peer := range w.replicas {
			e.journal.sender(peer).running = true // no goroutine: the model delivers the batches
		}
		w.entries = append(w.entries, e)
	}
	term := NextTerm(0, "e0")
	w.write(w.entries[0], &Record{Key: modelKey, Generation: "g", Term: term, Producer: "e0", Lineage: Lineage{{term, 0}}})
	return w
}

func (w *takeoverModel) write(e *modelEntry, record *Record) {
	e.observed = modelObserver{}
	e.writer = e.journal.StartReplication(record, &e.observed).(*Writer)
	w.send(e)
}

// send puts what the entry's senders have queued in flight, one batch for each replica.
func (w *takeoverModel) send(e *modelEntry) {
	for i, peer := range w.replicas {
		if w.batchInFlight(e, i) {
			continue
		}
		handles, _, _ := e.journal.sender(peer).takeQueued()
		e.journal.sender(peer).running = true
		for _, h := range handles {
			record, operation := h.writer.nextOperation(h)
			f := &modelMessage{entry: slices.Index(w.entries, e), replica: i, handle: h}
			switch {
			case record != nil:
				f.batch.Installs = []*Record{record}
			case operation != nil:
				f.batch.Appends = []Append{*operation}
			default:
				continue
			}
			w.messages = append(w.messages, f)
		}
	}
}

// batchInFlight reports whether the entry awaits the result of a batch at the replica.
func (w *takeoverModel) batchInFlight(e *modelEntry, replica int) bool {
	return slices.ContainsFunc(w.messages, func(f *modelMessage) bool {
		return w.entries[f.entry] == e && f.replica == replica && f.takeover == nil && !f.handle.dropped && f.handle.writer == e.writer
	})
}

func (w *takeoverModel) steps() []step {
	var steps []step
	for i, e := range w.entries {
		if e.crashed {
			continue
		}
		producing := e.writer != nil && !e.observed.superseded
		if producing && e.produced < w.bounds.tokens {
			steps = append(steps, step{"produce", i, 0})
		}
		if i > 0 && !e.tookOver {
			steps = append(steps, step{"takeover", i, 0})
		}
		if w.crashes < w.bounds.crashes {
			steps = append(steps, step{"crash", i, 0})
		}
		for r := range w.replicas {
			if w.timeouts < w.bounds.timeouts && (e.awaiting[r] || (producing && w.batchInFlight(e, r) && len(e.writer.handles) > 1)) {
				steps = append(steps, step{"timeout", i, r})
			}
		}
	}
	for i := range w.messages {
		steps = append(steps, step{"deliver", i, 0})
		if w.losses < w.bounds.losses {
			steps = append(steps, step{"lose", i, 0})
		}
	}
	return steps
}

func (w *takeoverModel) apply(s step) {
	switch s.kind {
	case "produce":
		e := w.entries[s.subject]
		e.produced++
		e.writer.Append([]string{fmt.Sprintf("%s#%d", e.name, e.produced)}, "")
		w.send(e)
	case "takeover":
		w.takeOver(s.subject)
	case "crash":
		w.crashes++
		w.entries[s.subject].crashed = true
	case "timeout":
		w.timeouts++
		w.timeout(w.entries[s.subject], s.peer)
	case "deliver":
		w.deliver(w.remove(s.subject))
	case "lose":
		w.losses++
		w.remove(s.subject)
	}
	w.deliverToCaller()
}

func (w *takeoverModel) remove(i int) *modelMessage {
	f := w.messages[i]
	w.messages = slices.Delete(slices.Clone(w.messages), i, i+1)
	return f
}

func (w *takeoverModel) takeOver(i int) {
	e := w.entries[i]
	e.tookOver = true
	promised := 0
	for _, s := range w.stores {
		promised = max(promised, s.Read(modelKey).Promised)
	}
	e.request = &TakeoverRequest{Key: modelKey, Term: NextTerm(promised, e.name), Producer: e.name}
	for r := range w.replicas {
		e.awaiting[r] = true
		w.messages = append(w.messages, &modelMessage{entry: i, replica: r, takeover: e.request})
	}
}

func (w *takeoverModel) timeout(e *modelEntry, r int) {
	if e.awaiting[r] {
		e.awaiting[r] = false
		e.journal.markFailed(w.replicas[r].Name)
		w.finishTakeover(e)
		return
	}
	for _, h := range slices.Clone(e.writer.handles) {
		if h.sender.peer.Name == w.replicas[r].Name {
			e.journal.markFailed(h.sender.peer.Name)
			e.writer.drop(h)
		}
	}
	w.send(e)
}

// finishTakeover ends a takeover once every replica has answered or timed out.
func (w *takeoverModel) finishTakeover(e *modelEntry) {
	if e.awaiting[0] || e.awaiting[1] {
		return
	}
	record, err := e.found.takeoverRecord(*e.request)
	if err != nil {
		if !errors.Is(err, errRefused) && !errors.Is(err, ErrNoRecord) {
			panic(err)
		}
		return
	}
	w.write(e, record)
}

func (w *takeoverModel) deliver(f *modelMessage) {
	e := w.entries[f.entry]
	switch {
	case !f.reply && f.takeover != nil:
		f.granted = w.stores[f.replica].Takeover(*f.takeover)
		w.answer(f)
	case !f.reply:
		f.result = w.stores[f.replica].Exchange(f.batch)
		w.answer(f)
	case e.crashed:
	case f.takeover != nil:
		if e.awaiting[f.replica] {
			e.awaiting[f.replica] = false
			e.found.add(f.granted.Copy)
			w.finishTakeover(e)
		}
	case len(f.batch.Installs) > 0:
		handleResults([]*replicaHandle{f.handle}, f.result.Installs, true)
		w.send(e)
	default:
		handleResults([]*replicaHandle{f.handle}, f.result.Appends, false)
		w.send(e)
	}
}

func (w *takeoverModel) answer(f *modelMessage) {
	reply := *f
	reply.reply = true
	w.messages = append(w.messages, &reply)
}

// deliverToCaller records the committed tokens as received by callers.
func (w *takeoverModel) deliverToCaller() {
	for _, e := range w.entries {
		if e.crashed || e.writer == nil {
			continue
		}
		record := e.writer.record
		for i := range min(e.observed.committed, len(record.Tokens)) {
			event := seenEvent{record.Lineage.TermAt(i), i, record.Tokens[i]}
			if !slices.Contains(w.seen, event) {
				w.seen = append(w.seen, event)
			}
		}
	}
}

// check returns an error if a caller has received a token that belongs to a producer's lineage but
// differs from its log; or, while no replica has timed out, a token that is not in the lineage of the
// newest term, which would be lost for the caller.
func (w *takeoverModel) check() error {
	for _, e := range w.entries {
		if e.crashed || e.writer == nil || e.observed.superseded {
			continue
		}
		record := e.writer.record
		for _, event := range w.seen {
			contained := record.Lineage.Contains(event.term, event.index)
			if contained && event.index < len(record.Tokens) && record.Tokens[event.index] != event.token {
				return fmt.Errorf("%s: index %d is %s, a caller has %s", e.name, event.index, record.Tokens[event.index], event.token)
			}
			newest := w.newestTerm() == record.Term
			if newest && w.timeouts == 0 && !contained {
				return fmt.Errorf("%s: a caller's event %+v was lost without a fault of a replica", e.name, event)
			}
		}
	}
	return nil
}

func (w *takeoverModel) newestTerm() int {
	newest := 0
	for _, e := range w.entries {
		if e.writer != nil {
			newest = max(newest, e.writer.record.Term)
		}
	}
	return newest
}

// key identifies the state, to explore each state once.
func (w *takeoverModel) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.timeouts, w.losses, w.crashes, w.seen)
	for _, s := range w.stores {
		if present := s.slots[modelKey]; present != nil {
			fmt.Fprint(&b, "|", present.promised, present.holder, describe(present.record))
		}
	}
	for _, e := range w.entries {
		fmt.Fprint(&b, "|", e.crashed, e.tookOver, e.produced, e.awaiting, e.observed, e.found.HighestTerm, describe(e.found.Record))
		if e.writer != nil {
			fmt.Fprint(&b, describe(e.writer.record))
			for _, h := range e.writer.handles {
				fmt.Fprint(&b, ";", h.sender.peer.Name, h.installed, h.acked)
			}
		}
	}
	var flights []string
	for _, f := range w.messages {
		flights = append(flights, f.String())
	}
	slices.Sort(flights)
	fmt.Fprint(&b, "|", flights)
	return b.String()
}

func (f *modelMessage) String() string {
	text := fmt.Sprint(f.entry, f.replica, f.reply, f.granted.Granted, f.granted.Copy.Promised, describe(f.granted.Copy.Record), f.result)
	if f.takeover != nil {
		return text + fmt.Sprint(*f.takeover)
	}
	for _, record := range f.batch.Installs {
		text += describe(record)
	}
	return text + fmt.Sprint(f.batch.Appends, f.handle.dropped)
}

func describe(record *Record) string {
	if record == nil {
		return "none"
	}
	return fmt.Sprint(record.Term, record.Producer, record.Lineage, record.Tokens)
}

// replay returns the state after the steps of path.
func replay(b bounds, path []step) *takeoverModel {
	w := newTakeoverModel(b)
	for _, s := range path {
		w.apply(s)
	}
	return w
}

// explore visits every reachable state. It returns the number of states, or the first violation.
func explore(b bounds) (int, error) {
	visited := map[string]bool{}
	stack := [][]step{nil}
	for len(stack) > 0 {
		path := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		w := replay(b, path)
		if err := w.check(); err != nil {
			return len(visited), fmt.Errorf("%w after %v", err, path)
		}
		key := w.key()
		if visited[key] {
			continue
		}
		visited[key] = true
		for _, s := range w.steps() {
			stack = append(stack, append(slices.Clone(path), s))
		}
	}
	return len(visited), nil
}

var exhaustive = flag.Bool("exhaustive", false, "explore the larger bounds too")

func TestTakeoverExhaustively(t *testing.T) {
	list := []bounds{
		{entries: 2, tokens: 1},
		{entries: 2, tokens: 1, crashes: 1},
		{entries: 2, tokens: 1, losses: 1},
		{entries: 2, tokens: 1, timeouts: 1},
	}
	if *exhaustive {
		list = append(list, bounds{entries: 2, tokens: 2}, bounds{entries: 2, tokens: 1, losses: 1, timeouts: 1})
	}
	for _, b := range list {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			// In virtual time, no cooldown of a replica ends between a step and its replay.
			synctest.Test(t, func(t *testing.T) {
				states, err := explore(b)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("%d states", states)
			})
		})
	}
}

package generation

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/journal"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Journal is the port to the replicas of generations.
type Journal interface {
	// Locate returns what the entries know about a key; it waits at least for patience if some don't
	// answer.
	Locate(ctx context.Context, key string, patience time.Duration) journal.Found
	// Write starts to replicate a record.
	Write(record *journal.Record, observer journal.Observer) journal.Appender
	// Takeover raises the key's term and returns the record to continue with.
	Takeover(ctx context.Context, key string, found journal.Found) (*journal.Record, error)
}

// Field is one value of a log event.
type Field struct {
	Key   string
	Value any
}

// Options configure a Manager.
type Options struct {
	Engine  Engine
	Chooser Chooser
	// Journal may be nil: generations then end with the entry.
	Journal Journal
	// Peers reaches the other entries' managers; nil when there are none.
	Peers Peers
	// Suspects keeps the deaths charged to fingerprints; nil keeps them in this entry only.
	Suspects Suspects
	// Target returns a target by name, nil if there is none; needed to re-attach after a takeover.
	Target func(name string) *v1.Target
	// Deadline returns when a leaving target ends; nil when no target ever tells.
	Deadline func(target string) (deadline time.Time, leaves bool)
	// ObserveResume is told how long a generation's output had stopped when it goes on after a loss;
	// nil when nobody asks.
	ObserveResume func(deployment string, took time.Duration)
	// Log receives events; nil discards them.
	Log func(event string, fields ...Field)
	// EntryName is this entry's name.
	EntryName string
	// RetryWindow is how long a finished generation stays for retries; 0 is DefaultRetryWindow.
	RetryWindow time.Duration
	// ResumeConcurrency bounds the attempts that start at once to replace lost ones; 0 is
	// DefaultResumeConcurrency.
	ResumeConcurrency int
}

// DefaultRetryWindow is the retry window of finished generations.
const DefaultRetryWindow = 5 * time.Minute

// DefaultResumeConcurrency bounds the replacing attempts that an entry starts at once.
const DefaultResumeConcurrency = 16

const (
	// pauseTick is the time between the ticks by which pauses of this process are measured.
	pauseTick = 10 * time.Millisecond
	// loggedPause is the shortest pause that is logged.
	loggedPause = 250 * time.Millisecond
)

// Manager runs this entry's generations. It is safe for concurrent use.
type Manager struct {
	options     Options
	stats       Stats
	targets     *health.Targets
	pauses      *health.PauseDetector
	duplication *duplicationBudgets
	pacer       *pacer

	ctx    context.Context
	cancel context.CancelFunc
	// background counts every goroutine; working the generations that are not over.
	background sync.WaitGroup

	mu      sync.Mutex
	runs    map[string]*run
	working int
	idle    chan struct{}
	// draining refuses new generations.
	draining bool
}

// NewManager returns a Manager.
func NewManager(options Options) *Manager {
	if options.Journal == nil {
		options.Journal = aloneJournal(options.EntryName)
	}
	if options.Log == nil {
		options.Log = func(string, ...Field) {}
	}
	if options.RetryWindow == 0 {
		options.RetryWindow = DefaultRetryWindow
	}
	if options.ResumeConcurrency == 0 {
		options.ResumeConcurrency = DefaultResumeConcurrency
	}
	if options.Suspects == nil {
		options.Suspects = newLocalCrashRecords()
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options:     options,
		targets:     health.NewTargets(),
		pauses:      health.NewPauseDetector(pauseTick),
		duplication: newDuplicationBudgets(),
		pacer:       newPacer(options.ResumeConcurrency),
		ctx:         ctx,
		cancel:      cancel,
		runs:        map[string]*run{},
		idle:        make(chan struct{}),
	}
	m.background.Go(m.watchPauses)
	return m
}

// aloneJournal is the journal of an entry without peers: nothing is replicated.
func aloneJournal(name string) Journal {
	self := membership.Peer{Name: name}
	view := membership.Static{This: self, Peers: []membership.Peer{self}}
	return journal.New(journal.Options{View: view, Store: journal.NewStore(journal.DefaultLimits)})
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// Open returns a reader of the answer to request. It starts the generation, joins the one that runs
// under the same key or takes over one whose entry is gone. The reader continues after the event
// named by after, or begins at index 0 when after is nil.
func (m *Manager) Open(ctx context.Context, request Request, after *EventID) (*Reader, error) {
	body := bodyHash(request)
	for {
		r, err := m.attach(request, body, after)
		if err != nil {
			return nil, err
		}
		err = r.awaitReady(ctx)
		if err == nil {
			return newReader(r, after)
		}
		r.detach()
		if err != errNothingToContinue {
			return nil, err
		}
		if after != nil {
			return nil, &LineageLostError{Key: request.Key, After: *after}
		}
	}
}

// attach returns the run of the request's key with one more reader.
func (m *Manager) attach(request Request, hash string, after *EventID) (*run, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return nil, ErrClosed
	}
	key := request.Key.String()
	r := m.runs[key]
	if r != nil && r.bodyHash != hash {
		return nil, &RequestMismatchError{Key: request.Key}
	}
	if r == nil && m.draining {
		return nil, &GivenUpError{RetryAfter: retryAfter, Cause: ErrDraining}
	}
	if r == nil {
		r = newRun(m, request, hash, after)
		m.runs[key] = r
		m.working++
		// The caller is counted before the run can look for readers.
		r.attach()
		m.background.Go(r.live)
		return r, nil
	}
	r.attach()
	return r, nil
}

// Drain refuses new generations and waits until the running ones are over.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for {
		m.mu.Lock()
		working, idle := m.working, m.idle
		m.mu.Unlock()
		if working == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Running returns the number of generations that are not over.
func (m *Manager) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.working
}

// Close stops at once, without cancelling streams, as a death of the process would.
func (m *Manager) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.background.Wait()
}

// over records that a run ended. A finished one stays readable for the retry window.
func (m *Manager) over(r *run, keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.working--
	if m.working == 0 {
		close(m.idle)
		m.idle = make(chan struct{})
	}
	if !keep {
		m.forget(r)
		return
	}
	m.background.Go(func() { m.expire(r) })
}

func (m *Manager) expire(r *run) {
	timer := time.NewTimer(m.options.RetryWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(r)
}

func (m *Manager) forget(r *run) {
	key := r.request.Key.String()
	if m.runs[key] == r {
		delete(m.runs, key)
	}
}

// watchPauses notices when this process was paused.
func (m *Manager) watchPauses() {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			if lost := m.pauses.Tick(time.Now()); lost >= loggedPause {
				m.options.Log("entry-was-paused", Field{"lost", lost})
			}
		}
	}
}

const generationIDBytes = 9

func newGenerationID() string {
	id := make([]byte, generationIDBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

// bodyHash identifies what the caller asked for. The pinned version and adapter are not part of it:
// a retry may arrive when the deployment has moved on.
func bodyHash(request Request) string {
	sum := sha256.New()
	writeText(sum, request.Deployment)
	writeText(sum, request.Prompt)
	_ = binary.Write(sum, binary.BigEndian, int64(request.MaxTokens))
	_ = binary.Write(sum, binary.BigEndian, request.Seed)
	return hex.EncodeToString(sum.Sum(nil))
}

// fingerprint identifies what a target runs, whatever the key: deployment, model and prompt.
func fingerprint(request Request) string {
	sum := sha256.New()
	writeText(sum, request.Deployment)
	writeText(sum, request.Model)
	writeText(sum, request.Prompt)
	return hex.EncodeToString(sum.Sum(nil))
}

// writeText writes a text with its length, so that two texts can't run into each other.
func writeText(sum hash.Hash, text string) {
	_ = binary.Write(sum, binary.BigEndian, int64(len(text)))
	_, _ = sum.Write([]byte(text))
}

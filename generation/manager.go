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

// Journal is the port to the replicated records of generations.
type Journal interface {
	// LookUp returns what the entries know about a key; it waits for at least minWait if some don't answer.
	LookUp(ctx context.Context, key string, minWait time.Duration) journal.LookupResult
	// StartReplication starts replicating a record.
	StartReplication(record *journal.Record, observer journal.Observer) journal.Appender
	// Takeover raises the key's term and returns the record to continue with.
	Takeover(ctx context.Context, key string, found journal.LookupResult) (*journal.Record, error)
}

// Field is a key with its value in a log event.
type Field struct {
	Key   string
	Value any
}

// Options configure a Manager.
type Options struct {
	Engine  Engine
	Chooser Chooser
	// Journal may be nil: a generation is then lost with the entry.
	Journal Journal
	// Peers reaches the managers of the other entries; nil when there are none.
	Peers Peers
	// CrashRecords records the crashes of targets against fingerprints; nil records them in this entry only.
	CrashRecords CrashRecords
	// IsDown reports whether a target whose stream broke has crashed, which this entry's own link can't tell; nil takes it
	// for crashed.
	IsDown func(target string) bool
	// Target returns a target by name, nil if there is none. It is needed to attach to a stream after a
	// takeover.
	Target func(name string) *v1.Target
	// DrainDeadline returns when a draining target stops; draining is false for other targets. It is nil when
	// targets never announce their end.
	DrainDeadline func(target string) (deadline time.Time, draining bool)
	// ObserveResume is called when output continues after the loss of an attempt, with the time for which
	// it had stopped; may be nil.
	ObserveResume func(deployment string, took time.Duration)
	// Log receives log events; nil discards them.
	Log func(event string, fields ...Field)
	// EntryName is this entry's name.
	EntryName string
	// RetryWindow is how long a completed generation stays readable for retries; 0 is DefaultRetryWindow.
	RetryWindow time.Duration
	// ResumeConcurrency bounds the attempts that start concurrently to replace lost ones; 0 is
	// DefaultResumeConcurrency.
	ResumeConcurrency int
}

// DefaultRetryWindow is the default of Options.RetryWindow.
const DefaultRetryWindow = 5 * time.Minute

// DefaultResumeConcurrency is the default of Options.ResumeConcurrency.
const DefaultResumeConcurrency = 16

const (
	// pauseTickInterval is the interval of the ticks that detect pauses of this process.
	pauseTickInterval = 10 * time.Millisecond
	// minLoggedPause is the shortest pause that is logged.
	minLoggedPause = 250 * time.Millisecond
)

// Manager runs this entry's generations. It is safe for concurrent use.
type Manager struct {
	options     Options
	stats       Stats
	targets     *health.SuspectedTargets
	pauses      *health.PauseDetector
	duplication *duplicationBudgets
	pacer       *pacer

	ctx    context.Context
	cancel context.CancelFunc
	// background counts all goroutines.
	background sync.WaitGroup

	mu   sync.Mutex
	runs map[string]*run
	// unfinished counts the runs that have not ended; idle is closed and replaced when it drops to 0.
	unfinished int
	idle       chan struct{}
	// draining is set once new generations are rejected.
	draining bool
}

// NewManager returns a Manager.
func NewManager(options Options) *Manager {
	if options.Journal == nil {
		options.Journal = unreplicatedJournal(options.EntryName)
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
	if options.CrashRecords == nil {
		options.CrashRecords = newLocalCrashRecords()
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options:     options,
		targets:     health.NewSuspectedTargets(),
		pauses:      health.NewPauseDetector(pauseTickInterval),
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

// unreplicatedJournal returns the journal of an entry without peers: nothing is replicated.
func unreplicatedJournal(name string) Journal {
	self := membership.Peer{Name: name}
	view := membership.Static{This: self, Peers: []membership.Peer{self}}
	return journal.New(journal.Options{View: view, Store: journal.NewStore(journal.DefaultLimits)})
}

// Stats returns the counters.
func (m *Manager) Stats() *Stats { return &m.stats }

// Open returns a reader of the answer to request. It starts the generation, joins the one that runs
// under the same key, or takes over one whose entry is unreachable. The reader continues after the event
// named by after, or starts at index 0 when after is nil.
func (m *Manager) Open(ctx context.Context, request Request, after *EventID) (*Reader, error) {
	body := bodyHash(request)
	for {
		r, err := m.openRun(request, body, after)
		if err != nil {
			return nil, err
		}
		err = r.awaitReady(ctx)
		if err == nil {
			return newReader(r, after)
		}
		r.removeReader()
		if err != errNothingToContinue {
			return nil, err
		}
		if after != nil {
			return nil, &LineageLostError{Key: request.Key, After: *after}
		}
	}
}

// openRun returns the run of the request's key with one more reader. It opens the run if there is none.
func (m *Manager) openRun(request Request, hash string, after *EventID) (*run, error) {
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
		m.unfinished++
		// The caller must be counted before the run checks for readers.
		r.addReader()
		m.background.Go(r.execute)
		return r, nil
	}
	r.addReader()
	return r, nil
}

// Drain rejects new generations and waits until the running ones have ended.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for {
		m.mu.Lock()
		working, idle := m.unfinished, m.idle
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

// Running returns the number of generations that have not ended.
func (m *Manager) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unfinished
}

// Close stops at once, without cancelling streams, like a crash of the process.
func (m *Manager) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.background.Wait()
}

// finishRun records that a run has ended. With keep, its log stays readable for the retry window.
func (m *Manager) finishRun(r *run, keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unfinished--
	if m.unfinished == 0 {
		close(m.idle)
		m.idle = make(chan struct{})
	}
	if !keep {
		m.removeRun(r)
		return
	}
	m.background.Go(func() { m.expireRun(r) })
}

func (m *Manager) expireRun(r *run) {
	timer := time.NewTimer(m.options.RetryWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeRun(r)
}

func (m *Manager) removeRun(r *run) {
	key := r.request.Key.String()
	if m.runs[key] == r {
		delete(m.runs, key)
	}
}

// watchPauses detects and logs pauses of this process.
func (m *Manager) watchPauses() {
	ticker := time.NewTicker(pauseTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			if lost := m.pauses.Tick(time.Now()); lost >= minLoggedPause {
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

// bodyHash identifies what the caller asked for. The pinned version and adapter are left out: the
// deployment may have changed them by the time of a retry.
func bodyHash(request Request) string {
	sum := sha256.New()
	writeText(sum, request.Deployment)
	writeText(sum, request.Prompt)
	_ = binary.Write(sum, binary.BigEndian, int64(request.MaxTokens))
	_ = binary.Write(sum, binary.BigEndian, request.Seed)
	return hex.EncodeToString(sum.Sum(nil))
}

// fingerprint identifies what a target runs under any key: deployment, model and prompt.
func fingerprint(request Request) string {
	sum := sha256.New()
	writeText(sum, request.Deployment)
	writeText(sum, request.Model)
	writeText(sum, request.Prompt)
	return hex.EncodeToString(sum.Sum(nil))
}

// writeText hashes a text with its length, so that two consecutive texts are kept apart.
func writeText(sum hash.Hash, text string) {
	_ = binary.Write(sum, binary.BigEndian, int64(len(text)))
	_, _ = sum.Write([]byte(text))
}

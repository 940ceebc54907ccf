package prompts

import (
	"context"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
)

// Store is the port to what outlives every entry: one object for each entry, with its prompts and the engines
// that have read them.
type Store interface {
	// WritePrompts replaces the object of an entry.
	WritePrompts(ctx context.Context, entry string, held map[string]string) error
	// ReadPrompts returns the prompts of all entries.
	ReadPrompts(ctx context.Context) (map[string]string, error)
}

// Options configure a Manager.
type Options struct {
	// Entry is the name of this entry.
	Entry string
	Store Store
	// Live returns the number of live entries, by which calls to the store are spread out.
	Live func() int
	// Log receives lost and regained dependencies; nil discards them.
	Log func(event string, err error)
}

const (
	// writeInterval is the least time between two writes of an entry. A stream that began later has hardly
	// read its prompt when its entry is lost.
	writeInterval = 2 * time.Second
	// writeSpacing times the number of entries is the time between two writes of one: 20 writes a second
	// of all entries together, a twentieth of what the smallest store takes.
	writeSpacing = 50 * time.Millisecond
	// mostEntries is the fleet up to which prompts are shared. In a larger one the writes of an entry would be
	// further apart than a stream lasts, and a reading would take the memory and the bytes that an entry
	// has for control.
	mostEntries = 100
	// readInterval is the least time between two readings of an entry.
	readInterval = time.Second
	// readPatience bounds how long a stream waits for a reading; the store answers in milliseconds, and
	// without it the prompt is read for a second.
	readPatience = 150 * time.Millisecond
	writeTimeout = time.Second
)

// Manager remembers prompts over the loss of entries. It is safe for concurrent use.
type Manager struct {
	options Options
	index   *index

	mu sync.Mutex
	// reading is closed when the reading that is under way ends; nil when there is none.
	reading chan struct{}
	read    time.Time
	failing bool
}

// NewManager returns a Manager; Run shares what it knows.
func NewManager(options Options) *Manager {
	if options.Log == nil {
		options.Log = func(string, error) {}
	}
	return &Manager{options: options, index: newIndex()}
}

// Placed notes that an engine reads the prompt of a stream, or has it.
func (m *Manager) Placed(prompt, engine string) {
	if prompt != "" {
		m.index.placed(prompt, engine)
	}
}

// Closed notes the end of a stream.
func (m *Manager) Closed(prompt string, complete bool) { m.index.closed(prompt, complete, time.Now()) }

// Find returns the engine that has read the prompt, as far as this entry knows; else empty.
func (m *Manager) Find(prompt string) string { return m.index.find(prompt) }

// Recall returns the engine that has read the prompt of a stream which its caller resumes; empty if it is not
// known within a short time.
func (m *Manager) Recall(ctx context.Context, prompt string) string {
	if engine := m.index.find(prompt); engine != "" || prompt == "" {
		return engine
	}
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	select {
	case <-m.startReading():
	case <-ctx.Done():
	}
	return m.index.find(prompt)
}

// startReading reads the store, or joins the reading under way. The channel is closed when it ends.
func (m *Manager) startReading() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading != nil {
		return m.reading
	}
	ended := make(chan struct{})
	if time.Since(m.read) < readInterval || m.options.Live() > mostEntries {
		close(ended)
		return ended
	}
	m.reading = ended
	go func() {
		m.readStore()
		m.mu.Lock()
		m.reading = nil
		m.read = time.Now()
		m.mu.Unlock()
		close(ended)
	}()
	return ended
}

// readStore takes in the prompts of all entries; it reports false when the store did not answer.
func (m *Manager) readStore() bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	found, err := m.options.Store.ReadPrompts(ctx)
	m.report(err)
	m.index.learn(found, time.Now())
	return err == nil
}

// Run reads what other entries and this one's former process knew, and writes what this one knows, until ctx
// ends. It writes nothing before it has read: that would replace what the former process knew.
func (m *Manager) Run(ctx context.Context) error {
	for !m.readStore() {
		if wait.For(ctx, readInterval) != nil {
			return nil
		}
	}
	for {
		interval := max(writeInterval, time.Duration(m.options.Live())*writeSpacing)
		if wait.For(ctx, interval) != nil {
			return nil
		}
		m.write(ctx)
	}
}

func (m *Manager) write(ctx context.Context) {
	held, changed := m.index.taken(time.Now())
	if !changed || m.options.Live() > mostEntries {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := m.options.Store.WritePrompts(ctx, m.options.Entry, held)
	if err != nil {
		m.index.untaken()
	}
	m.report(err)
}

// report tells when the store is lost and when it is there again.
func (m *Manager) report(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing == (err != nil) {
		return
	}
	m.failing = err != nil
	if m.failing {
		m.options.Log("prompt-store-lost", err)
		return
	}
	m.options.Log("prompt-store-regained", nil)
}

// Package eventlog writes one line of key=value pairs for each event. Its volume is bounded and it
// never blocks: what is too much is counted, and the count is logged.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// eventsPerSecond and eventBurst bound the lines of one kind of event.
	eventsPerSecond = 100
	eventBurst      = 300
	// queuedLines bounds the lines that wait for a slow reader of the output.
	queuedLines = 2048
	// reportInterval is the time between reports of what was dropped.
	reportInterval = time.Second
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *logrus.Logger
	lines  chan []byte

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the allowance of one kind of event.
type kind struct {
	left    float64
	updated time.Time
	dropped int
}

// New returns a log that writes to out at the given level of logrus.
func New(out io.Writer, level string) *Log {
	l := &Log{logger: logrus.New(), lines: make(chan []byte, queuedLines), kinds: map[string]*kind{}}
	l.logger.SetOutput(&queue{lines: l.lines, log: l})
	l.logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.logger.SetLevel(parsed)
	}
	go l.write(out)
	return l
}

// Event writes one line.
func (l *Log) Event(event string, fields ...generation.Field) {
	if !l.allow(event, time.Now()) {
		return
	}
	values := make(logrus.Fields, len(fields))
	for _, field := range fields {
		if field.Value != nil && field.Value != "" {
			values[field.Key] = field.Value
		}
	}
	l.logger.WithFields(values).Info(event)
}

func (l *Log) allow(event string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[event]
	if k == nil {
		k = &kind{left: eventBurst, updated: now}
		l.kinds[event] = k
	}
	k.left = min(eventBurst, k.left+now.Sub(k.updated).Seconds()*eventsPerSecond)
	k.updated = now
	if k.left < 1 {
		k.dropped++
		return false
	}
	k.left--
	return true
}

// lost counts a line that found the queue full.
func (l *Log) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[queueFull]
	if k == nil {
		k = &kind{}
		l.kinds[queueFull] = k
	}
	k.dropped++
}

// queueFull stands for events of any kind in the reports of what was dropped.
const queueFull = "queue-full"

// write hands the queued lines to out, and reports what was dropped.
func (l *Log) write(out io.Writer) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			_, _ = out.Write(line) // there is nowhere left to report a failure of the output to
		case <-ticker.C:
			l.reportDropped()
		}
	}
}

func (l *Log) reportDropped() {
	l.mu.Lock()
	counts := map[string]int{}
	for event, k := range l.kinds {
		if k.dropped > 0 {
			counts[event] = k.dropped
			k.dropped = 0
		}
	}
	l.mu.Unlock()
	for event, count := range counts {
		l.logger.WithFields(logrus.Fields{"event": event, "count": count}).Warn("log-lines-dropped")
	}
}

// Flush waits until the queued lines are written, at most for the given time.
func (l *Log) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); len(l.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// queue is the output of logrus: it copies lines into the channel.
type queue struct {
	lines chan<- []byte
	log   *Log
}

// Write implements io.Writer.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.log.lost()
	}
	return len(line), nil
}

// Package eventlog writes each event as one line of key=value pairs. Its volume is limited and it
// never blocks: events over the limit are dropped and counted, and the counts are logged.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azurebarrow/azurebarrow/generation"
)

const (
	// eventsPerSecond and eventBurst limit the lines of each kind of event.
	eventsPerSecond = 100
	eventBurst      = 300
	// queuedLines is the maximum number of lines that wait for a slow output.
	queuedLines = 2048
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *logrus.Logger
	lines  chan []byte

	mu       sync.Mutex
	limiters map[string]*rateLimiter
}

// rateLimiter is the token bucket of one kind of event.
type rateLimiter struct {
	tokens  float64
	updated time.Time
	dropped int
}

// New returns a Log that writes to out at the given logrus level. An unknown level means the
// default of logrus.
func New(out io.Writer, level string) *Log {
	l := &Log{logger: logrus.New(), lines: make(chan []byte, queuedLines), limiters: map[string]*rateLimiter{}}
	l.logger.SetOutput(&lineQueue{lines: l.lines, log: l})
	l.logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.logger.SetLevel(parsed)
	}
	go l.writeLines(out)
	return l
}

// Event writes one line, unless the rate limit of the event is exceeded or the queue is full.
// Fields that are nil or empty are omitted.
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

// allow reports whether the rate limit of an event permits another line, and counts the event as
// dropped if not.
func (l *Log) allow(event string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[event]
	if limiter == nil {
		limiter = &rateLimiter{tokens: eventBurst, updated: now}
		l.limiters[event] = limiter
	}
	limiter.tokens = min(eventBurst, limiter.tokens+now.Sub(limiter.updated).Seconds()*eventsPerSecond)
	limiter.updated = now
	if limiter.tokens < 1 {
		limiter.dropped++
		return false
	}
	limiter.tokens--
	return true
}

// countQueueFull counts a line that was dropped because the queue was full.
func (l *Log) countQueueFull() {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[queueFull]
	if limiter == nil {
		limiter = &rateLimiter{}
		l.limiters[queueFull] = limiter
	}
	limiter.dropped++
}

// queueFull replaces the event name in reports of lines that were dropped because the queue was
// full.
const queueFull = "queue-full"

// writeLines writes the queued lines to out, and reports dropped lines at each interval.
func (l *Log) writeLines(out io.Writer) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			_, _ = out.Write(line) // the error has nowhere to go: the log itself is the output
		case <-ticker.C:
			l.reportDropped()
		}
	}
}

// reportDropped logs the number of dropped lines by event, and resets the counts.
func (l *Log) reportDropped() {
	l.mu.Lock()
	counts := map[string]int{}
	for event, limiter := range l.limiters {
		if limiter.dropped > 0 {
			counts[event] = limiter.dropped
			limiter.dropped = 0
		}
	}
	l.mu.Unlock()
	for event, count := range counts {
		l.logger.WithFields(logrus.Fields{"event": event, "count": count}).Warn("log-lines-dropped")
	}
}

// Flush waits until the queued lines are written, but no longer than limit.
func (l *Log) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); len(l.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// lineQueue is the output of logrus. It copies lines into the channel.
type lineQueue struct {
	lines chan<- []byte
	log   *Log
}

// Write implements io.Writer. It never blocks: a line that finds the queue full is dropped.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.log.countQueueFull()
	}
	return len(line), nil
}

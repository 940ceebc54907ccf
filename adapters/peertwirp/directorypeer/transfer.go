package directorypeer

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Transfer is an answer of this entry's feed to another entry.
type Transfer struct {
	// Reader is the address of the entry that queried the feed.
	Reader string
	// Bytes is how much of the answer was written.
	Bytes int64
	// Took is the time from the first byte until the answer was written.
	Took time.Duration
	// Cut reports that the reader left before it had the whole answer.
	Cut bool
}

// minReportedBytes is the size from which an answer is reported one by one.
const minReportedBytes = 64 << 10

// Transfers counts the answers of a feed. It is safe for concurrent use.
type Transfers struct {
	// Report is called after each large answer and after each one that was cut; nil reports none.
	Report func(Transfer)

	bytes, cut atomic.Int64
}

// Bytes returns the number of bytes of all answers.
func (t *Transfers) Bytes() int64 { return t.bytes.Load() }

// Cut returns the number of answers whose reader left before it had them.
func (t *Transfers) Cut() int64 { return t.cut.Load() }

// observe returns a handler that records the answers of next.
func (t *Transfers) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		if counted.bytes == 0 {
			return
		}
		t.record(Transfer{
			Reader: r.RemoteAddr, Bytes: counted.bytes, Took: time.Since(counted.began),
			Cut: counted.failed || r.Context().Err() != nil,
		})
	})
}

func (t *Transfers) record(done Transfer) {
	t.bytes.Add(done.Bytes)
	if done.Cut {
		t.cut.Add(1)
	}
	if t.Report != nil && (done.Cut || done.Bytes >= minReportedBytes) {
		t.Report(done)
	}
}

// countingWriter counts the bytes of an answer.
type countingWriter struct {
	http.ResponseWriter
	began  time.Time
	bytes  int64
	failed bool
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	if w.began.IsZero() {
		w.began = time.Now()
	}
	n, err := w.ResponseWriter.Write(data)
	w.bytes += int64(n)
	w.failed = w.failed || err != nil
	return n, err
}

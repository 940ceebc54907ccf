package passthrough

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func scanAll(reader io.Reader) (ids []int64, passed []byte, err error) {
	scanner := newEventScanner(reader)
	for {
		event, err := scanner.next()
		if err != nil {
			return ids, passed, err
		}
		ids = append(ids, event.ID)
		passed = append(passed, event.Bytes...)
	}
}

func TestEventsAreUnchangedForAnyReadSize(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\nid:4\ndata:" + strings.Repeat("z", 9000) + "\n\n"
	for _, reader := range []io.Reader{
		strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text)),
		iotest.DataErrReader(strings.NewReader(text)),
	} {
		ids, passed, err := scanAll(reader)
		is.Equal(err, io.EOF)
		is.Equal(ids, []int64{1, 2, -1, 4})
		is.Equal(string(passed), text)
	}
}

func TestTruncatedEventIsNotReturned(t *testing.T) {
	is := is.New(t)
	ids, passed, err := scanAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: ha"))
	is.True(errors.Is(err, errTruncatedEvent))
	is.True(!errors.Is(err, io.EOF)) // the stream is not complete
	is.Equal(ids, []int64{1})
	is.Equal(string(passed), "id: 1\ndata: a\n\n")
}

// Guards against an error that a target writes into the body of a stream reaching the caller as a part of it.
func TestTextThatIsNoEventEndsTheStream(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	for _, text := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: r\r\nContent-Length: 4\r\n\r\noops",
		"id: 2\ndata: haHTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n",
		"{\"error\": \"out of memory\"}\n\n",
		"Internal Server Error\n\n",
		"<html><body>503</body></html>\r\n\r\n",
		"\n\nerror\twhile generating\n\n",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			for _, reader := range []io.Reader{strings.NewReader(whole + text), iotest.OneByteReader(strings.NewReader(whole + text))} {
				ids, passed, err := scanAll(reader)
				is.True(errors.Is(err, errNotAnEvent))
				is.True(!errors.Is(err, io.EOF))
				is.Equal(ids, []int64{1})
				is.Equal(string(passed), whole)
			}
		})
	}
}

// Guards against a long line being taken for several, so that an event is cut, or its data read as fields, where the buffer ends.
func TestLongLinesAreOneLine(t *testing.T) {
	is := is.New(t)
	for _, length := range []int{4095, 4096, 4097, 8192, 12288} {
		line := "data:" + strings.Repeat("z", length-len("data:"))
		text := line + "\nid: 7\n\n" + line + "id: 3\nid: 8\n\n"
		ids, passed, err := scanAll(strings.NewReader(text))
		is.Equal(err, io.EOF)
		is.Equal(ids, []int64{7, 8})
		is.Equal(string(passed), text)
	}
}

func TestLineEndsAfterTheLastEventArePassedOn(t *testing.T) {
	for _, tail := range []string{"", "\n", "\n\n", "\r\n\r\n\r\n"} {
		is := is.New(t)
		_, passed, err := scanAll(strings.NewReader("id: 1\ndata: a\n\n" + tail))
		is.Equal(err, io.EOF)
		is.Equal(string(passed), "id: 1\ndata: a\n\n"+tail)
	}
}

func TestCommentsAreToldFromEventsWithoutAnID(t *testing.T) {
	is := is.New(t)
	scanner := newEventScanner(strings.NewReader(": still here\n\n\n:\n\ndata: x\n\n: a comment\ndata: y\n\n"))
	for _, comment := range []bool{true, true, false, false} {
		event, err := scanner.next()
		is.NoErr(err)
		is.Equal(event.ID, int64(-1))
		is.Equal(event.Comment, comment)
	}
}

func TestEventSizeIsBounded(t *testing.T) {
	is := is.New(t)
	_, _, err := scanAll(strings.NewReader("data:" + strings.Repeat("x", maxEventBytes+1)))
	is.True(errors.Is(err, errEventTooLarge))
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3)
	f.Add([]byte("\n\n\r\n\nid:-5\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		_, whole, wholeErr := scanAll(bytes.NewReader(text))
		at := 0
		if len(text) > 0 {
			at = min(len(text), max(0, split)%(len(text)+1))
		}
		_, parts, partsErr := scanAll(io.MultiReader(bytes.NewReader(text[:at]), bytes.NewReader(text[at:])))
		if !bytes.Equal(whole, parts) || wholeErr.Error() != partsErr.Error() {
			t.Fatalf("split at %d: %q %v, whole %q %v", at, parts, partsErr, whole, wholeErr)
		}
		if !bytes.HasPrefix(text, whole) {
			t.Fatalf("%q is not a beginning of %q", whole, text)
		}
	})
}

// Guards against a scan whose time grows with the square of the line ends before an event: one target kept a core busy for
// a minute with 256 KB.
func TestLineEndsBeforeAnEventAreReadOnce(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("\n", maxEventBytes-20) + "id: 1\ndata: a\n\n"
	ids, passed, err := scanAll(strings.NewReader(text))
	is.Equal(err, io.EOF)
	is.Equal(ids, []int64{1})
	is.Equal(string(passed), text)
}

// Guards against a stream being refused for the byte order mark that a stream of events may begin with.
func TestByteOrderMarkBeforeTheFirstEventIsSkipped(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, reader := range []io.Reader{strings.NewReader("\ufeff" + text), iotest.OneByteReader(strings.NewReader("\ufeff" + text))} {
		ids, passed, err := scanAll(reader)
		is.Equal(err, io.EOF)
		is.Equal(ids, []int64{1, 2})
		is.Equal(string(passed), text)
	}
}

// Guards against a stream that can't continue elsewhere because each target begins with the time after which callers reconnect: such
// a block holds nothing of the stream.
func TestReconnectionTimeIsNoEvent(t *testing.T) {
	for text, comment := range map[string]bool{
		"retry: 1000\n\n": true, ": hello\nretry: 1000\n\n": true,
		"retry: 1000\ndata: a\n\n": false, "retry\n\n": true, "retries: 1\n\n": false, "event: error\n\n": false,
	} {
		is := is.New(t)
		event, err := newEventScanner(strings.NewReader(text)).next()
		is.NoErr(err)
		is.Equal(event.Comment, comment)
		is.Equal(string(event.Bytes), text)
	}
}

// Guards against a target that sends comments without end: the caller was kept waiting, and its link busy, until its deadline.
func TestCommentsWithoutEndAreCutOff(t *testing.T) {
	is := is.New(t)
	endless := iotest.OneByteReader(&repeatingReader{text: ": comment\n\n"})
	_, passed, err := scanAll(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), endless))
	is.Equal(err, errOnlyComments)
	is.True(len(passed) <= maxCommentBytes+64)

	comments := strings.Repeat(": still here\n\n", maxCommentBytes/20)
	text := strings.Repeat(comments+"id: 1\ndata: a\n\n", 5) // as many before each event
	_, passed, err = scanAll(strings.NewReader(text))
	is.Equal(err, io.EOF)
	is.Equal(string(passed), text)
}

// repeatingReader returns a text again and again.
type repeatingReader struct {
	text string
	at   int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

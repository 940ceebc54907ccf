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

package passthrough

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
)

const (
	// maxAnswerBytes limits an answer that is read as a whole, maxUnknownAnswerBytes one without a length: a target
	// may send it without end.
	maxAnswerBytes        = 16 << 20
	maxUnknownAnswerBytes = 4 << 20
	// maxReadingBytes limits what all answers that are being read take together, beyond smallAnswerBytes each.
	// An entry has 184 MB in the smallest deployment; buffers grow to twice their content.
	maxReadingBytes  = 24 << 20
	smallAnswerBytes = 64 << 10
	// answerStepBytes is read at a time.
	answerStepBytes = 32 << 10
)

var (
	errTooLarge = errors.New("the answer is larger than the bound")
	// errReadingFull: the answers that are being read are too large together.
	errReadingFull = errors.New("large answers take all of the memory for answers")
)

// answerReader reads whole answers within a limit of memory. It is safe for concurrent use.
type answerReader struct {
	// reading is the number of bytes beyond smallAnswerBytes that are held by answers being read.
	reading atomic.Int64
}

// read reads an answer to its end and closes it.
func (a *answerReader) read(received *targethttp.Answer) (*answer, error) {
	defer received.Close()
	limit := maxAnswerBytes
	if received.Length < 0 {
		limit = maxUnknownAnswerBytes
	}
	var held int64
	defer func() { a.reading.Add(-held) }()
	var body []byte
	step := make([]byte, answerStepBytes)
	for {
		n, err := received.Body.Read(step)
		body = append(body, step[:n]...)
		if len(body) > smallAnswerBytes {
			held += int64(n)
			if a.reading.Add(int64(n)) > maxReadingBytes {
				return nil, errReadingFull
			}
		}
		switch {
		case len(body) > limit:
			return nil, errTooLarge
		case err == io.EOF:
			return &answer{status: received.Status, header: received.Header, body: body}, nil
		case err != nil:
			return nil, err
		}
	}
}

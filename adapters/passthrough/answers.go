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
	// An entry has 184 MB in the smallest deployment.
	maxReadingBytes  = 24 << 20
	smallAnswerBytes = 64 << 10
	// answerStepBytes is read at a time.
	answerStepBytes = 32 << 10
	// answerChunkBytes is the size of the parts in which an answer beyond smallAnswerBytes is held until its end: a
	// buffer that grows leaves several times its content as garbage.
	answerChunkBytes = 256 << 10
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
	var body chunkedBody
	step := make([]byte, answerStepBytes)
	for {
		n, err := received.Body.Read(step)
		body.append(step[:n])
		if body.length > smallAnswerBytes {
			held += int64(n)
			if a.reading.Add(int64(n)) > maxReadingBytes {
				return nil, errReadingFull
			}
		}
		switch {
		case body.length > limit:
			return nil, errTooLarge
		case err == io.EOF:
			return &answer{status: received.Status, header: received.Header, body: body.bytes()}, nil
		case err != nil:
			return nil, err
		}
	}
}

// chunkedBody collects a body without copying what it already holds, beyond smallAnswerBytes.
type chunkedBody struct {
	chunks [][]byte
	length int
}

func (b *chunkedBody) append(part []byte) {
	b.length += len(part)
	if b.length <= smallAnswerBytes {
		if len(b.chunks) == 0 {
			b.chunks = make([][]byte, 1)
		}
		b.chunks[0] = append(b.chunks[0], part...)
		return
	}
	for len(part) > 0 {
		last := len(b.chunks) - 1
		if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
			b.chunks = append(b.chunks, make([]byte, 0, answerChunkBytes))
			last++
		}
		free := cap(b.chunks[last]) - len(b.chunks[last])
		n := min(len(part), free)
		b.chunks[last] = append(b.chunks[last], part[:n]...)
		part = part[n:]
	}
}

// bytes returns the body as a whole.
func (b *chunkedBody) bytes() []byte {
	switch len(b.chunks) {
	case 0:
		return nil
	case 1:
		return b.chunks[0]
	}
	whole := make([]byte, 0, b.length)
	for _, chunk := range b.chunks {
		whole = append(whole, chunk...)
	}
	return whole
}

package callerlimit

import (
	"errors"
	"io"
)

const (
	// firstBodyBytes is the size of the first buffer for a body, bodyGrowth the factor by which the buffer grows.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
	// bodyCost is the resident memory for a byte of a body's buffer: the heap grows to twice its live size before it is collected.
	bodyCost = 2
)

// ErrNoMemory means that other requests take all of the memory for callers' requests.
var ErrNoMemory = errors.New("other requests take all of the memory for requests")

// ReadBody reads a body to its end, or its first most bytes and one more; length is what the request says, -1 if nothing. It charges its
// buffer before it allocates it, as the body arrives, and returns ErrNoMemory if there is no memory for it. c may be nil.
func (c *Conn) ReadBody(body io.Reader, length, most int64) ([]byte, error) {
	return ReadGrowing(body, nil, func(held int64) (int64, error) {
		capacity := min(max(bodyGrowth*held, firstBodyBytes), most+1)
		if length >= held {
			capacity = min(capacity, length+1) // room in which the end of the body is read
		}
		if capacity == held {
			return 0, io.EOF
		}
		if !c.Charge(bodyCost * (capacity - held)) {
			return 0, ErrNoMemory
		}
		return capacity, nil
	})
}

// ReadGrowing appends what it reads to the buffer. When that is full, it calls grow with its capacity, which returns a larger one, or an
// error: io.EOF if no more is to be read.
func ReadGrowing(body io.Reader, buffer []byte, grow func(held int64) (int64, error)) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			capacity, err := grow(int64(cap(buffer)))
			if err == io.EOF {
				return buffer, nil
			}
			if err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, capacity), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

package crowds

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	crowds "github.com/azurebarrow/azurebarrow/bench/crowd"
)

var everywhere = []place{route, noRoute, readiness}

const (
	// fieldCount is the number of header fields of a head that is within maxHeaderBytes.
	fieldCount = 2500
	// streamEvents and streamEventInterval are of the streams of the engine.
	streamEvents        = 64
	streamEventInterval = 5 * time.Millisecond
)

// Guards against heads of many short fields, for each of which net/http holds several times its bytes. The requests stay open since the
// last byte of each body is missing.
func TestHeadsOfManyFields(t *testing.T) {
	const size = 1200
	at(t, everywhere, func(t *testing.T, at place) {
		request := append(at.head(append(crowds.ManyFields(fieldCount), "Content-Length: 16")...), "fifteen bytes, "...)
		withstand(t, at, size, func(c *caller) { c.send(request) })
	})
}

// Guards against heads that are parsed, and held, before any limit applies to them: the blank line at the end is missing.
func TestUnfinishedHeadsOfManyFields(t *testing.T) {
	const size = 1200
	at(t, []place{route, readiness}, func(t *testing.T, at place) {
		head := at.head(crowds.ManyFields(fieldCount)...)
		withstand(t, at, size, func(c *caller) { c.send(head[:len(head)-2]) })
	})
}

// headMargin is the part of maxHeaderBytes that is left for the request line and the lines that each head has.
const headMargin = 1 << 10

// Guards against a cost for each field that is assumed too low: the head has as many fields as its size allows, all of them without a value,
// with names that differ or that are the same.
func TestHeadsOfTheShortestFields(t *testing.T) {
	const size = 300
	different := crowds.ShortestFields(maxHeaderBytes - headMargin)
	var same []string
	for len(same)*len("x:\r\n") < maxHeaderBytes-headMargin {
		same = append(same, "x:")
	}
	crowd := func(t *testing.T, fields []string) {
		request := append(route.head(append(fields, "Content-Length: 16")...), "fifteen bytes, "...)
		withstand(t, route, size, func(c *caller) { c.send(request) })
	}
	t.Run("different", func(t *testing.T) { crowd(t, different) })
	t.Run("same", func(t *testing.T) { crowd(t, same) })
}

// Guards against heads whose bytes cost more than they count: net/http keeps a line in its buffer and as a string. The last byte of the
// body is missing.
func TestHeadsOfOneLongField(t *testing.T) {
	const size = 1200
	at(t, everywhere, func(t *testing.T, at place) {
		line := "Long: " + strings.Repeat("x", maxHeaderBytes-headMargin)
		request := append(at.head(line, "Content-Length: 16"), "fifteen bytes, "...)
		withstand(t, at, size, func(c *caller) { c.send(request) })
	})
}

// Guards against memory that is not released with the connection for which it was counted: callers that are refused reconnect several
// times.
func TestCallersThatComeBack(t *testing.T) {
	const (
		size   = 600
		visits = 6
	)
	at(t, []place{route, readiness}, func(t *testing.T, at place) {
		request := append(at.head(append(crowds.ManyFields(fieldCount), "Content-Length: 16")...), "fifteen bytes, "...)
		withstand(t, at, size, func(c *caller) {
			c.send(request)
			for visit := 1; visit < visits && c.reconnect(); visit++ {
				c.send(request)
			}
		})
	})
}

// bodyBytes is the size of a body that needs no room among large ones.
const bodyBytes = 120 << 10

// Guards against bodies without a length that are held before they are counted. The last chunk is missing.
func TestUnfinishedChunkedBodies(t *testing.T) {
	const size = 800
	at(t, everywhere, func(t *testing.T, at place) {
		head := at.head("Transfer-Encoding: chunked")
		piece := crowds.Chunk(bytes.Repeat([]byte("x"), 8<<10))
		withstand(t, at, size, func(c *caller) {
			if c.send(head) {
				c.send(bytes.Repeat(piece, bodyBytes/(8<<10)))
			}
		})
	})
}

// Guards against bodies for which memory is allocated before their bytes arrive: they stop just short of their length.
func TestUnfinishedBodiesWithLength(t *testing.T) {
	unfinished := func(t *testing.T, size, bytesEach, pieceBytes int) {
		head := route.head(fmt.Sprintf("Content-Length: %d", bytesEach))
		body := bytes.Repeat([]byte("x"), bytesEach-1)
		withstand(t, route, size, func(c *caller) {
			open := c.send(head)
			for piece := range slices.Chunk(body, pieceBytes) {
				open = open && c.send(piece)
			}
		})
	}
	t.Run("one-piece", func(t *testing.T) { unfinished(t, 800, bodyBytes, bodyBytes) })
	t.Run("small-pieces", func(t *testing.T) { unfinished(t, 800, bodyBytes, 256) })
	t.Run("large", func(t *testing.T) { unfinished(t, 400, maxBodyBytes/2, maxBodyBytes/2) })
}

// Guards against bodies in chunks of one byte, which cost the most time for their size. The last chunk is missing.
func TestBodiesInChunksOfOneByte(t *testing.T) {
	const (
		size   = 600
		chunks = 66_000
	)
	at(t, everywhere, func(t *testing.T, at place) {
		request := append(at.head("Transfer-Encoding: chunked"), bytes.Repeat(crowds.Chunk([]byte("x")), chunks)...)
		withstand(t, at, size, func(c *caller) { c.send(request) })
	})
}

// Guards against requests that wait in the memory of the entry since their caller doesn't read the responses before them. Responses of
// the entry itself are short: many fit into the buffers of the kernel.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	pipeline := func(t *testing.T, at place, size, requests, bodyBytes int) {
		request := append(at.head(fmt.Sprintf("Content-Length: %d", bodyBytes)), bytes.Repeat([]byte("x"), bodyBytes)...)
		withstand(t, at, size, func(c *caller) { c.send(bytes.Repeat(request, requests)) })
	}
	t.Run(route.name, func(t *testing.T) { pipeline(t, route, 1200, 100, 8<<10) })
	at(t, []place{noRoute, readiness}, func(t *testing.T, at place) { pipeline(t, at, 200, 1500, 64) })
}

// Guards against bodies that are read without an end, or held while they wait for room.
func TestBodiesFarOverTheLimit(t *testing.T) {
	const (
		size      = 600
		sentBytes = 4 * maxBodyBytes
		declared  = 1 << 40
	)
	piece := bytes.Repeat([]byte("x"), 64<<10)
	overflow := func(t *testing.T, at place, head, piece []byte) {
		withstand(t, at, size, func(c *caller) {
			for sent, open := 0, c.send(head); open && sent < sentBytes; sent += len(piece) {
				open = c.send(piece)
			}
		})
	}
	t.Run("length", func(t *testing.T) {
		overflow(t, route, route.head(fmt.Sprintf("Content-Length: %d", int64(declared))), piece)
	})
	at(t, everywhere, func(t *testing.T, at place) {
		overflow(t, at, at.head("Transfer-Encoding: chunked"), crowds.Chunk(piece))
	})
}

const (
	// manyCallers exceeds the descriptors of the entry.
	manyCallers = 3200
	// slowInterval is the time between two bytes of a slow caller.
	slowInterval = 200 * time.Millisecond
)

// trickle sends one byte at a time until the test ends.
func (c *caller) trickle(text []byte) {
	for i := 0; i < len(text) && c.send(text[i:i+1]) && c.sleep(slowInterval); i++ {
	}
}

// Guards against connections that take all descriptors while their requests arrive slowly: half of them the head, half of them the body.
func TestSlowSenders(t *testing.T) {
	at(t, everywhere, func(t *testing.T, at place) {
		head := at.head("Content-Length: 1000")
		var number atomic.Int64
		withstand(t, at, manyCallers, func(c *caller) {
			if number.Add(1)%2 == 0 && !c.send(head) {
				return
			}
			c.trickle(bytes.Repeat(head, 10))
		})
	})
}

// halfClosedEvery is the number of callers of which one closes its sending side. It has no common factor with the number of beginnings, so
// that each of them is followed by a close.
const halfClosedEvery = 11

// Guards against connections that take all descriptors and then do nothing: without a byte, within the request line, the head or a chunk,
// with their sending side closed, or idle after a response.
func TestCallersThatStopHalfWay(t *testing.T) {
	at(t, everywhere, func(t *testing.T, at place) {
		head := at.head("Transfer-Encoding: chunked")
		beginnings := [][]byte{nil, head[:8], head[:len(head)-2], append(at.head("Transfer-Encoding: chunked"), "400\r\nx"...), at.head("Content-Length: 0")}
		var number atomic.Int64
		withstand(t, at, manyCallers, func(c *caller) {
			number := int(number.Add(1))
			if c.send(beginnings[number%len(beginnings)]) && number%halfClosedEvery == 0 {
				_ = c.conn.CloseWrite() // fails only if the entry has closed the connection
			}
		})
	})
}

// readSlowly reads one byte at a time until the crowd stops.
func (c *caller) readSlowly() {
	single := make([]byte, 1)
	for {
		if _, err := c.conn.Read(single); err != nil || !c.sleep(slowInterval) {
			return
		}
	}
}

// Guards against responses of targets that an entry holds for callers that read them slowly.
func TestSlowReadersOfCalls(t *testing.T) {
	const size = 600
	request := append(route.head(fmt.Sprintf("Content-Length: %d", bodyBytes)), bytes.Repeat([]byte("x"), bodyBytes)...)
	withstand(t, route, size, func(c *caller) {
		if c.send(request) {
			c.readSlowly()
		}
	})
}

// Guards against events that an entry holds for callers that read their streams slowly. The path makes each event large, since the engine
// repeats it.
func TestSlowReadersOfStreams(t *testing.T) {
	const (
		size      = 1000
		pathBytes = 8 << 10
	)
	long := stream
	long.path += strings.Repeat("x", pathBytes)
	request := long.head("Content-Length: 0")
	withstand(t, long, size, func(c *caller) {
		if c.send(request) {
			c.readSlowly()
		}
	})
}

// Guards against limits that refuse what is within the configured ones although the entry has nothing else to do.
func TestSingleRequestsWithinTheLimits(t *testing.T) {
	e := startEntry(t, startStandins(t))
	withFields := crowds.ManyFields(fieldCount)
	for i := range withFields {
		withFields[i] += "234567890123456"
	}
	large := bytes.Repeat([]byte("x"), maxBodyBytes)
	small := bytes.Repeat(crowds.Chunk([]byte("x")), maxBodyBytes/64)
	// The engine doesn't repeat the body, which would make the response larger than the entry accepts.
	for name, request := range map[string][]byte{
		"many fields":          route.head(append(withFields, "Content-Length: 0")...),
		"body with length":     append(stream.head(fmt.Sprintf("Content-Length: %d", maxBodyBytes)), large...),
		"body in one chunk":    append(append(stream.head("Transfer-Encoding: chunked"), crowds.Chunk(large)...), "0\r\n\r\n"...),
		"body in small chunks": append(append(stream.head("Transfer-Encoding: chunked"), small...), "0\r\n\r\n"...),
	} {
		t.Logf("%s: %d bytes", name, len(request))
		if err := e.callRaw(request); err != nil {
			t.Errorf("%s: %v\n%s", name, err, e.lastLogLines())
		}
	}
	e.stopWatch()
	resident, err := e.maxResident()
	if err != nil || !e.isAlive() {
		t.Error("the process has ended: ", err)
	}
	t.Logf("VmHWM %.1f MB, %d descriptors", float64(resident)/(1<<20), e.mostDescriptors)
}

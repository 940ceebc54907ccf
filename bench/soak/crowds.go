package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/crowd"
	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Misbehaving callers. The crowds are small: without a limit, each of those with many fields has an entry hold 0.5 to 1 MB.
const (
	// crowdAddress is the address of misbehaving callers; the others have 127.0.0.1.
	crowdAddress = "127.0.0.2"
	crowdSize    = 200
	crowdFor     = 3 * time.Second
	// crowdHeadBytes is just below the default limit of a head, crowdBodyBytes below the size from which a body waits for room.
	crowdHeadBytes = 62 << 10
	crowdBodyBytes = 120 << 10
	// pipelinedRequests is the number of requests that one caller sends without reading a response.
	pipelinedRequests = 40
	pipelinedBytes    = 8 << 10
	// longPathBytes makes the events of a stream large, since the engine repeats the path.
	longPathBytes    = 8 << 10
	slowReadInterval = 50 * time.Millisecond
	// afterCrowdTimeout limits the wait for an answer after a crowd, as in test/crowds. A target may be down meanwhile.
	afterCrowdTimeout = 15 * time.Second
)

// Bounds of the design pages for the smallest VM.
const (
	// callerMemoryBytes is the default of limits.callerMemoryBytes there: a quarter of its 144 MB.
	callerMemoryBytes = 144e6 / 4
	// maxResidentBytes is what an entry may hold under a crowd.
	maxResidentBytes = 100 << 20
)

// CrowdResult is what one crowd did to an entry, which no other fault stopped or paused meanwhile.
type CrowdResult struct {
	Entry string
	Kind  Kind
	// ResidentBytes is the most resident memory that the process has had; 0 if it has ended.
	ResidentBytes int64
	// Ended reports whether the process ended, Served whether an ordinary call was answered after the crowd.
	Ended, Served bool
}

// sendCrowd has a crowd misbehave at an entry, and then an ordinary caller call it.
func (d *deployment) sendCrowd(ctx context.Context, c *callers, e *entry, step Step) {
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	result := CrowdResult{Entry: e.name, Kind: step.Kind}
	d.disturb(e.name, step.Kind, false, func() {
		during, cancel := context.WithTimeout(ctx, crowdFor)
		defer cancel()
		var misbehaving sync.WaitGroup
		for number := range crowdSize {
			text := d.crowdRequest(e, step, number)
			misbehaving.Go(func() { misbehave(during, e.callerAddress, text, step.Kind == SlowReaders) })
		}
		misbehaving.Wait()
		result.Served = c.isServedAt(ctx, e)
		result.Ended = e.exited()
		result.ResidentBytes = e.maxResidentBytes()
	})
	d.options.Logf("%s after %s: %.1f MB, served %v", e.name, step.Kind, float64(result.ResidentBytes)/(1<<20), result.Served)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowds = append(d.crowds, result)
}

// crowdRequest returns what one caller of a crowd sends, and records the requests that targets may get of it.
func (d *deployment) crowdRequest(e *entry, step Step, number int) []byte {
	name := fmt.Sprintf("crowd-%d-%d-%d", step.At.Milliseconds(), step.Index, number)
	path := fmt.Sprintf("/%s/%s", Lookup, name)
	switch step.Kind {
	case CutBodies:
		body := bytes.Repeat([]byte("x"), crowdBodyBytes)
		if step.Variant%2 == 0 {
			return append(d.crowdHead(e, name, path, fmt.Sprintf("Content-Length: %d", len(body)+1)), body...)
		}
		const chunkBytes = 8 << 10
		return append(d.crowdHead(e, name, path, "Transfer-Encoding: chunked"), bytes.Repeat(crowd.Chunk(body[:chunkBytes]), crowdBodyBytes/chunkBytes)...)
	case ManyFields:
		return append(d.crowdHead(e, name, path, append(crowd.ShortestFields(crowdHeadBytes), "Content-Length: 16")...), "fifteen bytes, "...)
	case UnreadPipelines:
		var text []byte
		for i := range pipelinedRequests {
			text = append(text, d.crowdHead(e, fmt.Sprintf("%s-%d", name, i), path, fmt.Sprintf("Content-Length: %d", pipelinedBytes))...)
			text = append(text, bytes.Repeat([]byte("x"), pipelinedBytes)...)
		}
		return text
	}
	if step.Variant%2 == 0 {
		path = fmt.Sprintf("/%s/%s-%s", Stream, name, strings.Repeat("x", longPathBytes))
		return d.crowdHead(e, name, path, target.FieldTokenUsage+": "+promptTokens, "Content-Length: 0")
	}
	return append(d.crowdHead(e, name, path, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)), bytes.Repeat([]byte("x"), crowdBodyBytes)...)
}

// crowdHead returns the head of a request and records the request.
func (d *deployment) crowdHead(e *entry, id, path string, lines ...string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\n", path, hostName, d.key(), id)
	for _, line := range lines {
		text.WriteString(line + "\r\n")
	}
	text.WriteString("\r\n")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowdAttempts = append(d.crowdAttempts, &Attempt{ID: id, Entry: e.name, Path: path})
	return text.Bytes()
}

// misbehave sends text on a connection of its own and then reads nothing, or a byte at a time, until ctx ends. The entry may
// refuse the request or close the connection.
func misbehave(ctx context.Context, address string, text []byte, readsSlowly bool) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}, Control: crowd.ShrinkBuffers}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) }) // ends a write or read that waits
	defer stop()
	if _, err := conn.Write(text); err != nil {
		return
	}
	single := make([]byte, 1)
	for wait.For(ctx, slowReadInterval) == nil {
		if !readsSlowly {
			continue
		}
		if _, err := conn.Read(single); err != nil {
			return
		}
	}
}

// isServedAt reports whether an entry answers an ordinary call within afterCrowdTimeout. Calls that fail are repeated.
func (c *callers) isServedAt(ctx context.Context, e *entry) bool {
	for end := time.Now().Add(afterCrowdTimeout); time.Now().Before(end); {
		chosen := c.draw()
		attempt := &Attempt{
			ID: fmt.Sprintf("after-%d", chosen.number), Class: Lookup, Path: fmt.Sprintf("/%s/%d", Lookup, chosen.number),
			Body: fmt.Sprintf("body of %d", chosen.number), Key: c.deployment.key(), Timeout: callTimeout,
		}
		_ = c.sendAttempt(c.clients[chosen.client], attempt, e, 0) // the next one comes at once
		if attempt.served() {
			return true
		}
		if wait.For(ctx, pollInterval) != nil {
			return false
		}
	}
	return false
}

// maxResidentBytes returns the most resident memory that the process has had; 0 if it has ended.
func (p *program) maxResidentBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	resident, _ := p.process.MaxResidentBytes() // an error means that it has ended, which exited reports
	return resident
}

// checkCrowds checks that entries withstand misbehaving callers: alive, within the memory of the smallest VM, and answering an
// ordinary caller afterwards.
func (e *Evidence) checkCrowds(map[string][]target.Record) []Violation {
	var found []Violation
	for _, each := range e.Crowds {
		report := func(rule, text string) {
			found = append(found, Violation{rule, each.Entry, fmt.Sprintf("%s: %s", each.Kind, text)})
		}
		if each.Ended {
			report("CRASH", "the process has ended")
		}
		if each.ResidentBytes > maxResidentBytes {
			report("MEMORY", fmt.Sprintf("%.1f MB resident, want at most %d", float64(each.ResidentBytes)/(1<<20), maxResidentBytes>>20))
		}
		if !each.Served {
			report("RECOVER", fmt.Sprintf("no ordinary call is answered within %v", afterCrowdTimeout))
		}
	}
	return found
}

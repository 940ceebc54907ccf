package passthrough

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// admit checks the request and reads its body. It returns nil if the request may be dispatched, otherwise the
// answer to the caller.
func (c *request) admit() *errorAnswer {
	if !c.snapshot.Ready() {
		c.handler.options.WaitReady(c.http.Context(), maxReadyWait)
		c.snapshot = c.handler.options.Snapshot()
	}
	if !c.snapshot.Ready() {
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: "no configuration or targets known yet", retryAfter: startRetryAfter}
	}
	if rejected := c.match(); rejected != nil {
		return rejected
	}
	if !c.handler.options.Accepts(c.route, c.header.OutputTokens, c.deadline) {
		return stoppingAnswer
	}
	if rejected := c.readBody(c.snapshot.Configuration.Limits.BodyBytes); rejected != nil {
		return rejected
	}
	// Reading the body may take seconds, in which the configuration changes or a stop proceeds.
	if latest := c.handler.options.Snapshot(); latest.Configuration != c.snapshot.Configuration {
		c.snapshot = latest
		if rejected := c.match(); rejected != nil {
			return rejected
		}
	}
	if !c.handler.options.Accepts(c.route, c.header.OutputTokens, c.deadline) {
		return stoppingAnswer
	}
	return nil
}

// match finds the route, the customer and the service of the request in its snapshot. It returns the answer to the caller if the
// configuration doesn't allow the request.
func (c *request) match() *errorAnswer {
	configuration := c.snapshot.Configuration
	c.route = configuration.Match(hostOf(c.http.Host), pathOf(c.http))
	if c.route == nil {
		return &errorAnswer{status: http.StatusNotFound, reason: "no route"}
	}
	if configuration.KeysRequired && !c.route.Public {
		customer, known := configuration.Customers[c.header.APIKey]
		if !known {
			return &errorAnswer{status: http.StatusUnauthorized, reason: "unknown key"}
		}
		c.customer, c.priority = customer.Name, customer.Priority
	} else {
		c.customer, c.priority = "", nil
	}
	wait := c.header.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(wait)
	c.service = c.route.PickService(rand.Float64())
	return nil
}

// errEntryStops is the cause of the end of requests that are in progress when the process is about to exit.
var errEntryStops = errors.New("the entry stops")

// stoppingAnswer is the answer to a request that has not run, since the shutdown would cut it off.
var stoppingAnswer = &errorAnswer{status: http.StatusServiceUnavailable, reason: "entry is stopping", retryAfter: stopRetryAfter}

// isCutOff reports whether the request ends because the process is about to exit.
func (c *request) isCutOff() bool { return errors.Is(context.Cause(c.http.Context()), errEntryStops) }

// refuseForMemory returns the answer to a request that has not run, since there is no memory for it, and counts it. The connection is
// closed: the rest of the request is not read.
func (c *request) refuseForMemory() *errorAnswer {
	c.conn.RecordRefusal()
	c.writer.Header().Set("Connection", "close")
	return &errorAnswer{status: http.StatusServiceUnavailable, reason: errNoBodyRoom.Error(), retryAfter: bodyRetryAfter}
}

// askToClose asks the caller to close its connection if the entry is about to stop.
func (c *request) askToClose() {
	if c.handler.options.Draining() {
		c.writer.Header().Set("Connection", "close")
	}
}

func hostOf(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (c *request) readBody(limit int64) *errorAnswer {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.http.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.writer)
	wait := time.Duration(bodyRoomShare * float64(time.Until(c.deadline)))
	_ = control.SetReadDeadline(time.Now().Add(wait + bodyTimeout)) // if unsupported, the server's own timeouts apply
	stopReading := context.AfterFunc(c.http.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	body, release, err := c.handler.bodies.read(c.http.Context(), http.MaxBytesReader(c.writer, c.http.Body, limit), c.http.ContentLength, limit, wait)
	if stopReading() {
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &errorAnswer{status: http.StatusRequestEntityTooLarge, reason: "body larger than " + strconv.FormatInt(limit, 10)}
	case err != nil && c.isCutOff():
		return stoppingAnswer
	case errors.Is(err, errNoBodyRoom) || err != nil && c.conn.IsEvicted():
		return c.refuseForMemory()
	case err != nil:
		return &errorAnswer{status: http.StatusBadRequest, reason: "body: " + err.Error()}
	}
	c.body, c.releaseBody = body, release
	return nil
}

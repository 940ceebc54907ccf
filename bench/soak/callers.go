package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/internal/wait"
	"github.com/azurebarrow/azurebarrow/standin/target"
)

// Settings of the generated traffic.
const (
	streamsPerSecond  = 5
	bookingsPerSecond = 12
	lookupsPerSecond  = 8
	streamTimeout     = 10 * time.Second
	callTimeout       = 1500 * time.Millisecond
	// disconnectShare is the share of streams whose caller disconnects early, within maxDisconnectDelay.
	disconnectShare    = 0.1
	maxDisconnectDelay = 600 * time.Millisecond
	// unknownKeyShare is the share of calls with a key that was never valid, revokedKeyShare that of calls with
	// a revoked key.
	unknownKeyShare = 0.03
	revokedKeyShare = 0.05
	// dialTimeout limits the time to establish a connection.
	dialTimeout = time.Second
	// maxRetries is how often a caller repeats a request at another entry.
	maxRetries = 1
	// maxRetryAfterShare is the share of the remaining time up to which callers follow a Retry-After header.
	maxRetryAfterShare = 1.0 / 3
	// promptTokens is the number of prompt tokens and the maximum number of output tokens.
	promptTokens = "100,200"
	customerName = "ranch"
	hostName     = "records.example"
	unknownKey   = "never-given"
)

// callers sends requests and records the outcome of each attempt.
type callers struct {
	deployment *deployment

	mu       sync.Mutex
	random   *rand.Rand
	attempts []*Attempt
	next     int
	// clients are HTTP clients with persistent connections, each shared by several callers.
	clients []*http.Client
}

// callerClients is the number of HTTP clients.
const callerClients = 8

func newCallers(d *deployment, seed int64) *callers {
	c := &callers{deployment: d, random: rand.New(rand.NewPCG(uint64(seed), 5))}
	dialer := net.Dialer{Timeout: dialTimeout}
	for range callerClients {
		transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2}
		c.clients = append(c.clients, &http.Client{Transport: transport})
	}
	return c
}

// run generates traffic until ctx ends and waits for the last response.
func (c *callers) run(ctx context.Context) {
	var classes sync.WaitGroup
	classes.Go(func() { c.generate(ctx, Stream, streamsPerSecond) })
	classes.Go(func() { c.generate(ctx, Booking, bookingsPerSecond) })
	classes.Go(func() { c.generate(ctx, Lookup, lookupsPerSecond) })
	classes.Wait()
}

// generate starts requests of a class as a Poisson process until ctx ends, and waits for them.
func (c *callers) generate(ctx context.Context, class Class, perSecond float64) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		pause := time.Duration(c.draw().pause / perSecond * float64(time.Second))
		if wait.For(ctx, pause) != nil {
			return
		}
		requests.Go(func() { c.sendRequest(class, nil) })
	}
}

// choices are the random choices of one request; disconnect and key are between 0 and 1.
type choices struct {
	number, client         int
	pause, disconnect, key float64
	disconnectAfter        time.Duration
}

func (c *callers) draw() choices {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return choices{
		number: c.next, client: c.random.IntN(callerClients), pause: c.random.ExpFloat64(),
		disconnect: c.random.Float64(), key: c.random.Float64(),
		disconnectAfter: time.Duration(c.random.Int64N(int64(maxDisconnectDelay))),
	}
}

// sendRequest sends one request, and its retries to other entries: at once, or once back is closed, unless it is nil.
func (c *callers) sendRequest(class Class, back <-chan struct{}) {
	chosen := c.draw()
	timeout := callTimeout
	if class == Stream {
		timeout = streamTimeout
	}
	deadline := time.Now().Add(timeout)
	path := fmt.Sprintf("/%s/%d", class, chosen.number)
	after, resumes := 0, ""
	for try := 0; try <= maxRetries && time.Now().Before(deadline); try++ {
		attempt := &Attempt{
			ID: fmt.Sprintf("%s-%d-%d", class, chosen.number, try), Try: try, Class: class, Path: path,
			Body: fmt.Sprintf("body of %d", chosen.number), Key: c.deployment.key(), LastEvent: after, Resumes: resumes, Timeout: time.Until(deadline),
		}
		if class != Stream {
			attempt.Key = c.deployment.chooseKey(chosen.key)
		}
		disconnectAfter := time.Duration(0)
		if class == Stream && chosen.disconnect < disconnectShare {
			disconnectAfter = chosen.disconnectAfter
		}
		retryAfter := c.sendAttempt(c.clients[chosen.client], attempt, c.deployment.pickEntry(chosen.number+try), disconnectAfter)
		after = lastEvent(attempt)
		if resumes == "" && after > 0 {
			resumes = attempt.ID
		}
		if !mayRetry(attempt) {
			return
		}
		if back != nil {
			<-back
		}
		time.Sleep(min(retryAfter, time.Duration(maxRetryAfterShare*float64(time.Until(deadline)))))
	}
}

// mayRetry reports whether the caller may retry after this attempt.
func mayRetry(a *Attempt) bool {
	if a.served() || !a.DisconnectedAt.IsZero() || a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound {
		return false
	}
	return a.Class != Booking || a.guaranteesNotRun()
}

// lastEvent returns the ID of the last complete event that the caller received.
func lastEvent(a *Attempt) int {
	if a.Class != Stream || a.Status != http.StatusOK {
		return a.LastEvent
	}
	return a.LastEvent + strings.Count(a.Text, "\n\n")
}

// errDisconnected is the cancellation cause of an attempt whose caller disconnects early.
var errDisconnected = errors.New("caller left")

// sendAttempt sends one attempt, records its outcome and returns the time of the Retry-After header.
func (c *callers) sendAttempt(client *http.Client, a *Attempt, entry *entry, disconnectAfter time.Duration) (retryAfter time.Duration) {
	a.Entry = entry.name
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	if disconnectAfter > 0 {
		var cancelEarly context.CancelFunc
		ctx, cancelEarly = context.WithTimeoutCause(ctx, disconnectAfter, errDisconnected)
		defer cancelEarly()
	}
	a.Sent = time.Now()
	retryAfter = c.roundTrip(ctx, client, a, entry)
	a.Ended = time.Now()
	if errors.Is(context.Cause(ctx), errDisconnected) && !a.Complete {
		a.DisconnectedAt = a.Sent.Add(disconnectAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return retryAfter
}

// roundTrip sends the request of an attempt and stores the response in it.
func (c *callers) roundTrip(ctx context.Context, client *http.Client, a *Attempt, entry *entry) time.Duration {
	// A body that can't be rewound keeps the HTTP client from retrying the attempt by itself.
	body := io.NopCloser(strings.NewReader(a.Body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callers.Address()+a.Path, body)
	if err != nil {
		a.Error = err.Error()
		return 0
	}
	request.Host = hostName
	request.ContentLength = int64(len(a.Body))
	request.Header.Set(target.FieldRequestID, a.ID)
	request.Header.Set(target.FieldDeadline, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	request.Header.Set(target.FieldAuthorization, "Bearer "+a.Key)
	if a.Class == Stream {
		request.Header.Set(target.FieldTokenUsage, promptTokens)
		shared := "5a:50,"
		if a.BadPart != "" {
			shared += a.BadPart + ":20,"
		}
		// The last part of the prompt is unique to the request and the same for all of its attempts.
		request.Header.Set(target.FieldPrompt, fmt.Sprintf("%s%x:50", shared, a.Path))
	}
	if a.Resumes != "" {
		request.Header.Set(target.FieldResumes, a.Resumes)
	}
	if a.LastEvent > 0 {
		request.Header.Set(target.FieldLastEvent, strconv.Itoa(a.LastEvent))
	}
	response, err := client.Do(request)
	if err != nil {
		a.Error = err.Error()
		return 0
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Signature = response.Header.Get(target.FieldSignature)
	a.ResponseRequestID = response.Header.Get(target.FieldRequestID)
	text, err := io.ReadAll(response.Body)
	a.Text, a.Versions = target.SplitVersions(string(text))
	a.Complete = err == nil
	if err != nil {
		a.Error = err.Error()
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

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

// Traffic of the callers.
const (
	streamsPerSecond  = 5
	bookingsPerSecond = 12
	lookupsPerSecond  = 8
	streamPatience    = 10 * time.Second
	callPatience      = 1500 * time.Millisecond
	// leaveShare is the part of streams whose caller leaves early, within leaveWithin.
	leaveShare  = 0.1
	leaveWithin = 600 * time.Millisecond
	// strangerShare is the part of calls with a key that never held, formerShare that with one taken away.
	strangerShare = 0.03
	formerShare   = 0.05
	// dialPatience is how long a caller waits for a connection.
	dialPatience = time.Second
	// retries is how often a caller comes back.
	retries = 1
	// longestHeedShare is the part of the time left up to which callers wait as they are told.
	longestHeedShare = 1.0 / 3
	// promptTokens are the tokens of a prompt and the most tokens of its output.
	promptTokens = "100,200"
	customerName = "ranch"
	hostName     = "records.example"
	strangerKey  = "never-given"
)

// callers makes requests and notes what became of them.
type callers struct {
	world *world

	mu       sync.Mutex
	random   *rand.Rand
	attempts []*Attempt
	next     int
	// clients keep connections open, one client for each of several callers.
	clients []*http.Client
}

// callerClients is the number of callers that keep connections.
const callerClients = 8

func newCallers(w *world, seed int64) *callers {
	c := &callers{world: w, random: rand.New(rand.NewPCG(uint64(seed), 5))}
	dialer := net.Dialer{Timeout: dialPatience}
	for range callerClients {
		transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2}
		c.clients = append(c.clients, &http.Client{Transport: transport})
	}
	return c
}

// run makes traffic until ctx ends and waits for the last answer.
func (c *callers) run(ctx context.Context) {
	var classes sync.WaitGroup
	classes.Go(func() { c.arrivals(ctx, Stream, streamsPerSecond) })
	classes.Go(func() { c.arrivals(ctx, Booking, bookingsPerSecond) })
	classes.Go(func() { c.arrivals(ctx, Lookup, lookupsPerSecond) })
	classes.Wait()
}

func (c *callers) arrivals(ctx context.Context, class Class, perSecond float64) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		pause := time.Duration(c.draw().pause / perSecond * float64(time.Second))
		if wait.For(ctx, pause) != nil {
			return
		}
		requests.Go(func() { c.request(class) })
	}
}

// draws are the random choices of one request.
type draws struct {
	number, client        int
	pause, leave, strange float64
	leaveAfter            time.Duration
}

func (c *callers) draw() draws {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return draws{
		number: c.next, client: c.random.IntN(callerClients), pause: c.random.ExpFloat64(),
		leave: c.random.Float64(), strange: c.random.Float64(),
		leaveAfter: time.Duration(c.random.Int64N(int64(leaveWithin))),
	}
}

// request makes one request, and its retries at other entries.
func (c *callers) request(class Class) {
	chosen := c.draw()
	patience := callPatience
	if class == Stream {
		patience = streamPatience
	}
	deadline := time.Now().Add(patience)
	path := fmt.Sprintf("/%s/%d", class, chosen.number)
	after := 0
	for try := 0; try <= retries && time.Now().Before(deadline); try++ {
		attempt := &Attempt{
			ID: fmt.Sprintf("%s-%d-%d", class, chosen.number, try), Class: class, Path: path,
			Body: fmt.Sprintf("body of %d", chosen.number), Key: c.world.key(), After: after, Patience: time.Until(deadline),
		}
		if class != Stream {
			attempt.Key = c.world.chooseKey(chosen.strange)
		}
		leaveAfter := time.Duration(0)
		if class == Stream && chosen.leave < leaveShare {
			leaveAfter = chosen.leaveAfter
		}
		retryAfter := c.attempt(c.clients[chosen.client], attempt, c.world.pickEntry(chosen.number+try), leaveAfter)
		after = lastEvent(attempt)
		if !mayRetry(attempt) {
			return
		}
		time.Sleep(min(retryAfter, time.Duration(longestHeedShare*float64(time.Until(deadline)))))
	}
}

// mayRetry tells whether a caller comes back after such an end.
func mayRetry(a *Attempt) bool {
	if a.served() || !a.Left.IsZero() || a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound {
		return false
	}
	return a.Class != Booking || a.promisesNotRun()
}

// lastEvent returns the ID of the last whole event that the caller has.
func lastEvent(a *Attempt) int {
	if a.Class != Stream || a.Status != http.StatusOK {
		return a.After
	}
	return a.After + strings.Count(a.Text, "\n\n")
}

// errLeft ends the attempt of a caller that leaves early.
var errLeft = errors.New("caller left")

// attempt sends one attempt and returns when the answer says to come back.
func (c *callers) attempt(client *http.Client, a *Attempt, entry *entry, leaveAfter time.Duration) (retryAfter time.Duration) {
	a.Entry = entry.name
	ctx, cancel := context.WithTimeout(context.Background(), a.Patience)
	defer cancel()
	if leaveAfter > 0 {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeoutCause(ctx, leaveAfter, errLeft)
		defer leave()
	}
	a.Sent = time.Now()
	retryAfter = c.exchange(ctx, client, a, entry)
	a.Ended = time.Now()
	if errors.Is(context.Cause(ctx), errLeft) && !a.Whole {
		a.Left = a.Sent.Add(leaveAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return retryAfter
}

func (c *callers) exchange(ctx context.Context, client *http.Client, a *Attempt, entry *entry) time.Duration {
	// The body can't be rewound, so that the client never sends the attempt again by itself.
	body := io.NopCloser(strings.NewReader(a.Body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callers.Address()+a.Path, body)
	if err != nil {
		a.Error = err.Error()
		return 0
	}
	request.Host = hostName
	request.ContentLength = int64(len(a.Body))
	request.Header.Set(target.FieldRequestID, a.ID)
	request.Header.Set(target.FieldDeadline, strconv.FormatInt(a.Patience.Milliseconds(), 10))
	request.Header.Set(target.FieldAuthorization, "Bearer "+a.Key)
	if a.Class == Stream {
		request.Header.Set(target.FieldTokenUsage, promptTokens)
		// The last part of the prompt is the request's own, over its attempts.
		request.Header.Set(target.FieldPrompt, fmt.Sprintf("5a:50,%x:50", a.Path))
	}
	if a.After > 0 {
		request.Header.Set(target.FieldLastEvent, strconv.Itoa(a.After))
	}
	response, err := client.Do(request)
	if err != nil {
		a.Error = err.Error()
		return 0
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Signature = response.Header.Get(target.FieldSignature)
	a.AnswerTo = response.Header.Get(target.FieldRequestID)
	text, err := io.ReadAll(response.Body)
	a.Text = string(text)
	a.Whole = err == nil
	if err != nil {
		a.Error = err.Error()
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

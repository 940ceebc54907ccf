package passthrough

import (
	"context"
	"errors"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/peerexchange"
	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/platform"
	"github.com/azurebarrow/azurebarrow/service"
)

// Paths sends requests to targets over this entry's own links or, while these are lost, through peers. It is safe for
// concurrent use.
type Paths struct {
	pool   *targethttp.Pool
	router *detour.Router
	peers  *peerexchange.Client
	limits Limits
}

// Limits is the port to what targets say about the requests that they want.
type Limits interface {
	// ObserveLeaving records that an answer of the target says that it leaves.
	ObserveLeaving(target string)
	// Available reports whether this entry may send a request to the target now.
	Available(target string, now time.Time) bool
	// Observe records the limit that an answer of the target names, or that it names none.
	Observe(target string, limit float64, named bool, sent, now time.Time)
	// TakePause reports whether the target has not asked for a pause that still lasts; it is asked before each request.
	TakePause(target string) bool
	// Begin counts a request to the target until end is called.
	Begin(target string) (end func())
	// ObserveBrittle records whether an answer, to a request sent at sent, says that the target fails when it must turn
	// away more requests in a second, and whether it turned this one away.
	ObserveBrittle(target string, perSecond float64, brittle, turnedAway bool, sent time.Time)
	// ObservePause records the pause that an answer of the target asks for; 0 for none.
	ObservePause(target string, pause time.Duration)
}

// NewPaths returns Paths that send by the router's decisions, except to targets that have asked for a pause.
func NewPaths(pool *targethttp.Pool, router *detour.Router, peers *peerexchange.Client, limits Limits) *Paths {
	return &Paths{pool: pool, router: router, peers: peers, limits: limits}
}

// errNoNewWork: the target was chosen, and gets no new work any more.
var errNoNewWork = errors.New("target gets no new work any more")

// errPaused: the target has asked this entry for a pause.
var errPaused = errors.New("target asked for a pause")

// sendCheckKey is the key of a context's send check.
type sendCheckKey struct{}

// WithSendCheck returns a context in which an attempt is sent only if maySend still returns true just before: it may wait for a path to its
// target, or for a connection, since it was chosen.
func WithSendCheck(ctx context.Context, maySend func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, maySend)
}

// MaySend reports whether the send check of the context, if there is one, allows the attempt to be sent.
func MaySend(ctx context.Context) bool {
	maySend, ok := ctx.Value(sendCheckKey{}).(func() bool)
	return !ok || maySend()
}

// SendDirectly sends a request once over this entry's own links, for a caller or a peer. Its error is that of Do.
func (p *Paths) SendDirectly(ctx context.Context, target detour.Target, request *targethttp.Request) (*targethttp.Answer, error) {
	if !p.limits.TakePause(target.ID) {
		return nil, &service.NotSentError{Cause: errPaused}
	}
	return p.observed(target, func() (*targethttp.Answer, error) { return p.pool.Do(ctx, target.Key(), target.Address, request) })
}

// observed sends a request and records what its answer says about further ones.
func (p *Paths) observed(target detour.Target, send func() (*targethttp.Answer, error)) (*targethttp.Answer, error) {
	sent, end := time.Now(), p.limits.Begin(target.ID)
	answer, err := send()
	if err != nil {
		end()
		return nil, err
	}
	answer.OnClose(end)
	verdict := platform.ClassifyAnswer(answer.Status, answer.Header)
	if !verdict.IsOfTarget() {
		return answer, nil
	}
	perSecond, brittle := platform.BrittleLimit(answer.Header)
	p.limits.ObserveBrittle(target.ID, perSecond, brittle, verdict == platform.NotRun, sent)
	pause, _ := platform.AskedPause(answer.Status, answer.Header) // what can't be read asks for nothing
	p.limits.ObservePause(target.ID, pause)
	if platform.SaysLeaving(answer.Header) {
		p.limits.ObserveLeaving(target.ID)
	}
	return answer, nil
}

// Do sends a request once, if the target still may get it when a path is found, which may take a second. The request is built then,
// so that it names the time that is left. An error that wraps *service.NotSentError proves that nothing was sent; after any
// other error the target may have run the request.
func (p *Paths) Do(ctx context.Context, target detour.Target, deadline time.Time, mayGetWork func() bool, build func() *targethttp.Request) (*targethttp.Answer, error) {
	var answer *targethttp.Answer
	var sendErr error
	request := build()
	fresh := true
	err := p.router.Do(ctx, request.ID, target, func(ctx context.Context, peer *membership.Peer) detour.Result {
		if !mayGetWork() {
			sendErr = &service.NotSentError{Cause: errNoNewWork}
			return detour.Result{Outcome: detour.Sent}
		}
		if !fresh {
			request = build()
		}
		fresh = false
		if !MaySend(ctx) {
			sendErr = &service.NotSentError{Cause: targethttp.ErrSendWithdrawn}
			return detour.Result{Outcome: detour.Sent}
		}
		request.MaySend = func() bool { return MaySend(ctx) }
		if peer == nil {
			answer, sendErr = p.SendDirectly(ctx, target, request)
			return directResult(sendErr)
		}
		if !p.limits.TakePause(target.ID) {
			sendErr = &service.NotSentError{Cause: errPaused}
			return detour.Result{Outcome: detour.Sent}
		}
		answer, sendErr = p.observed(target, func() (*targethttp.Answer, error) {
			return p.peers.Do(ctx, *peer, target, time.Until(deadline), request)
		})
		return peerexchange.ResultOf(sendErr)
	})
	if err != nil {
		return nil, &service.NotSentError{Cause: err}
	}
	return answer, sendErr
}

// directResult returns the result of a send over this entry's own links.
func directResult(err error) detour.Result {
	var notSent *service.NotSentError
	if errors.As(err, &notSent) && !errors.Is(err, errPaused) && !errors.Is(err, targethttp.ErrSendWithdrawn) {
		return detour.Result{Outcome: detour.Unreachable}
	}
	return detour.Result{Outcome: detour.Sent}
}

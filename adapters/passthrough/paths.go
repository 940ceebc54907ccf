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
	// ObservePause records the pause that an answer of the target asks for; 0 for none.
	ObservePause(target string, pause time.Duration)
}

// NewPaths returns Paths that send by the router's decisions, except to targets that have asked for a pause.
func NewPaths(pool *targethttp.Pool, router *detour.Router, peers *peerexchange.Client, limits Limits) *Paths {
	return &Paths{pool: pool, router: router, peers: peers, limits: limits}
}

// errPaused: the target has asked this entry for a pause.
var errPaused = errors.New("target asked for a pause")

// SendDirectly sends a request once over this entry's own links, for a caller or a peer. Its error is that of Do.
func (p *Paths) SendDirectly(ctx context.Context, target detour.Target, request *targethttp.Request) (*targethttp.Answer, error) {
	if !p.limits.TakePause(target.ID) {
		return nil, &service.NotSentError{Cause: errPaused}
	}
	return p.observed(target)(p.pool.Do(ctx, target.Key(), target.Address, request))
}

// observed records what an answer says about further requests.
func (p *Paths) observed(target detour.Target) func(*targethttp.Answer, error) (*targethttp.Answer, error) {
	return func(answer *targethttp.Answer, err error) (*targethttp.Answer, error) {
		if err == nil && platform.ClassifyAnswer(answer.Status, answer.Header).IsOfTarget() {
			pause, _ := platform.AskedPause(answer.Status, answer.Header) // what can't be read asks for nothing
			p.limits.ObservePause(target.ID, pause)
			if platform.SaysLeaving(answer.Header) {
				p.limits.ObserveLeaving(target.ID)
			}
		}
		return answer, err
	}
}

// Do sends a request once. The request is built when a path is found, so that it names the time that is left then. An
// error that wraps *service.NotSentError proves that nothing was sent; after any other error the target may have run the
// request.
func (p *Paths) Do(ctx context.Context, target detour.Target, deadline time.Time, build func() *targethttp.Request) (*targethttp.Answer, error) {
	var answer *targethttp.Answer
	var sendErr error
	request := build()
	fresh := true
	err := p.router.Do(ctx, request.ID, target, func(ctx context.Context, peer *membership.Peer) detour.Result {
		if !fresh {
			request = build()
		}
		fresh = false
		if peer == nil {
			answer, sendErr = p.SendDirectly(ctx, target, request)
			return directResult(sendErr)
		}
		if !p.limits.TakePause(target.ID) {
			sendErr = &service.NotSentError{Cause: errPaused}
			return detour.Result{Outcome: detour.Sent}
		}
		answer, sendErr = p.observed(target)(p.peers.Do(ctx, *peer, target, time.Until(deadline), request))
		return peerResult(sendErr)
	})
	if err != nil {
		return nil, &service.NotSentError{Cause: err}
	}
	return answer, sendErr
}

// directResult returns the result of a send over this entry's own links.
func directResult(err error) detour.Result {
	var notSent *service.NotSentError
	if errors.As(err, &notSent) && !errors.Is(err, errPaused) {
		return detour.Result{Outcome: detour.Unreachable}
	}
	return detour.Result{Outcome: detour.Sent}
}

func peerResult(err error) detour.Result {
	var notSent *peerexchange.NotSentError
	if errors.As(err, &notSent) {
		return notSent.Result
	}
	return detour.Result{Outcome: detour.Sent, PeerFailed: peerexchange.IsPeerFailure(err)}
}

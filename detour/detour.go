// Package detour chooses the path of an entry's requests to targets: its own links or, while these are lost, the links
// of a peer.
//
// An entry whose connection to a target is not accepted soon asks peers for their word: if a peer reaches the target,
// the entry's own link is lost and the request goes through that peer; otherwise the target is down. A peer sends such
// requests over its own links only, so that none goes in circles. A request changes paths only if nothing of it was sent.
package detour

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/internal/defect"
	"github.com/azurebarrow/azurebarrow/membership"
)

// Target is one incarnation of a target.
type Target struct{ ID, Address string }

// Key identifies the target by ID and address.
func (t Target) Key() string { return t.ID + "@" + t.Address }

// Outcome is how a try over one path ended.
type Outcome int

// Outcomes. After all but Sent, nothing has left for the target.
const (
	// Sent: the request has left for the target, or may have; for a probe, the target accepted a connection.
	Sent Outcome = iota
	// Unreachable: the target accepts no connection from an entry that reaches others.
	Unreachable
	// LinksLost: the entry that was to send has lost its links to targets; its judgement of its own link, to this one.
	LinksLost
	// Refused: the peer sends nothing for others now.
	Refused
	// Unserved: the peer sends nothing to this target: it doesn't know it, was asked for a pause, or has lost its link to it.
	Unserved
)

// String returns the outcome as it is written to logs and between entries.
func (o Outcome) String() string {
	return [...]string{"sent", "unreachable", "links-lost", "refused", "unserved"}[o]
}

// ParseOutcome is the inverse of Outcome.String.
func ParseOutcome(text string) (outcome Outcome, ok bool) {
	for _, outcome := range []Outcome{Sent, Unreachable, LinksLost, Refused, Unserved} {
		if outcome.String() == text {
			return outcome, true
		}
	}
	return Refused, false
}

// Result is the end of a try.
type Result struct {
	Outcome Outcome
	// Helper is the name of a peer that reaches targets, as a peer that lost its links knows it; empty if it knows none.
	Helper string
	// PeerFailed reports that the peer itself ended or broke the exchange.
	PeerFailed bool
}

// Try sends a request through a peer, or over the entry's own links if the peer is nil.
type Try func(ctx context.Context, peer *membership.Peer) Result

// Connectivity is the port to what the entry knows of its links to all targets together.
type Connectivity interface {
	// IsLost reports whether the entry reaches no target.
	IsLost() bool
	// CheckLost finds out whether other targets accept connections, and returns true if none does.
	CheckLost(suspect Target) bool
	// ClaimRegainCheck reports whether the caller is to check now whether lost links are back.
	ClaimRegainCheck(now time.Time) bool
}

// Options are the dependencies of a Router.
type Options struct {
	View membership.View
	// Connect has a connection to the target ready for the next request, over the entry's own links.
	Connect func(ctx context.Context, target Target) error
	// Ask asks a peer whether the target accepts a connection from it that stays open for a while.
	Ask          func(ctx context.Context, peer membership.Peer, target Target, open time.Duration) Result
	Connectivity Connectivity
	// Seed initializes the random choices of peers.
	Seed uint64
	// Log receives events; nil discards them.
	Log func(event string, fields ...generation.Field)
}

const (
	// connectPatience is how long a connection may take until peers are asked: many round trips within a region.
	connectPatience = 50 * time.Millisecond
	// helpConnectTimeout limits the connection to a target that is opened for a peer.
	helpConnectTimeout = 60 * time.Millisecond
	// askTimeout limits the question to a peer: its connection, its check of its own links, and the way there.
	askTimeout = 200 * time.Millisecond
	// maxAskRounds limits the rounds of questions for one request, each to peersPerRound peers.
	maxAskRounds  = 4
	peersPerRound = 2
	// downVotes is the number of peers that must find a target unreachable, while there are as many to ask: some of
	// them may have lost the same link.
	downVotes = 3
	// downMemory is how long a target that peers found unreachable is taken for down without being asked for again.
	downMemory = 300 * time.Millisecond
	// maxHelpersTried limits the peers through which one request is tried.
	maxHelpersTried = 4
	// maxHelped limits the requests that an entry sends for peers at the same time, so that its own callers keep most
	// of its memory: one takes some tens of KB.
	maxHelped = 256
	// regainInterval is the time between checks whether lost links are back.
	regainInterval = 300 * time.Millisecond
	// maxLinkProbes limits the links that are checked at once.
	maxLinkProbes = 3
)

// ErrNoPath reports that neither the entry nor a peer that it could ask reaches the target. Nothing was sent.
var ErrNoPath = errors.New("detour: no path to the target")

// ErrUnreachable reports that peers which reach other targets don't reach this one either. Nothing was sent.
var ErrUnreachable = errors.New("detour: the target accepts no connection")

// Router sends requests over the paths that work. It is safe for concurrent use.
type Router struct {
	options Options
	links   *links
	helpers *helpers
	helping atomic.Int64

	detoured, helped, pathless atomic.Int64
}

// NewRouter returns a Router that takes all links for sound.
func NewRouter(options Options) *Router {
	if options.Log == nil {
		options.Log = func(string, ...generation.Field) {}
	}
	return &Router{options: options, links: newLinks(), helpers: newHelpers(options.View, options.Seed)}
}

// DetouredCount returns the number of requests sent through peers.
func (r *Router) DetouredCount() int64 { return r.detoured.Load() }

// HelpedCount returns the number of requests sent for peers.
func (r *Router) HelpedCount() int64 { return r.helped.Load() }

// PathlessCount returns the number of requests for which there was no path.
func (r *Router) PathlessCount() int64 { return r.pathless.Load() }

// LostLinkCount returns the number of targets that only peers reach.
func (r *Router) LostLinkCount() int { return r.links.count() }

// Do sends a request to a target over a path that works. An error means that nothing was sent: ErrUnreachable,
// ErrNoPath, or the error of ctx.
func (r *Router) Do(ctx context.Context, request string, target Target, try Try) error {
	if defect.Enabled(defect.NoDetour) {
		return r.doDirectly(ctx, target, try)
	}
	if r.links.isDown(target.Key(), time.Now()) {
		return ErrUnreachable
	}
	direct := !r.options.Connectivity.IsLost() && !r.links.isLost(target.Key(), time.Now())
	if direct {
		switch r.connect(ctx, target) {
		case Sent:
			if try(ctx, nil).Outcome == Sent {
				return nil
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// The connection was taken by another request, or closed meanwhile.
			if r.judgeFailed(ctx, target) == Unreachable {
				return ErrUnreachable
			}
		case Unreachable:
			return ErrUnreachable
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	err := r.tryHelpers(ctx, request, target, try)
	if errors.Is(err, ErrNoPath) && !direct && r.doDirectly(ctx, target, try) == nil {
		return nil
	}
	if errors.Is(err, ErrNoPath) {
		r.pathless.Add(1)
		r.options.Log("request-without-path", generation.Field{Key: "request", Value: request}, generation.Field{Key: "target", Value: target.ID},
			generation.Field{Key: "live", Value: len(r.options.View.Live())}, generation.Field{Key: "peers", Value: r.helpers.describe(time.Now())},
			generation.Field{Key: "connectivity_lost", Value: r.options.Connectivity.IsLost()})
	}
	return err
}

// doDirectly sends a request over the entry's own links, whatever is known of them.
func (r *Router) doDirectly(ctx context.Context, target Target, try Try) error {
	if try(ctx, nil).Outcome == Sent {
		return nil
	}
	return ErrNoPath
}

// connect has a connection to the target ready. It returns Sent if there is one, Unreachable if the target is down, and
// LinksLost if only peers reach it.
func (r *Router) connect(ctx context.Context, target Target) Outcome {
	connected := make(chan error, 1)
	go func() { connected <- r.options.Connect(ctx, target) }()
	timer := time.NewTimer(connectPatience)
	defer timer.Stop()
	select {
	case err := <-connected:
		if err == nil {
			return Sent
		}
		return r.judgeFailed(ctx, target)
	case <-timer.C:
	case <-ctx.Done():
		return LinksLost
	}
	asked := make(chan Outcome, 1)
	go func() { asked <- r.judgeOwnLink(ctx, target) }()
	select {
	case err := <-connected:
		if err == nil {
			return Sent
		}
		return r.withoutPeers(target, <-asked)
	case outcome := <-asked:
		if outcome != Refused {
			return outcome
		}
	}
	// Nobody could tell: the connection has its whole time.
	if <-connected == nil {
		return Sent
	}
	return r.withoutPeers(target, Refused)
}

// judgeFailed is judgeOwnLink for a connection that was not accepted.
func (r *Router) judgeFailed(ctx context.Context, target Target) Outcome {
	return r.withoutPeers(target, r.judgeOwnLink(ctx, target))
}

// withoutPeers judges a link of which no peer could tell: the entry's links to other targets decide.
func (r *Router) withoutPeers(target Target, outcome Outcome) Outcome {
	switch {
	case outcome != Refused:
		return outcome
	case r.options.Connectivity.IsLost(), r.options.Connectivity.CheckLost(target):
		return LinksLost
	}
	return Unreachable
}

// judgeOwnLink returns LinksLost if a peer reaches a target that this entry doesn't, Unreachable if peers don't
// either, and Refused if none could tell.
func (r *Router) judgeOwnLink(ctx context.Context, target Target) Outcome {
	peer, outcome := r.findHelper(ctx, target, 0, nil)
	if outcome != Sent {
		return outcome
	}
	if r.links.lose(target, peer.Name, time.Now()) {
		r.options.Log("target-link-lost", generation.Field{Key: "target", Value: target.ID}, generation.Field{Key: "peer", Value: peer.Name})
		go r.options.Connectivity.CheckLost(target)
	}
	return LinksLost
}

// findHelper asks peers for one that reaches the target, and returns it with Sent; otherwise Unreachable if a peer
// that reaches others doesn't reach this one, and Refused if none could tell.
func (r *Router) findHelper(ctx context.Context, target Target, open time.Duration, tried []string) (membership.Peer, Outcome) {
	type reply struct {
		peer   membership.Peer
		result Result
	}
	hint, votes := r.links.helperOf(target.Key()), 0
	for range maxAskRounds {
		peers := r.helpers.choose(time.Now(), peersPerRound, tried, hint)
		if len(peers) == 0 {
			break
		}
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		replies := make(chan reply, len(peers))
		for _, peer := range peers {
			tried = append(tried, peer.Name)
			go func() { replies <- reply{peer, r.ask(asking, peer, target, open)} }()
		}
		for range peers {
			got := <-replies
			switch got.result.Outcome {
			case Sent:
				cancel()
				r.links.reachedBy(target.Key(), got.peer.Name)
				return got.peer, Sent
			case Unreachable:
				votes++
			case LinksLost, Unserved:
				if got.result.Helper != "" {
					hint = got.result.Helper
				}
			}
		}
		cancel()
		if votes >= downVotes || ctx.Err() != nil {
			break
		}
	}
	if votes == 0 || ctx.Err() != nil {
		return membership.Peer{}, Refused
	}
	r.links.recordDown(target.Key(), time.Now())
	return membership.Peer{}, Unreachable
}

func (r *Router) ask(ctx context.Context, peer membership.Peer, target Target, open time.Duration) Result {
	result := r.options.Ask(ctx, peer, target, open)
	if ctx.Err() == nil || result.Outcome != Refused {
		r.helpers.record(peer.Name, result.Outcome, time.Now())
	}
	return result
}

// tryHelpers sends a request through a peer that reaches the target.
func (r *Router) tryHelpers(ctx context.Context, request string, target Target, try Try) error {
	var tried []string
	for range maxHelpersTried {
		peer, ok := r.helpers.able(time.Now(), tried)
		if !ok || !r.options.Connectivity.IsLost() {
			// Peers that help with other targets may have lost the link to this one.
			var outcome Outcome
			peer, outcome = r.findHelper(ctx, target, 0, tried)
			if outcome != Sent {
				return errorOf(outcome)
			}
		}
		tried = append(tried, peer.Name)
		result := r.tryHelper(ctx, peer, try)
		r.options.Log("request-detoured", generation.Field{Key: "request", Value: request}, generation.Field{Key: "target", Value: target.ID},
			generation.Field{Key: "peer", Value: peer.Name}, generation.Field{Key: "outcome", Value: result.Outcome},
			generation.Field{Key: "connectivity_lost", Value: r.options.Connectivity.IsLost()})
		switch {
		case result.Outcome == Sent:
			r.detoured.Add(1)
			return nil
		case result.Outcome == Unreachable:
			return ErrUnreachable
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
	return ErrNoPath
}

func errorOf(outcome Outcome) error {
	if outcome == Unreachable {
		return ErrUnreachable
	}
	return ErrNoPath
}

func (r *Router) tryHelper(ctx context.Context, peer membership.Peer, try Try) Result {
	end := r.helpers.begin(peer.Name)
	defer end()
	result := try(ctx, &peer)
	switch {
	case ctx.Err() != nil:
	case result.PeerFailed:
		r.helpers.record(peer.Name, Refused, time.Now())
	default:
		r.helpers.record(peer.Name, result.Outcome, time.Now())
	}
	return result
}

// IsLost reports whether the entry reaches no target.
func (r *Router) IsLost() bool { return r.options.Connectivity.IsLost() }

// RecordLost records that a peer, which asks for help, reaches no target.
func (r *Router) RecordLost(peer string) { r.helpers.record(peer, LinksLost, time.Now()) }

// Reaches reports whether a peer reaches a target.
func (r *Router) Reaches(ctx context.Context, target Target) bool {
	_, outcome := r.findHelper(ctx, target, 0, nil)
	return outcome == Sent
}

// IsDown judges a target whose connection ended and that then accepted none from this entry which stayed open for a
// while. It is down if peers find the same, or if no peer can tell, this entry reaches other targets and accepts reports once more that
// it doesn't reach this one: its links may have returned since the first probe.
func (r *Router) IsDown(ctx context.Context, target Target, open time.Duration, accepts func() bool) bool {
	if defect.Enabled(defect.CutEvidenceBelieved) {
		return true
	}
	switch _, outcome := r.findHelper(ctx, target, open, nil); outcome {
	case Sent:
		return false
	case Unreachable:
		return true
	}
	return !r.options.Connectivity.IsLost() && !r.options.Connectivity.CheckLost(target) && !accepts()
}

// Run checks whether lost links are back, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(regainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.checkRegained(ctx, now)
		}
	}
}

// checkRegained checks whether lost links are back: all of them at once while the entry reaches no target.
func (r *Router) checkRegained(ctx context.Context, now time.Time) {
	connectivity := r.options.Connectivity
	if connectivity.ClaimRegainCheck(now) {
		if connectivity.CheckLost(Target{}) {
			return
		}
		r.links.clear()
	}
	if connectivity.IsLost() {
		return
	}
	for _, target := range r.links.due(now) {
		go func() {
			connecting, cancel := context.WithTimeout(ctx, helpConnectTimeout)
			defer cancel()
			if r.options.Connect(connecting, target) == nil && r.links.regain(target) {
				r.options.Log("target-link-regained", generation.Field{Key: "target", Value: target.ID})
			}
		}()
	}
}

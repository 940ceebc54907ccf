package peerexchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/targethttp"
	"github.com/azurebarrow/azurebarrow/detour"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/membership"
	"github.com/azurebarrow/azurebarrow/service"
)

// Client sends requests to targets through peers. It is safe for concurrent use.
type Client struct {
	pool *targethttp.Pool
	self string
	// isLost reports whether this entry reaches no target.
	isLost func() bool
}

// NewClient returns a Client of the entry with the name self. log receives events; nil discards them.
func NewClient(self string, isLost func() bool, log func(event string, fields ...generation.Field)) *Client {
	return &Client{
		pool: targethttp.NewPool(targethttp.Options{DialTimeout: peerDialTimeout, AcceptAnswersWithoutID: true, Log: log}),
		self: self, isLost: isLost,
	}
}

// peerDialTimeout limits the connection to a peer.
const peerDialTimeout = 100 * time.Millisecond

// errPeerBroke: the peer's own connection broke.
var errPeerBroke = errors.New("peerexchange: the exchange with the peer broke off")

// Do sends a request to a target through a peer. An error is a *NotSentError if nothing was sent. After any other, the
// target may have run the request: the error wraps io.ErrUnexpectedEOF if the target's connection ended.
func (c *Client) Do(ctx context.Context, peer membership.Peer, target detour.Target, timeout time.Duration, request *targethttp.Request) (*targethttp.Answer, error) {
	answer, err := c.pool.Do(ctx, peer.Name, peer.Address, &targethttp.Request{
		Method: http.MethodPost, URI: exchangePath, Host: peer.Address, Body: request.Encode(), HasBody: true,
		IDHeader: request.IDHeader, ID: request.ID,
		Header: c.header(target, timeout, http.Header{fieldIDHeader: {request.IDHeader}}),
	})
	var notSent *service.NotSentError
	switch {
	case errors.As(err, &notSent):
		return nil, &NotSentError{detour.Result{Outcome: detour.Refused, PeerFailed: ctx.Err() == nil}}
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errPeerBroke, hideConnectionLoss(err))
	}
	switch outcome := answer.Header.Get(fieldOutcome); outcome {
	case outcomeAnswered:
		restoreHeader(answer)
		return answer, nil
	case outcomeBroken:
		answer.Close()
		return nil, fmt.Errorf("at the peer: %w", io.ErrUnexpectedEOF)
	case outcomeHeldUp:
		answer.Close()
		return nil, fmt.Errorf("at the peer: %w", targethttp.ErrHeldUp)
	case outcomeUnknown:
		answer.Close()
		return nil, errors.New("at the peer: no answer of the target")
	default:
		answer.Close()
		if _, known := detour.ParseOutcome(outcome); !known && outcome != "" {
			return nil, fmt.Errorf("at the peer: outcome %q", outcome) // a later build may say so of what it has sent
		}
		return nil, &NotSentError{resultOf(answer.Header)}
	}
}

// IsPeerFailure reports whether an error of Do tells of the peer and not of the target.
func IsPeerFailure(err error) bool { return errors.Is(err, errPeerBroke) }

// ResultOf returns the result of a try that ended with an error of Do, or with none.
func ResultOf(err error) detour.Result {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return notSent.Result
	}
	return detour.Result{Outcome: detour.Sent, PeerFailed: IsPeerFailure(err)}
}

// hideConnectionLoss keeps the end of a peer's connection from being taken for that of a target's.
func hideConnectionLoss(err error) error { return errors.New(err.Error()) }

// restoreHeader removes the fields of the exchange from a target's answer.
func restoreHeader(answer *targethttp.Answer) {
	answer.Header.Del(fieldOutcome)
	answer.Header.Del("Date")
	if length := answer.Header.Get(fieldLength); length != "" {
		answer.Header.Del(fieldLength)
		answer.Header.Set("Content-Length", length)
	}
}

// Probe asks a peer whether the target accepts a connection from it that stays open for a while.
func (c *Client) Probe(ctx context.Context, peer membership.Peer, target detour.Target, open time.Duration) detour.Result {
	answer, err := c.pool.Do(ctx, peer.Name, peer.Address, &targethttp.Request{
		Method: http.MethodPost, URI: probePath, Host: peer.Address, HasBody: true, Header: c.header(target, open, http.Header{}),
	})
	if err != nil {
		return detour.Result{Outcome: detour.Refused, PeerFailed: ctx.Err() == nil}
	}
	answer.Close()
	return resultOf(answer.Header)
}

func (c *Client) header(target detour.Target, timeout time.Duration, header http.Header) http.Header {
	header.Set(fieldTargetID, target.ID)
	header.Set(fieldAddress, target.Address)
	header.Set(fieldTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	if c.isLost() {
		header.Set(fieldFrom, c.self)
	}
	return header
}

// resultOf returns the result that an answer tells; a peer of a former build refuses.
func resultOf(header http.Header) detour.Result {
	outcome, _ := detour.ParseOutcome(header.Get(fieldOutcome))
	return detour.Result{Outcome: outcome, Helper: header.Get(fieldHelper)}
}

// Sweep closes idle connections to peers that have expired.
func (c *Client) Sweep() { c.pool.Sweep(func(string) bool { return true }) }

// Package peerexchange carries requests between an entry that has lost its links to targets and a peer that sends them
// over its own. A request travels as the bytes that the target is to get; its answer comes back as the peer's answer, so
// that a body which breaks off at the target breaks off at the entry too.
package peerexchange

import (
	"fmt"

	"github.com/azurebarrow/azurebarrow/detour"
)

const (
	exchangePath = "/target-exchanges"
	probePath    = "/target-probes"
)

// Fields of a question to a peer and of its answer.
const (
	fieldTargetID = "Azurebarrow-Target"
	fieldAddress  = "Azurebarrow-Target-Address"
	// fieldFrom names the entry that asks, if it reaches no target at all.
	fieldFrom = "Azurebarrow-Lost-Entry"
	// fieldIDHeader is the name of the field that holds the request's ID.
	fieldIDHeader = "Azurebarrow-Id-Field"
	// fieldTimeout is the time that the exchange may take, in milliseconds; in a probe, the time for which the
	// connection must stay open.
	fieldTimeout = "Azurebarrow-Timeout-Ms"
	// fieldOutcome tells how the exchange ended at the peer. An answer without it comes from an entry of a former build.
	fieldOutcome = "Azurebarrow-Outcome"
	// fieldHelper names a peer that reaches targets.
	fieldHelper = "Azurebarrow-Helper"
	// fieldLength is the Content-Length of an answer without a body.
	fieldLength = "Azurebarrow-Content-Length"
)

// Outcomes beside those of package detour, after which the target may have run the request.
const (
	outcomeAnswered = "answered"
	outcomeBroken   = "broken"
	outcomeUnknown  = "unknown"
	// outcomeHeldUp: the request was held up on the peer's own link to the target.
	outcomeHeldUp = "held-up"
)

const (
	// maxRequestBytes limits a request that a peer sends for another entry.
	maxRequestBytes = 64 << 20
	// maxLargeRequestsBytes limits those of more than smallRequestBytes together, each until its exchange ends.
	maxLargeRequestsBytes = 16 << 20
	smallRequestBytes     = 128 << 10
)

// NotSentError reports that the peer sent nothing to the target.
type NotSentError struct{ Result detour.Result }

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("peerexchange: not sent by the peer: %s", e.Result.Outcome)
}

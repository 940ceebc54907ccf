package health

import "strings"

const (
	// requestPartPrefix begins the part that stands for a whole request. No part of a prompt begins so: long IDs are
	// hashed before they are recorded.
	requestPartPrefix = "request:"
	// maxRefusedRequests limits the refusals of whole requests; the oldest are dropped.
	maxRefusedRequests = 64
	// maxRequestTrials is the number of times that a refused request is tried again, since each may crash one more
	// target, and requestTrialBackoff the growth of the time between two.
	maxRequestTrials    = 3
	requestTrialBackoff = 20
)

// RequestPart returns the part that stands for the whole request with a fingerprint in refusals.
func RequestPart(fingerprint string) string { return requestPartPrefix + fingerprint }

// requestOf returns the fingerprint of the whole request that the parts of a refusal stand for; false if they are parts
// of prompts.
func requestOf(parts []string) (fingerprint string, isRequest bool) {
	if len(parts) != 1 {
		return "", false
	}
	return strings.CutPrefix(parts[0], requestPartPrefix)
}

// Request returns the fingerprint of the request that is refused as a whole; false if parts of prompts are refused.
func (r *RefusedParts) Request() (fingerprint string, isRequest bool) { return requestOf(r.Parts) }

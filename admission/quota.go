package admission

import (
	"math"
	"time"
)

// quota is what this entry holds of one customer's limits, and what it uses of them.
type quota struct {
	concurrency int
	rate        float64
	expires     time.Time
	inUse       int
	// peakInUse is the maximum of inUse since the last renewal.
	peakInUse int
	// rejected counts the requests rejected for concurrency since the last renewal.
	rejected int
	// requestedTokens is the sum of the tokens that requests asked for since the last renewal.
	requestedTokens float64
	renewedAt       time.Time
	// tokens is the balance of the token bucket; it may be negative after a long answer.
	tokens   float64
	filledAt time.Time
	// lastUsed is the time of the customer's last request.
	lastUsed time.Time
	// renewal is closed when the renewal in progress ends; nil means none. Two renewals at once could be
	// decided in one order and answered in the other.
	renewal <-chan struct{}
}

const (
	// burstTime is the time over which unused token rate accumulates.
	burstTime = time.Second
	// spareConcurrency is requested beyond what is used, so that the next request can be admitted.
	spareConcurrency = 2
	// spareRateFactor is the factor by which the requested token rate exceeds the used one.
	spareRateFactor = 1.5
	// minRateRatio is the fraction of the rate limit that is requested for a customer with little use.
	minRateRatio = 0.02
	// idleTime is how long the lease of a customer without requests is renewed.
	idleTime = 10 * time.Second
)

// replaceExpiredLease replaces an expired lease by an equal part of the limits.
func (q *quota) replaceExpiredLease(limits Limits, entries int, now time.Time) {
	if !now.After(q.expires) {
		return
	}
	equal := float64(max(entries, 1))
	q.concurrency = int(float64(limits.Concurrency) / equal)
	q.setRate(limits.TokensPerSecond/equal, now)
	q.expires = now.Add(quotaLeaseTTL)
}

// applyGrant replaces the lease. It is valid from askedAt, the time of the demand, so that it expires here
// no later than in the quota owner's record, however long the answer took.
func (q *quota) applyGrant(grant Grant, askedAt, now time.Time) {
	q.concurrency = grant.Concurrency
	q.setRate(grant.TokensPerSecond, now)
	q.expires = askedAt.Add(grant.ValidFor)
}

func (q *quota) setRate(rate float64, now time.Time) {
	q.refill(now)
	q.rate = rate
}

func (q *quota) refill(now time.Time) {
	if !q.filledAt.IsZero() {
		q.tokens += now.Sub(q.filledAt).Seconds() * q.rate
	}
	q.tokens = math.Min(q.tokens, q.rate*burstTime.Seconds())
	q.filledAt = now
}

// admit takes one unit of concurrency and the tokens of the request, or rejects the request with a
// reason and a time to retry after.
func (q *quota) admit(request Request, limits Limits, now time.Time) *RejectedError {
	q.lastUsed = now
	q.refill(now)
	q.requestedTokens += float64(request.Tokens)
	if limits.Concurrency > 0 && q.inUse >= q.concurrency {
		q.rejected++
		return &RejectedError{Reason: ReasonConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if limits.TokensPerSecond > 0 && q.tokens <= 0 {
		return &RejectedError{Reason: ReasonTokenRate, RetryAfter: q.timeToTokens()}
	}
	q.inUse++
	q.peakInUse = max(q.peakInUse, q.inUse)
	if limits.TokensPerSecond > 0 {
		q.tokens -= float64(request.Tokens)
	}
	return nil
}

// timeToTokens returns the time until the balance is positive again.
func (q *quota) timeToTokens() time.Duration {
	if q.rate <= 0 {
		return quotaLeaseTTL
	}
	return time.Duration((1 - q.tokens) / q.rate * float64(time.Second))
}

// release returns the unit of concurrency, and the tokens that were not generated.
func (q *quota) release(request Request, generated int, limits Limits, now time.Time) {
	q.inUse--
	q.refill(now)
	if limits.TokensPerSecond > 0 {
		q.tokens += float64(request.Tokens - generated)
	}
}

// takeDemand returns what the entry asks for next, and resets the counters. It asks by the peak of
// use: the current use may be low only because some requests have just ended.
func (q *quota) takeDemand(customer string, limits Limits, now time.Time) Demand {
	elapsed := math.Max(now.Sub(q.renewedAt).Seconds(), 0.1)
	rate := q.requestedTokens / elapsed * spareRateFactor
	demand := Demand{
		Customer:        customer,
		InUse:           q.inUse,
		Wanted:          min(q.peakInUse+q.rejected+spareConcurrency, max(limits.Concurrency, 1)),
		HeldConcurrency: q.concurrency,
		WantedRate:      math.Min(rate+minRateRatio*limits.TokensPerSecond, limits.TokensPerSecond),
		HeldRate:        q.rate,
		HeldFor:         q.expires.Sub(now),
	}
	q.rejected, q.requestedTokens, q.renewedAt = 0, 0, now
	q.peakInUse = q.inUse
	return demand
}

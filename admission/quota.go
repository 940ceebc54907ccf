package admission

import (
	"math"
	"time"
)

// quota is what this entry holds of one customer's limits, and what it uses.
type quota struct {
	concurrency int
	rate        float64
	until       time.Time
	inUse       int
	// peak is the most in use at once since the last renewal.
	peak int
	// refused counts the requests refused for concurrency since the last renewal.
	refused int
	// wantedTokens sums the tokens asked for since the last renewal.
	wantedTokens float64
	renewed      time.Time
	// tokens is the balance of the token bucket; it may be negative after a long answer.
	tokens float64
	filled time.Time
	// lastUsed is when the customer last asked for anything.
	lastUsed time.Time
}

const (
	// burstTime is how much of the token rate may be saved up.
	burstTime = time.Second
	// spareConcurrency is asked for beyond what is used, so that the next request finds some.
	spareConcurrency = 2
	// spareRate is the factor by which more rate is asked for than was used.
	spareRate = 1.5
	// leastRateShare is the part of the limit that a customer with little use asks for.
	leastRateShare = 0.02
	// idleTime is how long a customer without requests keeps asking.
	idleTime = 10 * time.Second
)

// lapse replaces a grant that ran out by an equal part of the limits.
func (q *quota) lapse(limits Limits, entries int, now time.Time) {
	if !now.After(q.until) {
		return
	}
	equal := float64(max(entries, 1))
	q.concurrency = int(float64(limits.Concurrency) / equal)
	q.setRate(limits.TokensPerSecond/equal, now)
	q.until = now.Add(grantTime)
}

func (q *quota) take(grant Grant, now time.Time) {
	q.concurrency = grant.Concurrency
	q.setRate(grant.TokensPerSecond, now)
	q.until = now.Add(grant.ValidFor)
}

func (q *quota) setRate(rate float64, now time.Time) {
	q.fill(now)
	q.rate = rate
}

func (q *quota) fill(now time.Time) {
	if !q.filled.IsZero() {
		q.tokens += now.Sub(q.filled).Seconds() * q.rate
	}
	q.tokens = math.Min(q.tokens, q.rate*burstTime.Seconds())
	q.filled = now
}

// admit takes a place and the tokens, or says why not and when to try again.
func (q *quota) admit(request Request, limits Limits, now time.Time) *RefusedError {
	q.lastUsed = now
	q.fill(now)
	q.wantedTokens += float64(request.Tokens)
	if limits.Concurrency > 0 && q.inUse >= q.concurrency {
		q.refused++
		return &RefusedError{Reason: ReasonConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if limits.TokensPerSecond > 0 && q.tokens <= 0 {
		return &RefusedError{Reason: ReasonTokenRate, RetryAfter: q.untilTokens()}
	}
	q.inUse++
	q.peak = max(q.peak, q.inUse)
	if limits.TokensPerSecond > 0 {
		q.tokens -= float64(request.Tokens)
	}
	return nil
}

// untilTokens returns when the balance is positive again.
func (q *quota) untilTokens() time.Duration {
	if q.rate <= 0 {
		return grantTime
	}
	return time.Duration((1 - q.tokens) / q.rate * float64(time.Second))
}

// done gives the place back, and the tokens that were not generated.
func (q *quota) done(request Request, generated int, limits Limits, now time.Time) {
	q.inUse--
	q.fill(now)
	if limits.TokensPerSecond > 0 {
		q.tokens += float64(request.Tokens - generated)
	}
}

// demand says what the entry wants for the next time and starts counting anew. It asks by the peak of
// use: the use at this instant may be low only because some requests have just ended.
func (q *quota) demand(customer string, limits Limits, now time.Time) Demand {
	elapsed := math.Max(now.Sub(q.renewed).Seconds(), 0.1)
	rate := q.wantedTokens / elapsed * spareRate
	demand := Demand{
		Customer:        customer,
		InUse:           q.inUse,
		Wanted:          min(q.peak+q.refused+spareConcurrency, max(limits.Concurrency, 1)),
		HeldConcurrency: q.concurrency,
		WantedRate:      math.Min(rate+leastRateShare*limits.TokensPerSecond, limits.TokensPerSecond),
		HeldRate:        q.rate,
		HeldFor:         q.until.Sub(now),
	}
	q.refused, q.wantedTokens, q.renewed = 0, 0, now
	q.peak = q.inUse
	return demand
}

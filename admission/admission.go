// Package admission decides which requests an entry admits. It divides customers' limits among the
// entries, queues requests by priority and deadline within limits, and rejects early what would wait
// too long, with a realistic Retry-After.
package admission

import (
	"context"
	"fmt"
	"time"

	"github.com/azurebarrow/azurebarrow/membership"
)

// Limits are a customer's limits over all entries together; 0 means no limit.
type Limits struct {
	Concurrency     int
	TokensPerSecond float64
}

// Customers provides the current limits of customers.
type Customers interface {
	Limits(customer string) Limits
}

// Capacity provides the number of concurrent requests that a deployment's targets handle well; 0
// means no limit.
type Capacity interface {
	Slots(deployment string) int
}

// Members provides the entries, as this entry sees them.
type Members interface {
	Self() membership.Peer
	Live() []membership.Peer
	// KnownCount counts the live entries and those that became unreachable without leaving.
	KnownCount() int
}

// Demand is what an entry holds of one customer's limits and what it asks for.
type Demand struct {
	Customer string
	// InUse is the number of requests that are running; they can't be revoked.
	InUse int
	// Wanted is the concurrency that the entry could use.
	Wanted          int
	HeldConcurrency int
	WantedRate      float64
	HeldRate        float64
	// HeldFor is how long the held part stays valid.
	HeldFor time.Duration
}

// Grant is a quota lease: a part of a customer's limits, granted to one entry for a limited time.
type Grant struct {
	Customer        string
	Concurrency     int
	TokensPerSecond float64
	ValidFor        time.Duration
}

// GrantRequest asks one quota owner to renew an entry's quota leases.
type GrantRequest struct {
	Entry   string
	Demands []Demand
}

// QuotaOwners sends requests to quota owners.
type QuotaOwners interface {
	// RequestGrants asks a quota owner for grants; the answer holds one for each demand whose customer it owns.
	RequestGrants(ctx context.Context, owner membership.Peer, request GrantRequest) ([]Grant, error)
}

// Request is a request for admission.
type Request struct {
	Customer   string
	Deployment string
	// Priority is 0 (lowest) to 9.
	Priority int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Tokens is the maximum number of tokens that the request may generate.
	Tokens int
	// Bytes is the memory that the request holds while it is queued.
	Bytes int
}

// Reason is the reason why a request was rejected.
type Reason string

// Reasons for rejecting a request.
const (
	ReasonConcurrency Reason = "customer-concurrency"
	ReasonTokenRate   Reason = "customer-token-rate"
	ReasonQueueFull   Reason = "queue-full"
	ReasonTooLate     Reason = "too-late"
)

// RejectedError reports that a request was rejected; it was sent to no target.
type RejectedError struct {
	Reason Reason
	// RetryAfter is the estimated time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("admission: refused (%s), retry after %s", e.Reason, e.RetryAfter)
}

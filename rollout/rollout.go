// Package rollout decides how a service is moved to targets of another software version: which share of the
// requests may go there, whether that version is good, and when the rollout ends. It is pure: it has no clock, no
// network and no goroutines. No type of it is safe for concurrent use.
package rollout

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Bounds are the limits that a deployment sets for rollouts.
type Bounds struct {
	// Share is the largest share of a service's requests that may go to a bad version, and Slack the number of
	// requests that it may get beyond that.
	Share float64
	Slack int
	// RollbackAfter is the time after the 50th bad response at which a bad version may get no more requests.
	RollbackAfter time.Duration
}

// Order is an order to move a service to targets of a version. It is comparable: orders that differ are different
// rollouts.
type Order struct {
	Service string
	// To is the software version of the targets that the service is moved to.
	To string
	// Ordered is the time of the order. Set it to one location (UTC) and without a monotonic reading, so that
	// equal orders compare equal.
	Ordered time.Time
	// Duration is the time after which the order has to be decided.
	Duration time.Duration
}

// Errors of invalid orders.
var (
	ErrNoService  = merry.New("the rollout names no service")
	ErrNoVersion  = merry.New("the rollout names no version")
	ErrNoDuration = merry.New("the duration of the rollout is not positive")
)

// Validate returns an error if the order can't be carried out.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return ErrNoService
	case o.To == "":
		return ErrNoVersion
	case o.Duration <= 0:
		return ErrNoDuration
	}
	return nil
}

// Deadline returns the time at which the order has to be decided.
func (o Order) Deadline() time.Time { return o.Ordered.Add(o.Duration) }

// Stage is a stage of a rollout.
type Stage string

// Stages, in the order in which a rollout passes them. RolledBack may follow any stage before Succeeded.
const (
	// NoRollout is the stage while there is no valid order.
	NoRollout Stage = ""
	// Waiting: no target of the new version is ready.
	Waiting Stage = "waiting"
	// Canary: a few requests go to the new version, until it is known to be good.
	Canary Stage = "canary"
	// Shift: the share of the new version rises to all requests.
	Shift Stage = "shift"
	// Drain: all new requests go to the new version; requests at the old one are completed.
	Drain Stage = "drain"
	// Succeeded and RolledBack are final.
	Succeeded  Stage = "succeeded"
	RolledBack Stage = "rolled_back"
)

// Final reports whether the stage is an end of the rollout.
func (s Stage) Final() bool { return s == Succeeded || s == RolledBack }

// State is the state of a rollout as the store keeps it.
type State string

// States of a rollout.
const (
	StateRunning    State = "running"
	StateSucceeded  State = "succeeded"
	StateRolledBack State = "rolled_back"
)

// Status is the status of a rollout as it is written to the store.
type Status struct {
	State State  `json:"state"`
	To    string `json:"to"`
	Stage Stage  `json:"stage,omitempty"`
	// Share is the share of new requests that may go to the new version.
	Share float64 `json:"share,omitempty"`
	// Reason says why the rollout ended.
	Reason string `json:"reason,omitempty"`
}

// Final reports whether the status is an end of the rollout.
func (s Status) Final() bool { return s.State == StateSucceeded || s.State == StateRolledBack }

package rollout

import "time"

// Input is what a plan learns at one step.
type Input struct {
	// Order is the order in force, nil when it was withdrawn.
	Order *Order
	// OldRegistered counts the targets of other versions than Order.To that are registered, ready or not; NewReady
	// the targets of Order.To that are ready for requests.
	OldRegistered, NewReady int
	// Old and New are what all entries reported since the step before: each report is given to one step only.
	Old, New Evidence
	// OldInProgress counts the requests and streams in progress at the old version, by the last report of each
	// entry.
	OldInProgress int
	// Unconfirmed counts the live entries that may still send new requests to the old version: those whose last
	// report is older than MaxShareAge or was sent before the entry knew of the stage Drain.
	Unconfirmed int
	// ReportInterval is the time between two reports of an entry.
	ReportInterval time.Duration
}

// Output is what a plan decides at one step.
type Output struct {
	Stage Stage
	// Share is the share of new requests that may go to the new version.
	Share float64
	// Write is the status to write to the store, nil if the last one written still holds.
	Write *Status
	// Verdict is what the judge says of the new version.
	Verdict Verdict
	// Invalid says why the order is ignored.
	Invalid error
}

// Plan runs the rollout of one service. One entry, the coordinator, has it.
type Plan struct{}

// NewPlan returns a plan without an order.
func NewPlan(bounds Bounds) *Plan { return &Plan{} }

// Resume continues a rollout from the status that the store holds: a final one stays, a running one continues with
// the stage Canary. It is called by an entry that becomes the coordinator, or that finds its write refused.
func (p *Plan) Resume(now time.Time, order Order, status Status) { panic("not built yet") }

// Step takes in what is known and returns what to do. An order that differs from that of the step before starts a
// new rollout; one that is withdrawn ends without a status.
func (p *Plan) Step(now time.Time, in Input) Output { panic("not built yet") }

// Written records that the store holds the status. Until then each step returns it again.
func (p *Plan) Written(status Status) { panic("not built yet") }

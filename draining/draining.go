// Package draining tracks which targets are draining, so that they get no new work. It learns this from the
// platform's list of VMs, from the targets themselves and from other entries, whichever reports it first.
//
// All reports are soft state: the entries that read a source renew its reports, and the other entries keep
// a report for a limited time after its last renewal. A target that has restarted at the same address has
// another incarnation, to which reports about the former one don't apply.
package draining

import "time"

const (
	// PropagationLimit is the time after the first report that a target is draining within which all entries
	// must stop sending it new work.
	PropagationLimit = 2 * time.Second
	// reportValidity is how long a report is valid without renewal.
	reportValidity = 15 * time.Second
	// unverifiedValidity is how long a report is valid that a probe of the target has not confirmed: one
	// about another incarnation than the known one, or one taken from a target's refusal. After a pause
	// of this process all reports are kept at least this long.
	unverifiedValidity = 3 * time.Second
	// renewalTolerance is the time by which a peer's report may expire earlier without being renewed by an answer: reports are
	// renewed with each probe, and most of what two entries hold differs by less.
	renewalTolerance = time.Second
	// maxFormerIncarnations limits the former incarnations that are remembered per target.
	maxFormerIncarnations = 8
)

// Source is the origin of a report that a target is draining.
type Source string

// Sources of reports.
const (
	// SourceVMList is the platform's list of VMs.
	SourceVMList Source = "vm-list"
	// SourceTarget is the target itself.
	SourceTarget Source = "target"
)

// Report is a report that a target is draining. Entries exchange it as the message Word of the peer
// protocol.
type Report struct {
	Target  string
	Address string
	// Incarnation identifies the start of the target that the report is about; empty when the source does
	// not know it.
	Incarnation string
	Source      Source
	// Deadline is when the target terminates; zero when unknown.
	Deadline time.Time
	// ValidUntil is when the report expires unless it is renewed.
	ValidUntil time.Time
}

// Target is a target to watch.
type Target struct {
	Name    string
	Address string
	// Probed is set if the target answers health probes.
	Probed bool
}

// Health is a target's answer to a health probe.
type Health struct {
	Incarnation string
	// Draining is set while the target is draining.
	Draining bool
	// TerminatesIn is the time left before the target terminates; 0 when unknown.
	TerminatesIn time.Duration
}

// VM is an item of the platform's list of VMs.
type VM struct {
	Address          string
	AvailabilityZone string
	// Terminating is set if the platform is going to terminate the VM.
	Terminating bool
	// TerminatesIn is the time left before the VM terminates; 0 when unknown.
	TerminatesIn time.Duration
}

// Package defect switches deliberate defects on, one at a time, so that a test can show that its
// check fails without the mechanism that it is meant for. Builds without the tag "defect" have
// none: Enabled is a constant false there and the compiler drops the guarded code.
package defect

// Name identifies a deliberate defect.
type Name string

// EnvironmentVariable names the variable that switches one defect on in a build with the tag.
const EnvironmentVariable = "AZUREBARROW_DEFECT"

// The deliberate defects.
const (
	// OutputCommitOff sends tokens to the caller before a replica holds them.
	OutputCommitOff Name = "output-commit-off"
	// TermCheckOff lets a replica accept appends of an older term.
	TermCheckOff Name = "term-check-off"
	// ClaimAfterDispatch sends an at-most-once call before its claim is durable.
	ClaimAfterDispatch Name = "claim-after-dispatch"
	// StaleConfiguration takes an older revision over a newer one.
	StaleConfiguration Name = "stale-configuration"
	// FencingDropped sends orders without checking the lease.
	FencingDropped Name = "fencing-dropped"
	// DeduplicatePerEntry keeps at-most-once records in the entry's memory only.
	DeduplicatePerEntry Name = "deduplicate-per-entry"
	// DrainTimeout cuts running requests at shutdown.
	DrainTimeout Name = "drain-timeout"
	// NotRunPerAttempt says not-run of the attempt rather than of the key.
	NotRunPerAttempt Name = "not-run-per-attempt"
	// IndexCheckOff passes tokens on whatever their index or attempt.
	IndexCheckOff Name = "index-check-off"
	// RepeatUnsafe sends calls that may not be repeated to another target.
	RepeatUnsafe Name = "repeat-unsafe"
	// LeavingIgnored routes new work to leaving targets.
	LeavingIgnored Name = "leaving-ignored"
)

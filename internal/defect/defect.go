// Package defect injects deliberate defects, one at a time. A defect disables one safety mechanism, so
// that a test can show that its checks fail without it. Builds without the tag "defect" contain no
// defects: there, Enabled always returns false and the compiler removes the guarded code.
package defect

// Name identifies a deliberate defect.
type Name string

// EnvironmentVariable is the environment variable whose value enables a defect by its name in a build
// with the tag.
const EnvironmentVariable = "AZUREBARROW_DEFECT"

// The deliberate defects.
const (
	// OutputCommitOff sends tokens to the caller before they are committed, that is, before a replica
	// holds them.
	OutputCommitOff Name = "output-commit-off"
	// TermCheckOff makes replicas accept appends from a producer of an older term.
	TermCheckOff Name = "term-check-off"
	// ClaimAfterDispatch sends an at-most-once call before its claim is durable.
	ClaimAfterDispatch Name = "claim-after-dispatch"
	// StaleConfiguration replaces a newer revision of the configuration with an older one.
	StaleConfiguration Name = "stale-configuration"
	// FencingDropped sends commands to engines without checking the controller's lease.
	FencingDropped Name = "fencing-dropped"
	// DeduplicatePerEntry keeps the idempotency records of at-most-once calls only in the memory of one
	// entry, so that other entries do not see them.
	DeduplicatePerEntry Name = "deduplicate-per-entry"
	// AbortOnDrain aborts running requests at shutdown instead of letting them finish.
	AbortOnDrain Name = "drain-timeout"
	// NotRunPerAttempt answers "not run" when the current attempt did not run, although another attempt
	// with the same key may have run, also at another entry.
	NotRunPerAttempt Name = "not-run-per-attempt"
	// IndexCheckOff passes tokens to the caller without checking their index or attempt.
	IndexCheckOff Name = "index-check-off"
	// RetryUnsafe retries calls that must not be repeated at another target.
	RetryUnsafe Name = "repeat-unsafe"
	// DrainingIgnored routes new work to draining targets.
	DrainingIgnored Name = "leaving-ignored"
	// DrainingForgotten has an entry that starts take the targets that drain already for others.
	DrainingForgotten Name = "draining-forgotten"
	// CrashesByRequest records crashes of targets against whole requests only, not against parts of their prompts.
	CrashesByRequest Name = "crashes-by-request"
	// CallCrashesIgnored records no crashes of targets under plain calls.
	CallCrashesIgnored Name = "call-crashes-ignored"
	// VersionIgnored has streams go on at engines of any software version.
	VersionIgnored Name = "version-ignored"
	// VersionsForgotten has an entry that starts know nothing of the versions that began streams before.
	VersionsForgotten Name = "versions-forgotten"
	// LimitIgnored sends requests to targets beyond the limits that they name.
	LimitIgnored Name = "limit-ignored"
	// PauseIgnored sends requests to targets that have asked for a pause.
	PauseIgnored Name = "pause-ignored"
	// BrittleIgnored sends requests to brittle targets as to others.
	BrittleIgnored Name = "brittle-ignored"
	// NoDetour leaves an entry its own links as the only path to targets.
	NoDetour Name = "no-detour"
	// SecondAnswerBelieved takes answers that name no request, or that may be second ones, for those to the request.
	SecondAnswerBelieved Name = "second-answer-believed"
	// ErrorPassedOn passes anything that a target answers on in a stream that has begun.
	ErrorPassedOn Name = "error-passed-on"
	// OddObjectHides rejects a list or watch of the store that holds an object nested too deeply.
	OddObjectHides Name = "odd-object-hides"
	// CutEvidenceBelieved has entries that lost their links to targets record these as crashed.
	CutEvidenceBelieved Name = "cut-evidence-believed"
	// CallerMemoryUnlimited grants callers more memory than the limit.
	CallerMemoryUnlimited Name = "caller-memory-unlimited"
	// NewVersionUnjudged judges the new version of a rollout by the evidence of the old one.
	NewVersionUnjudged Name = "new-version-unjudged"
)

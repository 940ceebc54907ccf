package generation

import "sync/atomic"

// Stats counts what a Manager did since the process started.
type Stats struct {
	// Attempts counts attempts that a target accepted; Speculative those started beside another one.
	Attempts, Speculative atomic.Int64
	// Attached counts streams that were attached to again, which costs no engine work.
	Attached atomic.Int64
	// Broken counts streams that ended without the end marker; Suspicions those that were silent too long.
	Broken, Suspicions atomic.Int64
	// FalseSuspicions counts suspected streams that continued.
	FalseSuspicions atomic.Int64
	// Accepted counts tokens that were added to a log.
	Accepted atomic.Int64
	// Stray, Duplicate, NotOwner, Mismatch and Gap count events by their verdict.
	Stray, Duplicate, NotOwner, Mismatch, Gap atomic.Int64
	// Superseded counts generations that another entry took over from this one.
	Superseded atomic.Int64
	// Takeovers counts generations that this entry took over.
	Takeovers atomic.Int64
	// Degraded counts the times that a generation had no replica.
	Degraded atomic.Int64
	// PoisonRefused counts requests that were refused because of their fingerprint.
	PoisonRefused atomic.Int64
	// VersionsUnknown counts streams that callers took up and that were refused since no entry knew their version.
	VersionsUnknown atomic.Int64
}

func (s *Stats) count(verdict Verdict) {
	switch verdict {
	case VerdictAccept:
		s.Accepted.Add(1)
	case VerdictStray:
		s.Stray.Add(1)
	case VerdictDuplicate:
		s.Duplicate.Add(1)
	case VerdictNotOwner:
		s.NotOwner.Add(1)
	case VerdictMismatch:
		s.Mismatch.Add(1)
	case VerdictGap:
		s.Gap.Add(1)
	}
}

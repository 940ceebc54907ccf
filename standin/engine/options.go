// Package engine simulates a model engine for tests: it serves the engine HTTP protocol with continuous
// batching and a prefix cache of limited size, and injects faults on demand. Its tokens come from
// package chain, so that a wrong stream is detected.
package engine

import "time"

// PromptBytesPerToken is the number of prompt bytes that count as one prefill token.
const PromptBytesPerToken = 4

// Version identifies weights that an engine can run.
type Version struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Emission describes the generation of one token.
type Emission struct {
	// Engine is the engine's name.
	Engine    string
	RequestID string
	Attempt   int
	// From is the index of the attempt's first token, Index that of this token.
	From, Index int
	// Accepted is when the engine accepted the attempt, At when the token was generated.
	Accepted, At time.Time
}

// Options configures an Engine. DefaultOptions returns the defaults.
type Options struct {
	Name string
	// Seed seeds the random loss of cache events and the salts of divergent generations.
	Seed int64
	// TokenInterval is the time of a decoding step with one stream.
	TokenInterval time.Duration
	// BatchGrowth is the fraction of TokenInterval that each further stream adds to a step.
	BatchGrowth float64
	// PrefillPerToken is the time to prefill one uncached token of prompt or output.
	PrefillPerToken time.Duration
	// PrefillChunk limits the tokens prefilled in one step.
	PrefillChunk int
	// Concurrency limits the running streams, QueueLimit those that wait.
	Concurrency int
	QueueLimit  int
	// CacheBytes limits the prompt bytes whose prefixes are cached.
	CacheBytes int
	// UnreadStreamTTL is how long a stream continues, and is kept, without a reader.
	UnreadStreamTTL time.Duration
	// EventDelay delays the publication of cache events, EventLossFraction is the fraction never published.
	EventDelay        time.Duration
	EventLossFraction float64
	// LoadReportInterval is the min age of a load report before it is replaced.
	LoadReportInterval time.Duration
	// WeightLoadTime is how long a load command takes.
	WeightLoadTime time.Duration
	// CheckFence refuses commands whose fencing token is lower than one seen before.
	CheckFence bool
	// Divergent makes every new generation of a request produce different tokens.
	Divergent bool
	// FixedLength is the length in tokens of every answer that maxTokens does not cut short; 0 derives
	// it from prompt and seed.
	FixedLength int
	// HoldAt stops decoding, for all streams, when a stream has this many tokens; decoded tokens are still
	// sent. It lasts until Release; 0 never stops.
	HoldAt int
	// ServeAnyVersion serves every requested version; otherwise only those in Loaded, changed by load and
	// unload commands, are served.
	ServeAnyVersion bool
	Loaded          []Version
	// OnToken is called for each generated token, with the engine locked; it must not block. May be nil.
	OnToken func(Emission)
	// OnDie is called when the engine dies. It closes the listener, and opens it again after
	// returnAfter unless that is 0. May be nil.
	OnDie func(returnAfter time.Duration)
}

// DefaultOptions returns the default options, with the speed of a typical engine.
func DefaultOptions() Options {
	return Options{
		Name:               "engine",
		Seed:               1,
		TokenInterval:      39 * time.Millisecond,
		BatchGrowth:        0.02,
		PrefillPerToken:    50 * time.Microsecond,
		PrefillChunk:       2048,
		Concurrency:        16,
		QueueLimit:         64,
		CacheBytes:         4 << 20,
		UnreadStreamTTL:    30 * time.Second,
		EventDelay:         200 * time.Millisecond,
		EventLossFraction:  0.02,
		LoadReportInterval: 500 * time.Millisecond,
		WeightLoadTime:     time.Second,
		CheckFence:         true,
		ServeAnyVersion:    true,
	}
}

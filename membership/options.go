package membership

import "time"

// Defaults of Options.
const (
	DefaultProbeInterval     = 250 * time.Millisecond
	DefaultIndirectAfter     = 150 * time.Millisecond
	DefaultProbeTimeout      = 450 * time.Millisecond
	DefaultSuspicionTimeout  = 750 * time.Millisecond
	DefaultListInterval      = time.Minute
	DefaultForgetAfter       = time.Minute
	DefaultIndirectProbes    = 3
	DefaultMaxDeltaBytes     = 1024
	DefaultGossipBytesPerSec = 2048
	DefaultPageBytes         = 512
	DefaultJoiningPageBytes  = 2048
	confirmationsToConvict   = 2
	pageEveryProbes          = 4
	silentProbeEvery         = 8
	// Each entry has two predecessors that probe it once a second each.
	successorProbeEvery      = 2
	successors               = 2
	knownAfterDeath          = time.Hour
	pauseFactor              = 3
	maxNotices               = 1024
	maxConfirmationsPerTick  = 2
	directoryTimeout         = 5 * time.Second
	directoryRetryInterval   = 2 * time.Second
	removalTimeout           = 2 * time.Second
	inboxLength              = 64
	joiningPeriod            = 10 * time.Second
	joiningProbes            = 16
	listSpacing              = time.Second
	joiningProbesPerTick     = 4
	mostMembersForJoinPushes = 16
	pushesPerDeath           = 3
	maxPushesPerSecond       = 6
	helperSampleFactor       = 4
	farewells                = 4
)

// Options configures a Manager. Zero values of the durations and bounds mean the defaults.
type Options struct {
	Self   Peer
	Prober Prober
	// Directory lists the entries that exist; nil when only seeds and peers' word are used.
	Directory Directory
	// Seeds are entries named by the settings; their names may be empty.
	Seeds []Peer
	// Seed makes the random choices reproducible.
	Seed uint64
	// OnNotice receives each new notice; it must return soon.
	OnNotice func(Notice)
	// OnDirectoryError receives failures of the directory; nil ignores them.
	OnDirectoryError func(error)

	// ProbeInterval is the time between two probes of this entry, whatever the fleet's size.
	ProbeInterval time.Duration
	// IndirectAfter is how long a direct probe may stay unanswered before others are asked to help.
	IndirectAfter time.Duration
	// ProbeTimeout ends a probe, its indirect ones included.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to answer before it is thought dead.
	SuspicionTimeout time.Duration
	// ListInterval is the time between two readings of Directory.
	ListInterval time.Duration
	// ForgetAfter is how long a dead peer that is no longer listed is remembered.
	ForgetAfter time.Duration
	// IndirectProbes is the number of peers asked to help.
	IndirectProbes int
	// MaxDeltaBytes bounds the deltas and notices in one message.
	MaxDeltaBytes int
	// GossipBytesPerSecond bounds the deltas and notices that this entry sends.
	GossipBytesPerSecond int
	// PageBytes bounds a part of a table sent now and then, JoiningPageBytes one sent to a new entry.
	PageBytes, JoiningPageBytes int
}

func (o *Options) setDefaults() {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.IndirectAfter, DefaultIndirectAfter)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.ListInterval, DefaultListInterval)
	setDefault(&o.ForgetAfter, DefaultForgetAfter)
	setDefault(&o.IndirectProbes, DefaultIndirectProbes)
	setDefault(&o.MaxDeltaBytes, DefaultMaxDeltaBytes)
	setDefault(&o.GossipBytesPerSecond, DefaultGossipBytesPerSec)
	setDefault(&o.PageBytes, DefaultPageBytes)
	setDefault(&o.JoiningPageBytes, DefaultJoiningPageBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

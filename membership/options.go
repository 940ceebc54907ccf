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
	// minConfirmations is the number of probes that must fail, after the one that raised the suspicion,
	// before a suspect is declared dead.
	minConfirmations = 2
	// pageRequestEvery is the number of probes per request for a page of a peer's table.
	pageRequestEvery = 4
	// unreachableProbeEvery is the number of probes per probe of a peer in StateUnknown or StateDead.
	unreachableProbeEvery = 8
	// successorProbeEvery is the number of probes per probe of a successor on the ring. Each entry thus has
	// two predecessors that probe it once a second each.
	successorProbeEvery = 2
	// probedSuccessors is the number of successors on the ring that an entry probes in turn.
	probedSuccessors = 2
	// deadPeerRetention is how long a dead peer counts as known, and how long its directory object is kept.
	deadPeerRetention = time.Hour
	// pauseFactor is the number of probe intervals without a tick after which this entry assumes that it
	// was paused itself.
	pauseFactor = 3
	maxNotices  = 1024
	// maxConfirmationsPerTick limits the additional probes of suspects at each tick.
	maxConfirmationsPerTick = 2
	directoryTimeout        = 5 * time.Second
	directoryRetryInterval  = 2 * time.Second
	removalTimeout          = 2 * time.Second
	inboxLength             = 64
	// joiningPeriod is the time after its start in which an entry collects the membership faster, and gets retained notices first.
	joiningPeriod = 10 * time.Second
	// joinProbes and joinProbesPerTick limit the probes to listed peers in StateUnknown that run at a time: after the
	// start and each reading of the directory, and at each tick of the joining period.
	joinProbes = 16
	// listIntervalPerPeer times the number of live entries is the minimum time between two readings of the
	// directory by one entry. All entries together read it at most once in this interval.
	listIntervalPerPeer = time.Second
	joinProbesPerTick   = 4
	// maxMembersForJoinPushes is the largest number of known peers at which a joining entry pushes the joins
	// of other entries at once.
	maxMembersForJoinPushes = 16
	// pushesPerUrgentUpdate is the number of peers that get an urgent update at once.
	pushesPerUrgentUpdate = 3
	// maxPushesPerSecond limits the probes sent only to push urgent updates.
	maxPushesPerSecond = 6
	// helperSampleFactor is the number of candidates per helper of an indirect probe.
	helperSampleFactor = 4
	// leaveMessages is the number of peers to which an entry announces that it leaves.
	leaveMessages = 4
)

// Options configures a Manager. Zero durations, counts and sizes mean the defaults.
type Options struct {
	Self   Peer
	Prober Prober
	// Directory lists the entries that exist; nil when only Seeds and gossip are used.
	Directory Directory
	// Seeds are the entries listed in the settings; their names may be empty.
	Seeds []Peer
	// Seed seeds the random number generator, to make the random choices reproducible.
	Seed uint64
	// OnNotice is called with each new notice; it must return quickly.
	OnNotice func(Notice)
	// RetainedKinds are the kinds of notices that go before other updates, and that this entry sends again and
	// again while it has nothing else to send, so that entries get them that were not there.
	RetainedKinds []NoticeKind
	// OnDirectoryError is called with errors of Directory.List; nil ignores them.
	OnDirectoryError func(error)

	// ProbeInterval is the time between two probes that this entry sends, at any size of the fleet.
	ProbeInterval time.Duration
	// IndirectAfter is how long a direct probe may stay unanswered before other peers probe as well. It and ProbeTimeout
	// are the least times: an entry waits longer while peers answer late.
	IndirectAfter time.Duration
	// ProbeTimeout is the timeout of a probe, including its indirect probes.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to answer before it is declared dead.
	SuspicionTimeout time.Duration
	// ListInterval is the time between two readings of Directory.
	ListInterval time.Duration
	// ForgetAfter is how long a peer that died or left and is no longer listed stays in the table.
	ForgetAfter time.Duration
	// IndirectProbes is the number of peers through which a peer is probed indirectly.
	IndirectProbes int
	// MaxDeltaBytes limits the size of the deltas and notices in one message.
	MaxDeltaBytes int
	// GossipBytesPerSecond limits the deltas and notices that this entry sends.
	GossipBytesPerSecond int
	// PageBytes limits a periodically requested page of a table, JoiningPageBytes one for a new entry.
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

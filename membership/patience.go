package membership

import "time"

const (
	// roundTripShare is the inverse of the share of a new round trip in the mean.
	roundTripShare = 8
	// indirectAfterRoundTrips times the mean round trip is the least time that a direct probe has before helpers probe as well.
	// Where answers are late, each probe would otherwise cause six more calls, which make the answers later still.
	indirectAfterRoundTrips = 3
	// maxPatienceFactor limits how much longer than the options say an entry waits for answers.
	maxPatienceFactor = 4
	// maxIndirectWhileSlow is the number of probes at a time that may go through helpers as soon as answers are late, which falls
	// to one at the longest patience. An entry that detects many deaths at once runs about as many.
	maxIndirectWhileSlow = 8
)

// patience is how long an entry waits for the answers to a probe.
type patience struct {
	indirectAfter, timeout time.Duration
	// maxIndirect limits the probes that go through helpers at the same time; 0 means no limit.
	maxIndirect int
}

// roundTrips is the moving mean of the round trips of direct probes that were answered.
type roundTrips struct {
	mean time.Duration
	// known is set once a probe was answered.
	known bool
}

func (r *roundTrips) add(roundTrip time.Duration) {
	if !r.known {
		r.mean, r.known = roundTrip, true
	}
	r.mean += (roundTrip - r.mean) / roundTripShare
}

// patience returns the times of the options or, while peers answer late, longer ones in the same proportion.
func (r *roundTrips) patience(options *Options) patience {
	factor := indirectAfterRoundTrips * float64(r.mean) / float64(options.IndirectAfter)
	if factor <= 1 {
		return patience{indirectAfter: options.IndirectAfter, timeout: options.ProbeTimeout}
	}
	factor = min(factor, maxPatienceFactor)
	return patience{
		indirectAfter: time.Duration(factor * float64(options.IndirectAfter)),
		timeout:       time.Duration(factor * float64(options.ProbeTimeout)),
		maxIndirect:   maxIndirectWhileSlow - int((maxIndirectWhileSlow-1)*(factor-1)/(maxPatienceFactor-1)),
	}
}

// joinPatience returns the longest times. The failure of a probe of a peer in StateUnknown, or before any peer has answered, says
// nothing of the peer, and an entry that gave it up sooner would never measure a round trip in a fleet that starts on slow processors.
func joinPatience(options *Options) patience {
	return patience{indirectAfter: maxPatienceFactor * options.IndirectAfter, timeout: maxPatienceFactor * options.ProbeTimeout}
}

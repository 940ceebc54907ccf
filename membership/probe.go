package membership

import (
	"context"
	"time"
)

// probe is one probe of a peer: sent directly first, then through the helpers as well.
type probe struct {
	peer    Peer
	helpers []Peer
	// helpersAtOnce starts the indirect probes together with the direct one, not only when that is late.
	helpersAtOnce bool
	// join is set for a probe of a peer in StateUnknown while this entry joins.
	join bool
	// indirect is set if the probe may go through helpers; inconclusive, if it may not because answers are late or none came
	// yet, so that its failure says nothing of the peer.
	indirect     bool
	inconclusive bool

	message  Message
	epoch    int
	patience patience
}

// probeResult is the outcome of a probe; err is set when neither this entry nor a helper reached the peer.
type probeResult struct {
	probe  probe
	answer Message
	err    error
	// direct is set if the peer answered without a helper, after roundTrip.
	direct    bool
	roundTrip time.Duration
}

// runProbe sends p. It returns the first valid answer, or the last error if there was none.
func runProbe(ctx context.Context, prober Prober, p probe) probeResult {
	ctx, cancel := context.WithTimeout(ctx, p.patience.timeout)
	defer cancel()
	answers := make(chan probeResult, 1+len(p.helpers))
	go func() {
		began := time.Now()
		answer, err := prober.Probe(ctx, p.peer, p.message)
		result := checkedResult(p, answer, err)
		result.direct, result.roundTrip = true, time.Since(began)
		answers <- result
	}()
	pending := 1
	if p.helpersAtOnce {
		pending += startIndirect(ctx, prober, p, answers)
	}
	helperTimer := time.NewTimer(p.patience.indirectAfter)
	defer helperTimer.Stop()
	helpersAsked := p.helpersAtOnce
	result := probeResult{probe: p, err: context.DeadlineExceeded}
	for pending > 0 {
		select {
		case <-ctx.Done():
			return result
		case <-helperTimer.C:
			if !helpersAsked {
				helpersAsked = true
				pending += startIndirect(ctx, prober, p, answers)
			}
		case result = <-answers:
			pending--
			if result.err == nil {
				return result
			}
			if !helpersAsked {
				helpersAsked = true
				pending += startIndirect(ctx, prober, p, answers)
			}
		}
	}
	return result
}

func startIndirect(ctx context.Context, prober Prober, p probe, answers chan<- probeResult) int {
	for _, helper := range p.helpers {
		go func() {
			answer, err := prober.ProbeVia(ctx, helper, p.peer, p.message)
			answers <- checkedResult(p, answer, err)
		}()
	}
	return len(p.helpers)
}

func checkedResult(p probe, answer Message, err error) probeResult {
	if err == nil {
		err = checkProtocol(answer)
	}
	if err == nil && p.peer.Name != p.peer.Address && answer.From.Name != p.peer.Name {
		err = ErrWrongPeer
	}
	return probeResult{probe: p, answer: answer, err: err}
}

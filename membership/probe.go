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
	message       Message
	epoch         int
}

// probeResult is the outcome of a probe; err is set when neither this entry nor a helper reached the peer.
type probeResult struct {
	probe  probe
	answer Message
	err    error
}

// runProbe sends p. It returns the first valid answer, or the last error if there was none.
func runProbe(ctx context.Context, prober Prober, p probe, indirectAfter, timeout time.Duration) probeResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan probeResult, 1+len(p.helpers))
	go func() {
		answer, err := prober.Probe(ctx, p.peer, p.message)
		answers <- checkedResult(p, answer, err)
	}()
	pending := 1
	if p.helpersAtOnce {
		pending += startIndirect(ctx, prober, p, answers)
	}
	helperTimer := time.NewTimer(indirectAfter)
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

package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/azurebarrow/azurebarrow/directory"
)

// EngineLoad is the load that one entry, or all entries together, have on an engine.
type EngineLoad struct {
	ID, Address string
	// Streams counts the streams. PrefillTokens are the prompt tokens still to be prefilled; ResidentTokens and CopyTokens are the tokens
	// that streams and KV cache copies hold.
	Streams                                   int
	PrefillTokens, ResidentTokens, CopyTokens float64
	// Lost and Refused are set if the engine was lost, or rejected a request, within lossAvoidance.
	Lost, Refused bool
}

// PaceSample is an observation of an engine's pace.
type PaceSample struct {
	ID, Address, Service string
	// Gap is the median gap between the events of a stream.
	Gap time.Duration
}

const (
	// maxPaceSamples is the number of pace samples that are kept for each service.
	maxPaceSamples = 32
	// paceSampleTTL is how long a pace sample is kept: the coordinator takes it for the pace at the time of its arrival.
	paceSampleTTL = 3 * time.Second
)

// refusal is the time until which Load reports that an engine rejected a request.
type refusal struct {
	service string
	until   time.Time
}

type timedPaceSample struct {
	PaceSample
	at time.Time
}

// Load returns this entry's streams and copies at the service's engines in the order of the engines' IDs, and the engines that were lost or
// rejected a request within lossAvoidance.
func (p *Placement) Load(service string) []EngineLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	var load []EngineLoad
	for key, state := range p.engines {
		refused := now.Before(p.refusals[key].until)
		if state.service != service || state.idle(now) && !refused {
			continue
		}
		load = append(load, EngineLoad{
			ID: key.id, Address: key.address, Streams: state.streams,
			PrefillTokens: state.prefillTokens, ResidentTokens: state.residentTokens, CopyTokens: state.copyTokens,
			Lost: state.lost && now.Before(state.avoidUntil), Refused: refused,
		})
	}
	for key, refusal := range p.refusals {
		if p.engines[key] == nil && refusal.service == service && now.Before(refusal.until) {
			load = append(load, EngineLoad{ID: key.id, Address: key.address, Refused: true})
		}
	}
	slices.SortFunc(load, func(a, b EngineLoad) int {
		if byID := strings.Compare(a.ID, b.ID); byID != 0 {
			return byID
		}
		return strings.Compare(a.Address, b.Address)
	})
	return load
}

// TakePaceSamples returns the latest pace samples of the service's engines since its last call, at most maxPaceSamples.
func (p *Placement) TakePaceSamples(service string) []PaceSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	var samples []PaceSample
	for _, sample := range p.paceSamples[service] {
		if now.Sub(sample.at) <= paceSampleTTL {
			samples = append(samples, sample.PaceSample)
		}
	}
	delete(p.paceSamples, service)
	return samples
}

// recordPaceSample keeps the observation for TakePaceSamples.
func (p *Placement) recordPaceSample(engine *directory.Target, gap time.Duration, now time.Time) {
	samples := p.paceSamples[engine.Service]
	if len(samples) == maxPaceSamples {
		samples = slices.Delete(samples, 0, 1)
	}
	p.paceSamples[engine.Service] = append(samples, timedPaceSample{
		PaceSample{ID: engine.ID, Address: engine.Address, Service: engine.Service, Gap: gap}, now,
	})
}

// sweepLoadReports removes refusals and pace samples that are too old to be reported.
func (p *Placement) sweepLoadReports(now time.Time) {
	for key, refusal := range p.refusals {
		if !now.Before(refusal.until) {
			delete(p.refusals, key)
		}
	}
	for service, samples := range p.paceSamples {
		if now.Sub(samples[len(samples)-1].at) > paceSampleTTL {
			delete(p.paceSamples, service)
		}
	}
}

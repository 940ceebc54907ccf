package routing

import (
	"sync"

	"github.com/azurebarrow/azurebarrow/directory"
	"github.com/azurebarrow/azurebarrow/generation"
)

// placedStream implements generation.PlacedStream.
type placedStream struct {
	placement      *Placement
	engine         *directory.Target
	prefillTokens  float64
	residentTokens float64
	prefilled      bool
	// window is only used by EventArrived, which one goroutine calls.
	window gapWindow
}

// AddStream counts a stream at its engine. prefillTokens is the number of prompt tokens that the engine must
// still prefill.
func (p *Placement) AddStream(engine *directory.Target, size generation.StreamSize, prefillTokens int) generation.PlacedStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream := &placedStream{
		placement: p, engine: engine, prefillTokens: float64(prefillTokens), residentTokens: size.KVCacheTokens(),
	}
	state := p.ensureState(engine)
	state.streams++
	state.prefillTokens += stream.prefillTokens
	state.residentTokens += stream.residentTokens
	return stream
}

// EventArrived records that an event of the stream has arrived: with the first one, its prompt has been prefilled.
func (s *placedStream) EventArrived() {
	p := s.placement
	now := p.options.Now()
	gap, observed := s.window.add(now)
	if s.prefilled && !observed {
		return
	}
	p.mu.Lock()
	s.recordPrefilled()
	changed := observed && p.paces.observe(keyOf(s.engine), s.engine.Service, gap, now)
	if observed {
		p.recordPaceSample(s.engine, gap, now)
	}
	slowness := p.paces.slowness(keyOf(s.engine), now)
	p.mu.Unlock()
	if changed {
		p.options.ReportPace(s.engine.ID, slowness)
	}
}

// recordPrefilled records that the engine has no more of the prompt to prefill.
func (s *placedStream) recordPrefilled() {
	if !s.prefilled {
		s.prefilled = true
		s.placement.ensureState(s.engine).prefillTokens -= s.prefillTokens
	}
}

// Ended records that the stream is no longer at the engine.
func (s *placedStream) Ended() {
	p := s.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	s.recordPrefilled()
	state := p.ensureState(s.engine)
	state.streams--
	state.residentTokens -= s.residentTokens
	p.dropIfIdle(s.engine, state)
}

// AddCopy counts a copy of a stream's KV cache at its holder until release is called.
func (p *Placement) AddCopy(holder *directory.Target, size generation.StreamSize) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ensureState(holder).copyTokens += size.KVCacheTokens()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		state := p.ensureState(holder)
		state.copyTokens -= size.KVCacheTokens()
		p.dropIfIdle(holder, state)
	})
}

package health

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minPartFingerprints is the number of different requests whose crashes accuse a part: crashes of a single
	// one accuse that request.
	minPartFingerprints = 2
	// minNarrowerTargets is the number of targets from which a part may explain the crashes of a wider one, and
	// amplePartTargets the number from which the wider one is refused all the same.
	minNarrowerTargets = 2
	amplePartTargets   = 2 * MinCrashesToRefuse
	// minAmbiguousTargets is the number of targets from which crashes accuse a part although other refused parts
	// explain some of them. The users' bound counts from the fifth crash.
	minAmbiguousTargets = 5
	// minPartSpan is the shortest time over which crashes accuse a part. An availability zone that fails crashes
	// the targets of all prompts at once.
	minPartSpan = time.Second
	// partClearance is how long after a part was survived the crashes of its requests don't accuse it.
	partClearance = time.Minute
	// maxPartCrashes, maxClearedParts and maxRefusedParts limit what is remembered; the oldest are dropped.
	maxPartCrashes  = 256
	maxClearedParts = 4096
	maxRefusedParts = 64
	// firstTrialDelay is the time from a refusal to the first request that is let through to try the parts
	// again. It grows by partTrialBackoff with each trial, up to maxTrialDelay.
	firstTrialDelay  = 30 * time.Second
	maxTrialDelay    = time.Hour
	partTrialBackoff = 2
)

// Work identifies what a request has a target do.
type Work struct {
	// Request is the ID of the caller's request, for logs.
	Request string
	// Fingerprint identifies the whole request.
	Fingerprint string
	// Call reports that the request is a plain call, which has no prompt.
	Call bool
	// SharedParts are the parts of its prompt that other requests may share.
	SharedParts []string
}

// partCrash is the crash of a target before it began to answer a request.
type partCrash struct {
	target, fingerprint string
	parts               []string
	at                  time.Time
}

// RefusedParts are parts of prompts that crash targets when they come together in one prompt; mostly a single part.
type RefusedParts struct {
	// Parts are sorted.
	Parts []string
	// Targets is the number of targets that crashed.
	Targets int

	nextTrial  time.Time
	trialDelay time.Duration
	// trials counts the trials so far.
	trials int
}

func newRefusedParts(parts []string, targets int, now time.Time) *RefusedParts {
	return &RefusedParts{Parts: parts, Targets: targets, nextTrial: now.Add(firstTrialDelay), trialDelay: firstTrialDelay}
}

// claimTrial reports whether a trial is due, and counts it.
func (r *RefusedParts) claimTrial(backoff int, now time.Time) bool {
	if now.Before(r.nextTrial) {
		return false
	}
	r.trials++
	r.trialDelay = min(time.Duration(backoff)*r.trialDelay, maxTrialDelay)
	r.nextTrial = now.Add(r.trialDelay)
	return true
}

// Key identifies the parts.
func (r *RefusedParts) Key() string { return strings.Join(r.Parts, ",") }

// partRecords holds the evidence against parts of prompts.
type partRecords struct {
	crashes []partCrash
	// cleared holds when a target last survived a part.
	cleared *simplelru.LRU[string, time.Time]
	refused *simplelru.LRU[string, *RefusedParts]
}

func newPartRecords() *partRecords {
	return &partRecords{cleared: newLRU[time.Time](maxClearedParts), refused: newLRU[*RefusedParts](maxRefusedParts)}
}

func newLRU[V any](size int) *simplelru.LRU[string, V] {
	lru, err := simplelru.NewLRU[string, V](size, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return lru
}

func (p *partRecords) record(crash partCrash, now time.Time) {
	known := func(c partCrash) bool {
		return c.fingerprint == crash.fingerprint && isSameCrash(c.target, crash.target, crash.at.Sub(c.at))
	}
	if len(crash.parts) == 0 || slices.ContainsFunc(p.crashes, known) {
		return
	}
	p.crashes = slices.DeleteFunc(p.crashes, func(c partCrash) bool { return now.Sub(c.at) > crashTTL })
	p.crashes = append(p.crashes, crash)
	if len(p.crashes) > maxPartCrashes {
		p.crashes = p.crashes[1:]
	}
}

// suspects returns the parts of a crash that were not survived shortly before it, or after it.
func (p *partRecords) suspects(c partCrash) []string {
	var parts []string
	for _, part := range c.parts {
		if cleared, found := p.cleared.Peek(part); !found || c.at.Sub(cleared) > partClearance {
			parts = append(parts, part)
		}
	}
	return parts
}

// isSuspected reports whether crashes or a refusal accuse the part.
func (p *partRecords) isSuspected(part string) bool {
	for _, refused := range p.refused.Values() {
		if slices.Contains(refused.Parts, part) {
			return true
		}
	}
	return slices.ContainsFunc(p.crashes, func(c partCrash) bool { return slices.Contains(p.suspects(c), part) })
}

// clear records that a target survived a request with the parts. It returns those that were suspected. Refusals lose
// these parts: one of the others must have crashed the targets.
func (p *partRecords) clear(parts []string, now time.Time) (suspected []string) {
	for _, part := range parts {
		if p.isSuspected(part) {
			suspected = append(suspected, part)
		}
		p.cleared.Add(part, now)
	}
	for _, refused := range p.refused.Values() {
		left := slices.DeleteFunc(slices.Clone(refused.Parts), func(part string) bool { return slices.Contains(parts, part) })
		if len(left) == len(refused.Parts) {
			continue
		}
		p.refused.Remove(refused.Key())
		if len(left) > 0 {
			p.refuse(left, refused.Targets, now)
		}
	}
	return suspected
}

// refuse adds a refusal; false if it was there.
func (p *partRecords) refuse(parts []string, targets int, now time.Time) bool {
	added := newRefusedParts(parts, targets, now)
	if p.refused.Contains(added.Key()) {
		return false
	}
	p.refused.Add(added.Key(), added)
	return true
}

// allow ends the refusal of exactly these parts and drops the crashes that it explains.
func (p *partRecords) allow(parts []string) {
	refused := &RefusedParts{Parts: parts}
	p.refused.Remove(refused.Key())
	p.crashes = slices.DeleteFunc(p.crashes, func(c partCrash) bool { return refused.appliesTo(c.parts) })
}

// appliesTo reports whether a prompt has all of the refused parts.
func (r *RefusedParts) appliesTo(parts []string) bool {
	return !slices.ContainsFunc(r.Parts, func(part string) bool { return !slices.Contains(parts, part) })
}

// partSupport is the evidence against one part.
type partSupport struct {
	part                  string
	crashes               []int
	targets, fingerprints map[string]bool
	first, last           time.Time
}

// sufficient reports whether the evidence is enough to refuse the part. Crashes that a narrower part may explain count
// only once there are many: a part that most prompts share occurs in every crash.
func (s *partSupport) sufficient(all map[string]*partSupport) bool {
	if !s.isSpread() {
		return false
	}
	return len(s.targets) >= amplePartTargets || len(s.targets)-s.explainedTargets(all) >= MinCrashesToRefuse
}

// isSpread reports whether the crashes are of several requests, over some time.
func (s *partSupport) isSpread() bool {
	return len(s.fingerprints) >= minPartFingerprints && s.last.Sub(s.first) >= minPartSpan
}

// explainedTargets returns the number of targets in whose crashes the part occurs beside a narrower one with crashes
// of several targets.
func (s *partSupport) explainedTargets(all map[string]*partSupport) int {
	explained := map[string]bool{}
	for _, other := range all {
		if len(other.targets) < minNarrowerTargets || len(other.crashes) >= len(s.crashes) || !containsAll(s.crashes, other.crashes) {
			continue
		}
		for target := range other.targets {
			explained[target] = true
		}
	}
	return len(explained)
}

func containsAll(crashes, others []int) bool {
	return !slices.ContainsFunc(others, func(i int) bool { return !slices.Contains(crashes, i) })
}

// narrower orders supports: the part that explains enough crashes and occurs least beside is accused first.
func (s *partSupport) narrower(other *partSupport) bool {
	if len(s.targets) != len(other.targets) {
		return len(s.targets) < len(other.targets)
	}
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) < len(other.crashes)
	}
	return s.part < other.part
}

// decide adds the refusals that the evidence supports and reports whether there are new ones. A target crashes of one
// part only, so that a refusal explains all crashes of its targets.
func (p *partRecords) decide(now time.Time) (added bool) {
	for {
		supports := p.supports(p.unexplained())
		var narrowest *partSupport
		for _, support := range supports {
			if support.sufficient(supports) && (narrowest == nil || support.narrower(narrowest)) {
				narrowest = support
			}
		}
		if narrowest == nil {
			if p.refused.Len() == 0 {
				return added
			}
			supports = p.supports(p.unattributed())
			narrowest = p.ampleSupport(supports)
		}
		if narrowest == nil {
			return added
		}
		var together []string
		for _, support := range supports {
			if slices.Equal(support.crashes, narrowest.crashes) {
				together = append(together, support.part)
			}
		}
		slices.Sort(together)
		if !p.refuse(together, len(narrowest.targets), now) {
			return added
		}
		added = true
	}
}

// unexplained returns the crashes of targets of which no refusal explains a crash.
func (p *partRecords) unexplained() []partCrash {
	explained := map[string]bool{}
	for _, c := range p.crashes {
		if p.refusal(c.parts) != nil {
			explained[c.target] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(p.crashes), func(c partCrash) bool { return explained[c.target] })
}

// unattributed returns the crashes of requests that no refusal applies to, also those of targets that a refusal
// explains: a request with another part that crashes targets may have waited there.
func (p *partRecords) unattributed() []partCrash {
	return slices.DeleteFunc(slices.Clone(p.crashes), func(c partCrash) bool { return p.refusal(c.parts) != nil })
}

// ampleSupport returns the narrowest part with crashes of so many targets that they can't all be explained by others;
// nil for none. A part that occurs beside refused ones is left out: most prompts may share it.
func (p *partRecords) ampleSupport(supports map[string]*partSupport) *partSupport {
	var narrowest *partSupport
	for _, s := range supports {
		if len(s.targets) < minAmbiguousTargets || !s.isSpread() || p.occursBesideRefused(s.part) {
			continue
		}
		if narrowest == nil || s.narrower(narrowest) {
			narrowest = s
		}
	}
	return narrowest
}

func (p *partRecords) occursBesideRefused(part string) bool {
	return slices.ContainsFunc(p.crashes, func(c partCrash) bool {
		return slices.Contains(c.parts, part) && p.refusal(c.parts) != nil
	})
}

func (p *partRecords) supports(crashes []partCrash) map[string]*partSupport {
	supports := map[string]*partSupport{}
	for i, c := range crashes {
		for _, part := range p.suspects(c) {
			s := supports[part]
			if s == nil {
				s = &partSupport{part: part, targets: map[string]bool{}, fingerprints: map[string]bool{}, first: c.at, last: c.at}
				supports[part] = s
			}
			s.crashes = append(s.crashes, i)
			s.targets[c.target], s.fingerprints[c.fingerprint] = true, true
			if c.at.Before(s.first) {
				s.first = c.at
			}
			if c.at.After(s.last) {
				s.last = c.at
			}
		}
	}
	return supports
}

// refusal returns the refusal that applies to a prompt with the parts; nil for none.
func (p *partRecords) refusal(parts []string) *RefusedParts {
	for _, refused := range p.refused.Values() {
		if refused.appliesTo(parts) {
			return refused
		}
	}
	return nil
}

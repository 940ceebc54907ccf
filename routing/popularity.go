package routing

import (
	"math"
	"time"
)

const (
	// popularityTimeConstant is the time constant of the exponential decay of request counts.
	popularityTimeConstant = 30 * time.Second
	// minPopularCount is the count below which a prefix is not popular: lower counts arise by chance.
	minPopularCount = 2.0
	// prefixConcurrencyShare is the share of a target's concurrency that requests with one prefix should
	// use.
	prefixConcurrencyShare = 0.25
	// maxPopularPrefixes is the maximum number of prefixes whose requests are counted.
	maxPopularPrefixes = 4096
)

// decayingCount is a number of uses that decays exponentially with time.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func (c decayingCount) valueAt(now time.Time) float64 {
	return c.count * math.Exp(-now.Sub(c.updatedAt).Seconds()/popularityTimeConstant.Seconds())
}

// popularity counts this entry's requests by prefix.
type popularity struct {
	uses map[PrefixHash]decayingCount
}

func newPopularity() popularity { return popularity{uses: map[PrefixHash]decayingCount{}} }

// recordUse counts a request and returns the prefix's count.
func (p *popularity) recordUse(hash PrefixHash, now time.Time) float64 {
	if len(p.uses) >= maxPopularPrefixes {
		p.dropUnpopular(now)
	}
	count := p.uses[hash].valueAt(now) + 1
	p.uses[hash] = decayingCount{count, now}
	return count
}

func (p *popularity) dropUnpopular(now time.Time) {
	for hash, uses := range p.uses {
		if uses.valueAt(now) < minPopularCount {
			delete(p.uses, hash)
		}
	}
	if len(p.uses) >= maxPopularPrefixes {
		clear(p.uses)
	}
}

// desiredTargets returns the number of targets that should cache a prefix, so that its requests use no
// more than prefixConcurrencyShare of each. It assumes that every entry receives as many requests with the
// prefix as this one.
func desiredTargets(count float64, entries int, streamTime time.Duration, concurrency float64) float64 {
	if count < minPopularCount {
		return 1
	}
	perSecond := count / popularityTimeConstant.Seconds() * float64(entries)
	return perSecond * streamTime.Seconds() / (prefixConcurrencyShare * concurrency)
}

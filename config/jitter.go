package config

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// jitter randomizes durations, so that many entries don't call at the same time. The random source is
// seeded with the name of the entry.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newJitter(name string) *jitter {
	return &jitter{random: rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))}
}

// spread returns a random duration within 20 % of the given one.
func (j *jitter) spread(duration time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(float64(duration) * (0.8 + 0.4*j.random.Float64()))
}

// backoff computes jittered pauses between retries: the pause doubles with each failure, up to
// maxBackoff.
type backoff struct {
	jitter *jitter
	pause  time.Duration
}

func (j *jitter) backoff() *backoff { return &backoff{jitter: j, pause: minBackoff} }

func (b *backoff) next() time.Duration {
	pause := b.pause
	b.pause = min(2*b.pause, maxBackoff)
	return b.jitter.spread(pause)
}

func (b *backoff) reset() { b.pause = minBackoff }

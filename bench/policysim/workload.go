package policysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/azurebarrow/azurebarrow/routing"
)

// Workload draws prompts that begin with a shared prefix, of Zipf-distributed popularity, and end with
// a unique tail.
type Workload struct {
	random     *rand.Rand
	prefixes   []string
	cumulative []float64 // cumulative weights of prefixes
	unique     int       // number of tails drawn
}

// Sizes of the drawn prompts and answers; upper limits are exclusive.
const (
	sharedPrefixes  = 200
	minPrefixBlocks = 16
	maxPrefixBlocks = 48
	minTailBytes    = 300
	maxTailBytes    = 1200
	minAnswerTokens = 100
	maxAnswerTokens = 300
)

// NewWorkload returns a workload with the given seed.
func NewWorkload(seed uint64) *Workload {
	w := &Workload{random: rand.New(rand.NewPCG(seed, 11))}
	sum := 0.0
	for i := range sharedPrefixes {
		blocks := minPrefixBlocks + w.random.IntN(maxPrefixBlocks-minPrefixBlocks)
		block := fmt.Sprintf("%-*s", routing.PrefixBlockBytes, fmt.Sprintf("shared prefix %d", i))
		w.prefixes = append(w.prefixes, strings.Repeat(block, blocks))
		sum += 1 / float64(i+1)
		w.cumulative = append(w.cumulative, sum)
	}
	return w
}

// Prompt is a drawn prompt, the hashes of its prefixes and the number of tokens of its answer.
type Prompt struct {
	Text     string
	Prefixes []routing.PrefixHash
	Tokens   int
}

// Next draws the next prompt.
func (w *Workload) Next() Prompt {
	total := w.cumulative[len(w.cumulative)-1]
	rank := sort.SearchFloat64s(w.cumulative, w.random.Float64()*total)
	w.unique++
	tail := strings.Repeat(fmt.Sprintf("%8d", w.unique), 1+maxTailBytes/8)
	length := minTailBytes + w.random.IntN(maxTailBytes-minTailBytes)
	text := w.prefixes[min(rank, len(w.prefixes)-1)] + tail[:length]
	tokens := minAnswerTokens + w.random.IntN(maxAnswerTokens-minAnswerTokens)
	return Prompt{Text: text, Prefixes: routing.PrefixHashes(text), Tokens: tokens}
}

// InterarrivalSeconds draws the time to the next arrival of a Poisson process, in seconds.
func (w *Workload) InterarrivalSeconds(perSecond float64) float64 {
	return -math.Log(1-w.random.Float64()) / perSecond
}

// IntN draws a random integer in [0, n).
func (w *Workload) IntN(n int) int { return w.random.IntN(n) }

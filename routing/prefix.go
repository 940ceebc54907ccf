package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the block length: engines publish a hash of the prompt up to the end of each
	// block.
	PrefixBlockBytes = 256
	// maxPrefixBlocks is the maximum number of blocks of a prompt that are hashed.
	maxPrefixBlocks = 128
)

// PrefixHash is the hash of the first blocks of a prompt.
type PrefixHash uint64

// eachPrefixHash calls f with the hashes of prompt's first 1, 2, … whole blocks.
func eachPrefixHash(prompt string, f func(blocks int, hash PrefixHash)) {
	var digest xxhash.Digest
	digest.Reset()
	blocks := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	for block := range blocks {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(prompt[block*PrefixBlockBytes : (block+1)*PrefixBlockBytes])
		f(block+1, PrefixHash(digest.Sum64()))
	}
}

// PrefixHashes returns the hashes of prompt's first 1, 2, … whole blocks.
func PrefixHashes(prompt string) []PrefixHash {
	var hashes []PrefixHash
	eachPrefixHash(prompt, func(_ int, hash PrefixHash) { hashes = append(hashes, hash) })
	return hashes
}

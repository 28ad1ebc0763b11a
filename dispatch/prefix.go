package dispatch

import "github.com/cespare/xxhash/v2"

// Prompts are hashed in blocks, in the way that engines cache them.
const (
	prefixBlockBytes = 64
	maxPrefixBlocks  = 64
)

// PrefixHashes returns a chained hash for each full block of the prompt, up to a
// maximum number of blocks. Equal hashes mean equal prefixes.
func PrefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	d := xxhash.New()
	for i := range blocks {
		_, _ = d.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes]) // xxhash never returns an error
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

package scheduling

import "sort"

// SharedBlocks counts how the running streams of one engine share the blocks of
// their prompts. A block that several streams hold takes memory once.
type SharedBlocks struct {
	refCounts map[uint64]int
	// orphans are blocks whose first holder has ended while others still hold them.
	orphans int
}

// NewSharedBlocks returns the residency of an idle engine.
func NewSharedBlocks() *SharedBlocks { return &SharedBlocks{refCounts: map[uint64]int{}} }

// SharedPrefix returns how many leading blocks of a prompt running streams hold. The
// hashes are chained, so a block is held only if all blocks before it are.
func (r *SharedBlocks) SharedPrefix(prefix []uint64) int {
	return sort.Search(len(prefix), func(i int) bool { return r.refCounts[prefix[i]] == 0 })
}

// Add counts a stream and returns the number of leading blocks it shares. The
// others count as its own.
func (r *SharedBlocks) Add(prefix []uint64) int {
	shared := r.SharedPrefix(prefix)
	for _, hash := range prefix {
		r.refCounts[hash]++
	}
	return shared
}

// Remove takes out a stream that shared this number of blocks when it was added.
func (r *SharedBlocks) Remove(prefix []uint64, shared int) {
	for i, hash := range prefix {
		r.refCounts[hash]--
		remaining := r.refCounts[hash]
		if remaining == 0 {
			delete(r.refCounts, hash)
		}
		switch {
		case i >= shared && remaining > 0:
			r.orphans++
		case i < shared && remaining == 0:
			r.orphans--
		}
	}
}

// Orphans returns the number of held blocks that no running stream counts as its own.
func (r *SharedBlocks) Orphans() int { return r.orphans }

package scheduling

import "sort"

// SharedBlocks counts how many running streams of one engine hold each prompt block. A
// block that several streams hold takes up memory only once.
type SharedBlocks struct {
	refCounts map[uint64]int
	// orphans is the number of blocks whose owner, the first stream to hold them, has
	// ended while other streams still hold them.
	orphans int
}

// NewSharedBlocks returns the state of an idle engine.
func NewSharedBlocks() *SharedBlocks { return &SharedBlocks{refCounts: map[uint64]int{}} }

// SharedPrefix returns how many leading blocks of a prompt are held by running
// streams. The hashes are chained, so a block can only be held if all blocks before it
// are.
func (s *SharedBlocks) SharedPrefix(prefix []uint64) int {
	return sort.Search(len(prefix), func(i int) bool { return s.refCounts[prefix[i]] == 0 })
}

// Add adds a stream and returns the number of leading blocks that it shares with
// others. The stream owns its remaining blocks.
func (s *SharedBlocks) Add(prefix []uint64) int {
	shared := s.SharedPrefix(prefix)
	for _, hash := range prefix {
		s.refCounts[hash]++
	}
	return shared
}

// Remove removes a stream that shared the given number of blocks when it was added.
func (s *SharedBlocks) Remove(prefix []uint64, shared int) {
	for i, hash := range prefix {
		s.refCounts[hash]--
		remaining := s.refCounts[hash]
		if remaining == 0 {
			delete(s.refCounts, hash)
		}
		switch {
		case i >= shared && remaining > 0:
			s.orphans++
		case i < shared && remaining == 0:
			s.orphans--
		}
	}
}

// Orphans returns the number of blocks in use that no running stream owns.
func (s *SharedBlocks) Orphans() int { return s.orphans }

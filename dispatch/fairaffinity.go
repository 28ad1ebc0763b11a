package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/scheduling"
)

// Affinity selects how engines with the prefix of a prompt are found.
type Affinity int

// Ways to find engines with a prefix.
const (
	// AffinityAll uses cache events and the prompts of running streams.
	AffinityAll Affinity = iota
	// AffinityRunning uses the prompts of running streams only.
	AffinityRunning
	// AffinityEvents uses cache events only.
	AffinityEvents
	// AffinityHash prefers engines by rendezvous hashing of the prefix, up to a load bound.
	AffinityHash
	// AffinityNone ignores prefixes.
	AffinityNone
)

const (
	// affinityBlock is the block whose chained hash is the key of AffinityHash.
	affinityBlock = 15
	// affinityBound limits the streams of a preferred engine, relative to the mean.
	affinityBound = 1.25
)

// findPrefix sets matches to engines that may have the prefix of a prompt.
func (f *fair) findPrefix(r *waitingRequest) {
	f.matches = f.matches[:0]
	switch f.opts.Affinity {
	case AffinityAll, AffinityEvents:
		f.matches = f.prefixes.Lookup(r.PrefixHashes, candidatesByPrefix, f.matches)
	case AffinityHash:
		f.matches = f.rendezvous(r)
	}
}

func (f *fair) prefixBlocks(matched, shared int) int {
	switch f.opts.Affinity {
	case AffinityAll, AffinityRunning:
		return max(matched, shared)
	case AffinityNone:
		return 0
	}
	return matched
}

// rendezvous returns the first engine by rendezvous hashing below the load bound.
func (f *fair) rendezvous(r *waitingRequest) []scheduling.Match {
	if len(r.PrefixHashes) == 0 || len(f.order) == 0 {
		return f.matches
	}
	key := strconv.FormatUint(r.PrefixHashes[min(affinityBlock, len(r.PrefixHashes)-1)], 16)
	ranked := slices.Clone(f.order)
	slices.SortFunc(ranked, func(a, b *engine) int {
		return cmp.Compare(xxhash.Sum64String(key+b.id), xxhash.Sum64String(key+a.id))
	})
	bound := affinityBound * float64(len(f.streams)+1) / float64(len(f.order))
	for _, e := range ranked {
		if float64(e.window.Streams()) < bound {
			return append(f.matches, scheduling.Match{Handle: e.handle, Blocks: len(r.PrefixHashes)})
		}
	}
	return f.matches
}

package scheduling

// maxIndexedBlocks limits the index entries of one engine.
const maxIndexedBlocks = 1 << 16

// maxHolders limits the engines recorded for one block, so that the cost of an update
// does not grow with the size of the group. More holders would not improve the
// selection.
const maxHolders = 32

// PrefixIndex records which engines have which prompt blocks cached, based on their
// cache events. It is approximate: events arrive late, and a gap in the sequence
// numbers discards all entries of that engine.
type PrefixIndex struct {
	holders map[uint64][]holder
	engines map[int]*engineCache
}

// holder is an engine that has a block cached. position is the index of the block in
// that engine's list.
type holder struct {
	handle   int
	position int
}

type engineCache struct {
	sequence uint64
	blocks   []blockRef
}

// blockRef is a cached block. holderPosition is the index of the engine in the block's
// list of holders.
type blockRef struct {
	hash           uint64
	holderPosition int
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{holders: map[uint64][]holder{}, engines: map[int]*engineCache{}}
}

// Update applies a cache event of an engine. Events that are not newer than the last
// one are ignored.
func (x *PrefixIndex) Update(handle int, sequence uint64, stored, evicted []uint64, cleared bool) {
	c := x.engines[handle]
	if c == nil {
		c = &engineCache{}
		x.engines[handle] = c
	} else if sequence <= c.sequence {
		return
	} else if sequence != c.sequence+1 {
		x.clear(c)
	}
	c.sequence = sequence
	if cleared {
		x.clear(c)
	}
	for _, hash := range evicted {
		x.evict(handle, c, hash)
	}
	for _, hash := range stored {
		x.store(handle, c, hash)
	}
}

// Remove removes an engine and all its entries.
func (x *PrefixIndex) Remove(handle int) {
	if c := x.engines[handle]; c != nil {
		x.clear(c)
		delete(x.engines, handle)
	}
}

func (x *PrefixIndex) store(handle int, c *engineCache, hash uint64) {
	if len(c.blocks) >= maxIndexedBlocks || len(x.holders[hash]) >= maxHolders || x.find(handle, hash) >= 0 {
		return
	}
	x.holders[hash] = append(x.holders[hash], holder{handle: handle, position: len(c.blocks)})
	c.blocks = append(c.blocks, blockRef{hash: hash, holderPosition: len(x.holders[hash]) - 1})
}

func (x *PrefixIndex) evict(handle int, c *engineCache, hash uint64) {
	if position := x.find(handle, hash); position >= 0 {
		x.remove(c, x.holders[hash][position].position)
	}
}

func (x *PrefixIndex) find(handle int, hash uint64) int {
	for i, h := range x.holders[hash] {
		if h.handle == handle {
			return i
		}
	}
	return -1
}

func (x *PrefixIndex) clear(c *engineCache) {
	for len(c.blocks) > 0 {
		x.remove(c, len(c.blocks)-1)
	}
}

// remove deletes the entry at a position of the engine's list. In both lists, the last
// entry is moved to the position that becomes free.
func (x *PrefixIndex) remove(c *engineCache, position int) {
	ref := c.blocks[position]
	holders := x.holders[ref.hash]
	last := len(holders) - 1
	if ref.holderPosition != last {
		moved := holders[last]
		holders[ref.holderPosition] = moved
		x.engines[moved.handle].blocks[moved.position].holderPosition = ref.holderPosition
	}
	if last == 0 {
		delete(x.holders, ref.hash)
	} else {
		x.holders[ref.hash] = holders[:last]
	}
	end := len(c.blocks) - 1
	if position != end {
		c.blocks[position] = c.blocks[end]
		x.holders[c.blocks[position].hash][c.blocks[position].holderPosition].position = position
	}
	c.blocks = c.blocks[:end]
}

// Match is an engine and the number of leading prompt blocks that it has cached.
type Match struct {
	Handle, Blocks int
}

// Lookup appends engines that have leading blocks of the prompt cached, those with the
// most blocks first, until matches holds limit engines.
func (x *PrefixIndex) Lookup(prefix []uint64, limit int, matches []Match) []Match {
	for i := len(prefix) - 1; i >= 0; i-- {
		for _, h := range x.holders[prefix[i]] {
			if len(matches) >= limit {
				return matches
			}
			if !matched(matches, h.handle) {
				matches = append(matches, Match{Handle: h.handle, Blocks: i + 1})
			}
		}
	}
	return matches
}

func matched(matches []Match, handle int) bool {
	for _, m := range matches {
		if m.Handle == handle {
			return true
		}
	}
	return false
}

package enginemodel

import (
	"container/list"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// cachedBlock is a block of the prefix cache.
type cachedBlock struct {
	hash uint64
	refs int
	// unused is its element in the list of blocks without references, the longest
	// unreferenced first.
	unused *list.Element
}

// memory is the key-value memory of an engine. Blocks are free, owned by one
// sequence, or in the prefix cache.
type memory struct {
	settings Settings
	owned    int
	cache    map[uint64]*cachedBlock
	unused   *list.List
	changes  dispatch.CacheEvent
	events   []timedEvent
	sequence uint64
}

// timedEvent is a cache event with its time.
type timedEvent struct {
	at time.Time
	dispatch.CacheEvent
}

func newMemory(s Settings) *memory {
	return &memory{settings: s, cache: map[uint64]*cachedBlock{}, unused: list.New()}
}

func (m *memory) blocksFor(tokens int) int {
	return (tokens + m.settings.BlockTokens - 1) / m.settings.BlockTokens
}

func (m *memory) free() int { return m.settings.Blocks - m.owned - len(m.cache) }

// used counts blocks that sequences hold. Cached blocks without references can
// be evicted at any time and do not count.
func (m *memory) used() int { return m.owned + len(m.cache) - m.unused.Len() }

// allocate assigns blocks to a sequence, evicting unused blocks of the cache if needed.
func (m *memory) allocate(g *generation, blocks int) bool {
	if m.free()+m.unused.Len() < blocks {
		return false
	}
	for m.free() < blocks {
		m.evict()
	}
	m.owned += blocks
	g.blocks += blocks
	return true
}

// admit allocates the blocks for a sequence's context, sharing the longest cached
// prefix. possible is false if it can never fit.
func (m *memory) admit(g *generation) (fits, possible bool) {
	need := m.blocksFor(g.contextLength() + 1)
	if need+m.settings.WatermarkBlocks > m.settings.Blocks {
		return false, false
	}
	for _, h := range g.Prefix {
		c, ok := m.cache[h]
		if !ok {
			break
		}
		m.reference(g, c)
	}
	need -= len(g.shared)
	if m.free()+m.unused.Len() < need+m.settings.WatermarkBlocks || !m.allocate(g, need) {
		m.release(g)
		return false, true
	}
	return true, true
}

func (m *memory) reference(g *generation, c *cachedBlock) {
	if c.refs++; c.refs == 1 {
		m.unused.Remove(c.unused)
		c.unused = nil
	}
	g.shared = append(g.shared, c)
}

// store moves the blocks of a computed prompt prefix to the cache.
func (m *memory) store(g *generation) {
	for _, h := range g.Prefix[len(g.shared):] {
		if c, ok := m.cache[h]; ok {
			m.reference(g, c)
		} else {
			if len(m.cache) >= m.settings.CacheBlocks && !m.evict() {
				return
			}
			c := &cachedBlock{hash: h, refs: 1}
			m.cache[h] = c
			g.shared = append(g.shared, c)
			m.changes.Stored = append(m.changes.Stored, h)
		}
		g.blocks--
		m.owned--
	}
}

// release frees all memory of a sequence. Its shared blocks stay cached; the end of
// a prefix is evicted first, since it is useless without its beginning.
func (m *memory) release(g *generation) {
	m.owned -= g.blocks
	g.blocks = 0
	for i := len(g.shared) - 1; i >= 0; i-- {
		c := g.shared[i]
		if c.refs--; c.refs == 0 {
			c.unused = m.unused.PushBack(c)
		}
	}
	g.shared = g.shared[:0]
}

// evict removes the cached block that has been without references for longest. It
// returns false if there is none.
func (m *memory) evict() bool {
	oldest := m.unused.Front()
	if oldest == nil {
		return false
	}
	c := m.unused.Remove(oldest).(*cachedBlock)
	delete(m.cache, c.hash)
	m.changes.Evicted = append(m.changes.Evicted, c.hash)
	return true
}

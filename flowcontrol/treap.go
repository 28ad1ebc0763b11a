package flowcontrol

// treapNode is a waiting item in the order of its organisation. Its children are ordered by
// key and sequence, and no child has a higher rank than its parent, which keeps the expected
// depth logarithmic.
type treapNode[T any] struct {
	left, right *Item[T]
	// size is the number of items below the node, including itself.
	size     int
	key      int64
	sequence uint64
	rank     uint64
}

// before reports whether an item is served before another one of its organisation.
func (i *Item[T]) before(other *Item[T]) bool {
	if i.key != other.key {
		return i.key < other.key
	}
	return i.sequence < other.sequence
}

// mixSequence hashes a sequence to the rank of a node (the finalizer of SplitMix64). The ranks
// need no secrecy, and equal calls give equal trees.
func mixSequence(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func treeSize[T any](root *Item[T]) int {
	if root == nil {
		return 0
	}
	return root.size
}

func (i *Item[T]) resize() { i.size = treeSize(i.left) + 1 + treeSize(i.right) }

// split splits a tree into the items before pivot and the others.
func split[T any](root, pivot *Item[T]) (before, others *Item[T]) {
	if root == nil {
		return nil, nil
	}
	if root.before(pivot) {
		root.right, others = split(root.right, pivot)
		root.resize()
		return root, others
	}
	before, root.left = split(root.left, pivot)
	root.resize()
	return before, root
}

// merge joins two trees, all items of the first being before those of the second.
func merge[T any](a, b *Item[T]) *Item[T] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.rank >= b.rank:
		a.right = merge(a.right, b)
		a.resize()
		return a
	default:
		b.left = merge(a, b.left)
		b.resize()
		return b
	}
}

// insert adds an item without children to a tree.
func insert[T any](root, item *Item[T]) *Item[T] {
	if root == nil || item.rank > root.rank {
		item.left, item.right = split(root, item)
		item.resize()
		return item
	}
	if item.before(root) {
		root.left = insert(root.left, item)
	} else {
		root.right = insert(root.right, item)
	}
	root.resize()
	return root
}

// remove removes an item of a tree.
func remove[T any](root, item *Item[T]) *Item[T] {
	if root == item {
		rest := merge(item.left, item.right)
		item.left, item.right = nil, nil
		return rest
	}
	if item.before(root) {
		root.left = remove(root.left, item)
	} else {
		root.right = remove(root.right, item)
	}
	root.resize()
	return root
}

// countBefore returns the number of items of a tree that are served before one that has the
// given key and arrives now.
func countBefore[T any](root *Item[T], key int64) int {
	n := 0
	for root != nil {
		if root.key <= key {
			n += treeSize(root.left) + 1
			root = root.right
		} else {
			root = root.left
		}
	}
	return n
}

// lastBefore returns the last item of a tree before the given one, or nil.
func lastBefore[T any](root, item *Item[T]) *Item[T] {
	var last *Item[T]
	for root != nil {
		if root.before(item) {
			last, root = root, root.right
		} else {
			root = root.left
		}
	}
	return last
}

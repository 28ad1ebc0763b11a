package flowcontrol

// orgQueue holds the waiting requests of one organisation, ordered by key and arrival.
type orgQueue[T any] struct {
	flow
	name   string
	tenant *tenantQueue[T]
	// first and last are the ends of the list of the waiting requests, root is the root of
	// their tree. There is no tree until a request goes before one that has arrived earlier.
	first, last, root *Item[T]
	length            int
}

// insert adds an item to the list, and to the tree if there is one or the item is not the last.
func (oq *orgQueue[T]) insert(item *Item[T]) {
	oq.length++
	if oq.last == nil || oq.last.before(item) {
		oq.link(oq.last, item, nil)
		if oq.root != nil {
			oq.root = insert(oq.root, item)
		}
		return
	}
	oq.buildTree()
	if before := lastBefore(oq.root, item); before != nil {
		oq.link(before, item, before.next)
	} else {
		oq.link(nil, item, oq.first)
	}
	oq.root = insert(oq.root, item)
}

// buildTree builds the tree from the list if there is none.
func (oq *orgQueue[T]) buildTree() {
	if oq.root != nil {
		return
	}
	for i := oq.first; i != nil; i = i.next {
		oq.root = insert(oq.root, i)
	}
}

// link puts an item into the list between two others, which may be nil.
func (oq *orgQueue[T]) link(prev, item, next *Item[T]) {
	item.prev, item.next = prev, next
	if prev == nil {
		oq.first = item
	} else {
		prev.next = item
	}
	if next == nil {
		oq.last = item
	} else {
		next.prev = item
	}
}

// remove removes an item from the list and from the tree.
func (oq *orgQueue[T]) remove(item *Item[T]) {
	if item.prev == nil {
		oq.first = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		oq.last = item.prev
	} else {
		item.next.prev = item.prev
	}
	if oq.root != nil {
		oq.root = remove(oq.root, item)
	}
	oq.length--
}

// ahead returns the number of items that go before one that has a key and arrives now.
func (oq *orgQueue[T]) ahead(key int64) int {
	if oq.last == nil || oq.last.key <= key {
		return oq.length
	}
	oq.buildTree()
	return countBefore(oq.root, key)
}

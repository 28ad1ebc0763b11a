package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// targets returns, for each VM, the peers to which it sends heartbeats. The VMs
// are arranged in fanout rings, each in a different pseudo-random order, and a VM
// sends to its successor in each ring. Each VM thus sends to, and is monitored
// by, about fanout others, and a change reaches all VMs in a logarithmic number
// of hops. A single ring with several successors would need a linear number.
func targets(ids []string, fanout int) map[string][]string {
	out := make(map[string][]string, len(ids))
	for r := range min(fanout, len(ids)-1) {
		ring := ringOrder(ids, r)
		for i, id := range ring {
			for step := 1; step < len(ring); step++ {
				next := ring[(i+step)%len(ring)]
				if !slices.Contains(out[id], next) {
					out[id] = append(out[id], next)
					break
				}
			}
		}
	}
	return out
}

func ringOrder(ids []string, ring int) []string {
	type position struct {
		id   string
		hash uint64
	}
	prefix := strconv.Itoa(ring) + "/"
	positions := make([]position, 0, len(ids))
	for _, id := range ids {
		positions = append(positions, position{id, xxhash.Sum64String(prefix + id)})
	}
	slices.SortFunc(positions, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]string, len(positions))
	for i, p := range positions {
		order[i] = p.id
	}
	return order
}

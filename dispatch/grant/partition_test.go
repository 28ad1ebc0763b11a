package grant

import (
	"fmt"
	"slices"
	"testing"
)

// entryGroup is the group size of entry VMs on the users' platform.
const entryGroup = 128

// Guards against a pool that changes its groups, and with them its dispatchers,
// each time that engines leave or join. With groups of 32 engines, a pool in which
// 6 of 44 engines left every 3.3 s and were replaced 1.6 s later switched between
// one group and two 21 times in 34 s (seen on scale-1 of tilbod-fleet-grown).
func TestPoolKeepsItsDispatcherWhileEnginesChange(t *testing.T) {
	engines := make([]string, 44)
	for i := range engines {
		engines[i] = fmt.Sprintf("engine-%d", i)
	}
	for n := len(engines); n < 160; n += 6 {
		engines = engines[6:]
		for _, pool := range [][]string{engines, append(slices.Clone(engines), replacementEngines(n)...)} {
			groups := partition("m", "r", slices.Clone(pool), entryGroup)
			if len(groups) != 1 || groups[0].name != "m@r/" {
				t.Fatalf("%d engines are in %d groups", len(pool), len(groups))
			}
			engines = pool
		}
	}
}

// replacementEngines returns the six engines that replace others.
func replacementEngines(n int) []string {
	var ids []string
	for i := range 6 {
		ids = append(ids, fmt.Sprintf("engine-%d", n+i))
	}
	return ids
}

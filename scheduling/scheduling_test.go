package scheduling

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an index that stays wrong after lost events, or that confuses engines
// when entries move within its lists.
func TestPrefixIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewPrefixIndex()
		want := map[int]map[uint64]bool{1: {}, 2: {}, 3: {}}
		sequence := map[int]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			engine := rapid.IntRange(1, 3).Draw(t, "engine")
			stored := rapid.SliceOfN(rapid.Uint64Range(1, 8), 0, 4).Draw(t, "stored")
			evicted := rapid.SliceOfN(rapid.Uint64Range(1, 8), 0, 4).Draw(t, "evicted")
			lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0 && sequence[engine] > 0
			cleared := rapid.IntRange(0, 9).Draw(t, "cleared") == 0
			sequence[engine]++
			if lost {
				sequence[engine]++
			}
			if lost || cleared {
				want[engine] = map[uint64]bool{}
			}
			for _, h := range evicted {
				delete(want[engine], h)
			}
			for _, h := range stored {
				want[engine][h] = true
			}
			x.Update(engine, sequence[engine], stored, evicted, cleared)
		}
		for hash := uint64(1); hash <= 8; hash++ {
			var got []int
			for _, m := range x.Lookup([]uint64{hash}, 3, nil) {
				got = append(got, m.Handle)
			}
			slices.Sort(got)
			var expected []int
			for engine := 1; engine <= 3; engine++ {
				if want[engine][hash] {
					expected = append(expected, engine)
				}
			}
			if !slices.Equal(got, expected) {
				t.Fatalf("block %d is cached by %v, want %v", hash, got, expected)
			}
		}
		for engine := 1; engine <= 3; engine++ {
			x.Remove(engine)
		}
		if len(x.holders)+len(x.engines) > 0 {
			t.Fatal("entries remain after all engines were removed")
		}
	})
}

// Guards against a capacity index that does not return the engines with the most free
// capacity.
func TestCapacityIndexTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewCapacityIndex()
		free := map[int]int{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			handle := rapid.IntRange(1, 20).Draw(t, "handle")
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				x.Remove(handle)
				delete(free, handle)
				continue
			}
			free[handle] = rapid.IntRange(-3, 3).Draw(t, "room")
			x.Set(handle, float64(free[handle]))
		}
		var want []int
		for handle := range free {
			want = append(want, handle)
		}
		slices.SortFunc(want, func(a, b int) int {
			return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b))
		})
		if got := x.Top(5, nil); !slices.Equal(got, want[:min(5, len(want))]) {
			t.Fatalf("top engines are %v, want a prefix of %v", got, want)
		}
	})
}

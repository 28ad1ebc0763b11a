package stillness

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that is said to have stood still while it waited, which would excuse
// every late answer, and against a stall that is not counted, or beyond the times asked for.
func TestOnlyStallsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := Start()
		begin := time.Now()
		time.Sleep(time.Second)
		if still := m.Between(begin, time.Now()); still != 0 {
			t.Errorf("stood still for %v while the process waited for 1 s", still)
		}
		m.Stop()
		m.record(m.last.Add(period + 300*time.Millisecond))
		to := m.last
		for _, c := range []struct{ from, to, want time.Duration }{
			{time.Second, 0, 300 * time.Millisecond},
			{100 * time.Millisecond, 0, 100 * time.Millisecond},
			{time.Second, 100 * time.Millisecond, 200 * time.Millisecond},
			{2 * time.Second, time.Second, 0},
		} {
			if got := m.Between(to.Add(-c.from), to.Add(-c.to)); got != c.want {
				t.Errorf("stood still for %v from %v to %v before the end, want %v", got, c.from, c.to, c.want)
			}
		}
	})
}

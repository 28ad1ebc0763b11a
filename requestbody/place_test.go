package requestbody

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a second call of End, which may come after the request has ended.
func TestBodyThatGivesWayToAConnectionEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, ends := newMemory(), 0
		r := m.Reserve("a")
		m.began(r, testHead, Body{End: func() { ends++ }})
		time.Sleep(progressTime + time.Millisecond)
		if !m.EvictStalled() || m.EvictStalled() || ends != 1 {
			t.Errorf("the body was ended %d times", ends)
		}
	})
}

// Guards against bodies that stop short and keep connections from others, and against bodies that
// arrive slowly and would give way to new connections.
func TestStalledBodyGivesWayToAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		stalled, larger := begin(m, "a", bodyLimit, 30<<10), begin(m, "b", bodyLimit, 100<<10)
		time.Sleep(progressTime + time.Millisecond)
		arriving := begin(m, "c", bodyLimit, 200<<10)
		for _, want := range []*upload{larger, stalled} {
			if !m.EvictStalled() {
				t.Fatal("no body gives way")
			}
			synctest.Wait()
			if evicted := want.gaveWay(); evicted == nil || evicted.For != newConnection {
				t.Errorf("another body than the largest without progress gave way: %v", evicted)
			}
		}
		if m.EvictStalled() {
			t.Errorf("a body that arrives gave way: %v", arriving.gaveWay())
		}
		_ = arriving.writer.Close()
	})
}

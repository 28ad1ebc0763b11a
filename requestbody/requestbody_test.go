package requestbody

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaarch/vanillaarch/membudget"
)

const (
	testHead  = 10 << 10
	testLimit = 1000 << 10
	// testPart is the part for small requests, testSmall the size of the largest of them.
	testPart, testSmall = 50 << 10, 50 << 10
	bodyLimit           = 240 << 10
)

// upload is a request whose body arrives as the test sends it.
type upload struct {
	request *Request
	writer  *io.PipeWriter
	body    []byte
	err     error
	done    bool
}

// newMemory returns a memory on the clock of a bubble.
func newMemory() *Memory {
	begin := time.Now()
	return New(Options{
		LimitBytes: testLimit, SmallPartBytes: testPart, SmallRequestBytes: testSmall,
		Now: func() time.Duration { return time.Since(begin) },
	})
}

// begin begins a request with a body of the announced length, and sends a part of it.
func begin(m *Memory, owner string, announced, sent int) *upload {
	reader, writer := io.Pipe()
	u := &upload{request: m.Reserve(owner), writer: writer}
	go func() {
		u.body, u.err = u.request.Read(context.Background(), testHead, Body{
			Reader: reader, Length: int64(announced), Limit: bodyLimit,
			End: func() { _ = reader.CloseWithError(io.ErrClosedPipe) },
		})
		u.done = true
		if u.err != nil {
			u.request.Release()
		}
	}()
	go func() { u.send(sent) }()
	synctest.Wait()
	return u
}

func (u *upload) send(n int) { _, _ = u.writer.Write(make([]byte, n)) }

// complete sends the rest of a body.
func (u *upload) complete(n int) {
	u.send(n)
	_ = u.writer.Close()
	synctest.Wait()
}

// gaveWay returns how a body gave way, nil if it did not.
func (u *upload) gaveWay() *membudget.EvictedError {
	var evicted *membudget.EvictedError
	errors.As(u.err, &evicted)
	return evicted
}

// lookup reserves memory for a request without a body.
func lookup(m *Memory, owner string, bytes int64) error {
	err := m.Reserve(owner).Admit(context.Background(), bytes)
	synctest.Wait()
	return err
}

// arrival is a body that begins, and what has come of it.
type arrival struct {
	owner           string
	announced, sent int
	// later is the time to the next arrival.
	later time.Duration
}

// Guards against callers that behave and pay for those that don't: bodies that stopped short kept
// the memory, and whoever came next was refused, plain lookups included.
func TestWhoGivesWay(t *testing.T) {
	const full, half = bodyLimit, bodyLimit / 2
	for name, test := range map[string]struct {
		arrivals []arrival
		// owner is the owner of the lookup that comes last, needs its memory.
		owner string
		needs int64
		// gives are the numbers of the arrivals that give way.
		gives []int
	}{
		"nobody while there is memory": {[]arrival{{"a", full, 200 << 10, time.Minute}}, "z", 40 << 10, nil},
		"one without progress, then the largest": {
			[]arrival{{"a", full, 100 << 10, 2 * time.Second}, {"b", full, 230 << 10, 0}, {"c", full, 220 << 10, 0}},
			"z",
			300 << 10,
			[]int{0},
		},
		"the largest of those that make progress": {
			[]arrival{{"a", half, 100 << 10, 0}, {"b", full, 230 << 10, 0}, {"c", half, 110 << 10, 0}, {"d", half, 110 << 10, 0}},
			"z",
			120 << 10,
			[]int{1},
		},
		"the largest of the owner that holds most": {
			[]arrival{{"a", half, 110 << 10, 0}, {"a", 100 << 10, 90 << 10, 0}, {"a", 90 << 10, 80 << 10, 0}, {"b", full, 230 << 10, 0}},
			"z",
			120 << 10,
			[]int{0},
		},
		"the largest of the same owner": {
			[]arrival{{"z", half, 100 << 10, 0}, {"z", full, 230 << 10, 0}, {"z", half, 110 << 10, 0}, {"z", half, 110 << 10, 0}},
			"z", 120 << 10,
			[]int{1},
		},
		"nobody of similar size": {
			[]arrival{{"a", full, 230 << 10, 0}, {"b", full, 230 << 10, 0}, {"c", full, 230 << 10, 0}},
			"z", 200 << 10, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				var uploads []*upload
				for _, a := range test.arrivals {
					uploads = append(uploads, begin(m, a.owner, a.announced, a.sent))
					time.Sleep(a.later)
				}
				before := m.Used()
				err := lookup(m, test.owner, test.needs)
				if fits := before+test.needs <= testLimit-testPart; (err == nil) != (fits || test.gives != nil) {
					t.Errorf("answer to the lookup: %v, %d bytes were used", err, before)
				}
				var gave []int
				for n, u := range uploads {
					if evicted := u.gaveWay(); evicted != nil {
						gave = append(gave, n)
						if evicted.For != test.owner || evicted.Owner != test.arrivals[n].owner || evicted.Bytes == 0 || evicted.OwnerBytes < evicted.Bytes {
							t.Errorf("body %d: %v", n, evicted)
						}
					}
					_ = u.writer.Close()
				}
				if !slices.Equal(gave, test.gives) {
					t.Errorf("bodies %v gave way, want %v", gave, test.gives)
				}
			})
		})
	}
}

// Guards against lookups that wait while bodies hold the memory that stopped short: a request
// without a body counted as one that makes no progress, and the first search found nobody.
func TestStoppedBodiesGiveWayToALookupAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		for _, owner := range []string{"a", "b", "c", "d"} {
			u := begin(m, owner, bodyLimit, bodyLimit-1)
			defer func() { _ = u.writer.Close() }()
		}
		time.Sleep(2 * progressTime)
		const needs = 200 << 10
		if begun := time.Now(); lookup(m, "z", needs) != nil || time.Since(begun) > pollInterval {
			t.Errorf("no memory, or only after %v", time.Since(begun))
		}
	})
}

// Guards against the loss of a body that is complete: the request may have been passed on.
func TestCompleteBodiesDoNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		for _, owner := range []string{"a", "a", "a"} {
			u := begin(m, owner, bodyLimit, bodyLimit-1)
			u.complete(1)
			if u.err != nil || len(u.body) != bodyLimit {
				t.Fatalf("%d bytes, %v", len(u.body), u.err)
			}
		}
		time.Sleep(time.Minute)
		var exceeded *membudget.ExceededError
		if begun := time.Now(); !errors.As(lookup(m, "z", 200<<10), &exceeded) || time.Since(begun) != maxWait {
			t.Errorf("a large request: %v after %v", exceeded, time.Since(begun))
		}
		if begun := time.Now(); lookup(m, "z", 40<<10) != nil || time.Since(begun) > 0 {
			t.Errorf("a small request finds no memory, or only after %v", time.Since(begun))
		}
	})
}

// Guards against the refusal of a slow caller in calm: 16 bytes a second, for hours.
func TestSlowBodiesGetThroughInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		u := begin(m, "a", bodyLimit, 0)
		for range bodyLimit / 16 {
			time.Sleep(time.Second)
			u.send(16)
		}
		u.complete(0)
		if u.err != nil || len(u.body) != bodyLimit {
			t.Errorf("%d bytes, %v", len(u.body), u.err)
		}
	})
}

// Guards against bodies that are announced and never sent: each took its announced size.
func TestAnnouncedBodiesTakeLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const announced, most = 10, 10 * (testHead + firstBytes + 1<<10)
		m := newMemory()
		for range announced {
			u := begin(m, "a", bodyLimit, 0)
			defer func() { _ = u.writer.Close() }()
		}
		if used := m.Used(); used > most {
			t.Errorf("%d bodies that were not sent take %d bytes, at most %d expected", announced, used, most)
		}
	})
}

// Guards against memory that is given out twice: that of a body that gave way counts until it was
// dropped, and no second body gives way for the same request.
func TestMemoryOfABodyThatGaveWayCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		hold := make(chan struct{})
		first := &Request{m: m, owner: "a", memory: m.budget.Reserve("a")}
		if err := first.raise(context.Background(), 500<<10, 500<<10); err != nil {
			t.Fatal(err)
		}
		ended := false
		m.began(first, first.small, Body{End: func() { ended = true }})
		go func() { // Drops its memory late.
			<-hold
			_ = m.ended(first)
			first.Release()
		}()
		second := begin(m, "b", bodyLimit, 230<<10)
		time.Sleep(2 * progressTime)
		answer := make(chan error, 1)
		go func() { answer <- m.Reserve("z").Admit(context.Background(), 300<<10) }()
		time.Sleep(maxWait / 2)
		if used := m.Used(); !ended || used < 800<<10 || second.gaveWay() != nil {
			t.Errorf("first gave way: %v, second: %v, %d bytes count", ended, second.gaveWay(), used)
		}
		close(hold)
		if err := <-answer; err != nil {
			t.Error(err)
		}
		_ = second.writer.Close()
	})
}

// Guards against large buffers that count as free before they are: the garbage of bodies of 4 MB
// took a VM over its memory.
func TestLargeBuffersCountUntilCollected(t *testing.T) {
	const large = 4 * minLargeBytes
	m := New(Options{LimitBytes: 2 * large})
	for n := range 8 {
		r := m.Reserve("a")
		body, err := r.Read(t.Context(), testHead, Body{Reader: io.LimitReader(zeros{}, large), Length: large, Limit: large, End: func() {}})
		if err != nil || len(body) != large {
			t.Fatalf("body %d: %d bytes, %v", n, len(body), err)
		}
		if used := m.Used(); used < large || used > m.Limit() {
			t.Errorf("%d bytes count", used)
		}
		r.Release()
		if used := m.Used(); m.garbage.waiting() > used {
			t.Errorf("%d bytes count, of them %d that were not collected", used, m.garbage.waiting())
		}
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against refused bodies that are read as fast as they come: some callers had a VM read
// 1 GB/s.
func TestAllowance(t *testing.T) {
	now := time.Duration(0)
	a := NewAllowance(100, func() time.Duration { return now })
	if !a.Take(100) || a.Take(1) {
		t.Error("not exactly one second's bytes at first")
	}
	if now += 500 * time.Millisecond; !a.Take(50) || a.Take(1) {
		t.Error("not exactly 50 bytes after half a second")
	}
	if now += time.Hour; !a.Take(100) || a.Take(1) {
		t.Error("more than one second's bytes are saved up")
	}
}

package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against answers without end that together take the memory of a VM: each
// was bounded by 8 MB, and a VM has 120 MB. Usual answers of other servers must
// still be read beside them.
func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	const vmBytes, answers = 120 << 20, 200
	memory := newBufferBudget(vmBytes)
	var holds []*bufferReservation
	refused := 0
	for range answers {
		h := &bufferReservation{budget: memory}
		holds = append(holds, h)
		if _, err := h.readAll(zeros{}, maxResponseBytes); err != nil {
			if _, ok := errors.Into[*BufferBudgetError](err); !ok {
				t.Fatal(err)
			}
			refused++
		}
		if used := memory.used.Load(); used > vmBytes/bufferMemoryDivisor {
			t.Fatalf("%d bytes are held", used)
		}
	}
	if refused == 0 {
		t.Error("no answer was given up")
	}
	usual := strings.Repeat("x", uncountedResponseBytes/4)
	body, err := (&bufferReservation{budget: memory}).readAll(strings.NewReader(usual), maxResponseBytes)
	if err != nil || string(body) != usual {
		t.Errorf("a usual answer: %d bytes, %v", len(body), err)
	}
	for _, h := range holds {
		h.release()
	}
	if used := memory.used.Load(); used != 0 {
		t.Errorf("%d bytes are held after all answers", used)
	}
}

// Guards against answers that are changed or cut while their buffer grows.
func TestAnswersAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, initialResponseBufferBytes - 1, initialResponseBufferBytes, initialResponseBufferBytes + 1, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		got, err := (&bufferReservation{budget: newBufferBudget(0)}).readAll(halfReader{bytes.NewReader(want)}, maxResponseBytes)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d of %d bytes, %v", len(got), size, err)
		}
	}
	const limit = 100
	got, err := (&bufferReservation{budget: newBufferBudget(0)}).readAll(zeros{}, limit)
	if err != nil || len(got) <= limit || len(got) > initialResponseBufferBytes {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// halfReader reads at most half of what is asked for.
type halfReader struct{ r io.Reader }

func (h halfReader) Read(p []byte) (int, error) { return h.r.Read(p[:(len(p)+1)/2]) }

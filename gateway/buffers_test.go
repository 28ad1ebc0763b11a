package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against endless responses that together exhaust the memory of a VM: a
// limit of 8 MB per response doesn't prevent this on a VM with 120 MB. Responses
// of typical size from other servers must still be read meanwhile.
func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	const vmBytes, answers = 120 << 20, 200
	budget := newBufferBudget(vmBytes)
	var reservations []*bufferReservation
	refused := 0
	for range answers {
		res := &bufferReservation{budget: budget}
		reservations = append(reservations, res)
		if _, err := res.readAll(zeros{}, maxResponseBytes); err != nil {
			if _, ok := errors.Into[*BufferBudgetError](err); !ok {
				t.Fatal(err)
			}
			refused++
		}
		if used := budget.used.Load(); used > vmBytes/bufferMemoryDivisor {
			t.Fatalf("%d bytes are reserved", used)
		}
	}
	if refused == 0 {
		t.Error("no response was abandoned")
	}
	typical := strings.Repeat("x", uncountedResponseBytes/4)
	body, err := (&bufferReservation{budget: budget}).readAll(strings.NewReader(typical), maxResponseBytes)
	if err != nil || string(body) != typical {
		t.Errorf("response of typical size: %d bytes, %v", len(body), err)
	}
	for _, res := range reservations {
		res.release()
	}
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are still reserved after all responses were released", used)
	}
}

// Guards against responses that are corrupted or truncated while their buffer grows.
func TestAnswersAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, initialResponseBufferBytes - 1, initialResponseBufferBytes, initialResponseBufferBytes + 1, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		got, err := (&bufferReservation{budget: newBufferBudget(0)}).readAll(halfReader{bytes.NewReader(want)}, maxResponseBytes)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("read %d of %d bytes, error %v", len(got), size, err)
		}
	}
	const limit = 100
	got, err := (&bufferReservation{budget: newBufferBudget(0)}).readAll(zeros{}, limit)
	if err != nil || len(got) <= limit || len(got) > initialResponseBufferBytes {
		t.Errorf("read %d bytes, error %v", len(got), err)
	}
}

// halfReader returns at most half of the requested bytes per read.
type halfReader struct{ r io.Reader }

func (h halfReader) Read(p []byte) (int, error) { return h.r.Read(p[:(len(p)+1)/2]) }

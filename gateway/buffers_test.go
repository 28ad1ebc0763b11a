package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/route"
)

// Guards against endless responses that together exhaust the memory of a VM: a
// limit of 8 MB per response doesn't prevent this on a VM with 120 MB. Responses
// of typical size from other servers must still be read meanwhile.
func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	const vmBytes, answers = 120 << 20, 200
	budget := newAnswerBudget(vmBytes)
	var reservations []*membudget.Reservation
	refused := 0
	for range answers {
		res := budget.Reserve("")
		reservations = append(reservations, res)
		if _, err := readAll(res, zeros{}, maxResponseBytes); err != nil {
			if _, ok := errors.Into[*membudget.ExceededError](err); !ok {
				t.Fatal(err)
			}
			refused++
		}
		if used := budget.Used(); used > vmBytes/bufferMemoryDivisor {
			t.Fatalf("%d bytes are reserved", used)
		}
	}
	if refused == 0 {
		t.Error("no response was abandoned")
	}
	typical := strings.Repeat("x", uncountedResponseBytes/4)
	body, err := readAll(budget.Reserve(""), strings.NewReader(typical), maxResponseBytes)
	if err != nil || string(body) != typical {
		t.Errorf("response of typical size: %d bytes, %v", len(body), err)
	}
	for _, res := range reservations {
		res.Release()
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved after all responses were released", used)
	}
}

// Guards against responses that are corrupted or truncated while their buffer grows.
func TestAnswersAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, initialBufferBytes - 1, initialBufferBytes, initialBufferBytes + 1, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		got, err := readAll(newAnswerBudget(0).Reserve(""), halfReader{bytes.NewReader(want)}, maxResponseBytes)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("read %d of %d bytes, error %v", len(got), size, err)
		}
	}
	const limit = 100
	got, err := readAll(newAnswerBudget(0).Reserve(""), zeros{}, limit)
	if err != nil || len(got) <= limit || len(got) > initialBufferBytes {
		t.Errorf("read %d bytes, error %v", len(got), err)
	}
}

// halfReader returns at most half of the requested bytes per read.
type halfReader struct{ r io.Reader }

func (h halfReader) Read(p []byte) (int, error) { return h.r.Read(p[:(len(p)+1)/2]) }

// deadlineRecorder is a recorder that takes read deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// collectLimit bounds the wait for a collection to free buffers that are not used.
const collectLimit = 5 * time.Second

// Guards against a burst of requests with large bodies that exhausts the memory of a VM, each
// within the limit of the configuration. Those that do not fit are rejected after their body
// is read, with a length or in chunks, and fit once others have ended.
func TestBodiesOfRequestsShareTheMemory(t *testing.T) {
	const (
		vmBytes   = 20 << 20
		bodyBytes = 4 << 20
		requests  = 10
	)
	for name, length := range map[string]int64{"with a length": bodyBytes, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{
				Options: Options{Metrics: NewMetrics(metrics.NewRegistry())}, requestMemory: newRequestMemory(vmBytes),
				drain: newDrainState(), refusedBytes: requestbody.NewAllowance(refusedBytesPerSecond, boottime.Now),
			}
			snap := &control.Snapshot{Routes: route.NewTable(route.TableSpec{Limits: route.Limits{BodyBytes: bodyBytes}})}
			read := func() (*call, int, error) {
				body := bytes.NewReader(make([]byte, bodyBytes))
				c := &call{
					g: g, snap: snap, log: zap.NewNop(), w: deadlineRecorder{httptest.NewRecorder()},
					r: httptest.NewRequest(http.MethodPost, "/", body), deadline: boottime.Now() + time.Minute,
				}
				c.r.ContentLength = length
				control := http.NewResponseController(c.w)
				c.memory = g.requestMemory.Reserve("")
				got, err := c.bufferBody(t.Context(), control)
				if err == nil && len(got) != bodyBytes {
					t.Errorf("read %d bytes", len(got))
				}
				if err != nil {
					err = c.bodyNotRead(control, err)
				}
				return c, body.Len(), err
			}
			var accepted []*call
			for range requests {
				c, unread, err := read()
				_, full := errors.Into[*membudget.ExceededError](err)
				if err != nil && (!full || unread > 0) {
					t.Errorf("%v, %d bytes were not read", err, unread)
				}
				if err == nil {
					accepted = append(accepted, c)
				} else {
					c.memory.Release()
				}
				if used := g.requestMemory.Used(); used > g.requestMemory.Limit() || used > vmBytes {
					t.Errorf("%d bytes are reserved", used)
				}
			}
			if len(accepted) == 0 || len(accepted) == requests {
				t.Fatalf("%d of %d bodies were accepted", len(accepted), requests)
			}
			for _, c := range accepted {
				c.memory.Release()
			}
			// A large buffer counts until it was collected.
			accepted = nil
			for end := time.Now().Add(collectLimit); g.requestMemory.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
				runtime.GC()
			}
			if used := g.requestMemory.Used(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
			if _, _, err := read(); err != nil {
				t.Errorf("after the others have ended: %v", err)
			}
		})
	}
}

package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/route"
)

// cutRig plays one way in which a stream is cut after its first event.
type cutRig struct {
	*gatewayRig
	// answer is that of the first engine, copyAnswer that of an engine asked to go on from a copy,
	// and endAnswer that of the first engine to a final move. Nil means moveAnswer.
	answer     func(http.ResponseWriter, *http.Request)
	copyAnswer func(http.ResponseWriter)
	endAnswer  func(http.ResponseWriter)
	path       string
	// leaves makes the first engine leave.
	leaves bool
	// writer is what the answer is written to.
	writer http.ResponseWriter
	began  chan struct{}
	once   sync.Once
}

func newCutRig(t *testing.T) *cutRig {
	c := &cutRig{gatewayRig: newGatewayRig(t, 2), path: draftPath, writer: httptest.NewRecorder(), began: make(chan struct{})}
	c.configure(1, "desk", "engines")
	c.grantCopies(false, true)
	c.gatewayRig.answer = c.respond
	return c
}

func (c *cutRig) respond(_ string, w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.URL.Path == "/report":
		return false
	case r.URL.Path == "/kv-move":
		body, _ := io.ReadAll(r.Body)
		if c.endAnswer != nil && strings.Contains(string(body), `"last":true`) {
			c.endAnswer(w)
			return true
		}
		moveAnswer(w)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
	case r.Header.Get("Kv-From") != "":
		c.copyAnswer(w)
	default:
		c.answer(w, r)
	}
	return true
}

// begin sends the first event.
func (c *cutRig) begin(w http.ResponseWriter) {
	beginRun(w)
	c.once.Do(func() { close(c.began) })
}

// play sends one request and returns the log lines.
func (c *cutRig) play(t *testing.T, timeout time.Duration) *testlog.Buffer {
	t.Helper()
	lines := c.rigLog()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.leaves {
		go c.evacuateFirst(ctx)
	}
	c.serveRequest(c.writer, rigRequest(c.path, "run", timeout))
	cancel()
	c.Gateway.Close()
	return lines
}

// failingWriter fails the writes after the first event.
type failingWriter struct {
	*httptest.ResponseRecorder
	err error
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if w.Body.Len() > 0 {
		return 0, &net.OpError{Op: "write", Err: w.err}
	}
	return w.ResponseRecorder.Write(b)
}

// panickingTicket panics at the second event.
type panickingTicket struct {
	dispatch.Ticket
	events *atomic.Int64
}

func (t panickingTicket) Progress(int) {
	if t.events.Add(1) > 1 {
		panic("fault")
	}
}

// refusingQuarantine refuses every request once it is set.
type refusingQuarantine struct {
	allPrompts
	refuses atomic.Bool
}

func (q *refusingQuarantine) Check(*quarantine.Request) error {
	if q.refuses.Load() {
		return &quarantine.RefusedError{}
	}
	return nil
}

func sendPart(w http.ResponseWriter, part string) {
	_, _ = w.Write([]byte(part))
	_ = http.NewResponseController(w).Flush()
}

func breakOff(c *cutRig) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { c.begin(w); panic(http.ErrAbortHandler) }
}

func waitForEnd(c *cutRig) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) { c.begin(w); <-r.Context().Done() }
}

// sendAfterBegin sends a part after the first event, and holds the connection.
func sendAfterBegin(c *cutRig, part string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) { c.begin(w); sendPart(w, part); <-r.Context().Done() }
}

// resumable makes the streams of the rig go on without a copy, up to a number of attempts.
func (c *cutRig) resumable(attempts int) {
	c.path = streamPath
	snap := *c.Snapshot()
	spec := route.TableSpec{Version: 1, Services: []route.Service{*snap.Routes.Service("engines")}}
	old, _ := snap.Routes.Match("h", streamPath)
	changed := *old
	changed.MaxAttempts = attempts
	spec.Routes = append(spec.Routes, changed)
	snap.Routes = route.NewTable(spec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &snap
}

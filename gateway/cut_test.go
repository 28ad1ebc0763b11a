package gateway

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/membudget"
)

// cutCase is a way in which a stream is cut, and what the log says of it.
type cutCase struct {
	prepare func(*cutRig)
	timeout time.Duration
	reason  cutReason
	by      endedBy
	noNext  noNextReason
}

// cutCases returns the ways that can be played on the rig.
func cutCases(t *testing.T) map[string]cutCase {
	const timeout = 1500 * time.Millisecond
	return map[string]cutCase{
		// The engine ended the stream.
		"engine breaks off": {
			func(c *cutRig) { c.answer = breakOff(c) },
			timeout, cutEngineBrokeOff, endedByServer, noNextNotRepeatable,
		},
		"engine ends its response within an event": {func(c *cutRig) {
			c.answer = func(w http.ResponseWriter, _ *http.Request) { c.begin(w); sendPart(w, "id: 2\nda") }
		}, timeout, cutPartialEvent, endedByServer, noNextNotRepeatable},
		// This VM rejects what the engine sends.
		"framing of the body": {func(c *cutRig) {
			c.answer = func(w http.ResponseWriter, _ *http.Request) {
				c.begin(w)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, "no chunk\r\n")
				time.Sleep(50 * time.Millisecond)
				_ = conn.Close()
			}
		}, timeout, cutMalformedBody, endedByVM, noNextNotRepeatable},
		"event too large": {
			func(c *cutRig) { c.answer = sendAfterBegin(c, "id: 2\ndata: "+strings.Repeat("x", maxEventBytes)) },
			timeout, cutEventTooLarge, endedByVM, noNextNotRepeatable,
		},
		"event id": {
			func(c *cutRig) { c.answer = sendAfterBegin(c, "id: two\ndata: x\n\n") },
			timeout, cutEventID, endedByVM, noNextNotRepeatable,
		},
		"event order": {
			func(c *cutRig) { c.answer = sendAfterBegin(c, "id: 3\ndata: x\n\n") },
			timeout, cutEventOrder, endedByVM, noNextNotRepeatable,
		},
		// This VM lacks memory.
		"no memory": {func(c *cutRig) {
			c.answerBudget = membudget.New(100<<10, uncountedResponseBytes)
			c.answer = sendAfterBegin(c, "id: 2\ndata: "+strings.Repeat("x", 200<<10))
		}, timeout, cutMemoryRefused, endedByVM, noNextNotRepeatable},
		"memory given to another server": {func(c *cutRig) {
			c.answer = sendAfterBegin(c, "id: 2\ndata: "+strings.Repeat("x", 400<<10))
			go func() {
				for c.answerBudget.Used() < 700<<10 {
					time.Sleep(time.Millisecond)
				}
				other := c.answerBudget.Reserve("other")
				defer other.Release()
				others := []*membudget.Reservation{other}
				for c.answerBudget.OwnerBytes("engine-0") > 0 && len(others) < 50 {
					more := c.answerBudget.Reserve(fmt.Sprint("other-", len(others)))
					defer more.Release()
					_ = more.RaiseBody(100 << 10)
					others = append(others, more)
				}
			}()
		}, timeout, cutMemoryEvicted, endedByVM, noNextNotRepeatable},
		// This VM ends the attempt or fails.
		"attempt cancelled": {func(c *cutRig) {
			c.answer = waitForEnd(c)
			go func() {
				if s := c.awaitRun(t.Context(), "engine-0"); s != nil {
					s.openSegment.cancel()
				}
			}()
		}, timeout, cutCancelled, endedByVM, noNextNotRepeatable},
		"panic": {func(c *cutRig) {
			var events atomic.Int64
			c.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
				if a.Spare || a.Resumed {
					return nil, &dispatch.NoBackendError{Model: a.Model}
				}
				ticket, err := c.grantFirst(a)
				return panickingTicket{ticket, &events}, err
			}
			c.answer = func(w http.ResponseWriter, r *http.Request) { c.begin(w); runOn(w, r) }
		}, timeout, cutPanicked, endedByVM, noNextNone},
		"VM stops": {func(c *cutRig) {
			c.answer = waitForEnd(c)
			go func() { <-c.began; c.BeginDrain(50 * time.Millisecond) }()
		}, timeout, cutVMStop, endedByStop, noNextNotRepeatable},
		// The time is up.
		"time limit": {
			func(c *cutRig) { c.answer = waitForEnd(c) },
			300 * time.Millisecond, cutTimeLimit, endedByTimeLimit, noNextNotRepeatable,
		},
		"time limit within a planned move": {func(c *cutRig) {
			c.leaves, c.answer = true, runOn
			c.copyAnswer = func(http.ResponseWriter) { time.Sleep(3 * timeout) }
		}, timeout, cutTimeLimit, endedByTimeLimit, noNextNotRepeatable},
		"caller does not read": {func(c *cutRig) {
			c.writer = &failingWriter{httptest.NewRecorder(), os.ErrDeadlineExceeded}
			c.answer = runOn
		}, timeout, cutWriteTimeLimit, endedByTimeLimit, noNextNotRepeatable},
		// The connection to the caller.
		"connection to the caller fails": {func(c *cutRig) {
			c.writer = &failingWriter{httptest.NewRecorder(), syscall.EPIPE}
			c.answer = runOn
		}, timeout, cutWriteFailed, endedByCaller, noNextNotRepeatable},
		"this VM closes the connection to the caller": {func(c *cutRig) {
			c.writer = &failingWriter{httptest.NewRecorder(), net.ErrClosed}
			c.answer = runOn
		}, timeout, cutCallerClosedHere, endedByVM, noNextNotRepeatable},
		// This VM has left the engine.
		"moved copy is refused": {func(c *cutRig) {
			c.leaves, c.answer, c.copyAnswer = true, runOn, refuseCopy
		}, timeout, cutMoveRefused, endedBySwitchover, noNextNotRepeatable},
		"engine with the moved copy breaks off": {func(c *cutRig) {
			c.leaves, c.answer = true, runOn
			c.copyAnswer = func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
		}, timeout, cutMoveUnanswered, endedBySwitchover, noNextNotRepeatable},
		"engine with the moved copy fails": {func(c *cutRig) {
			c.leaves, c.answer = true, runOn
			c.copyAnswer = func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }
		}, timeout, cutMoveRejected, endedBySwitchover, noNextNotRepeatable},
		"engine with the moved copy does not sign": {func(c *cutRig) {
			c.leaves, c.answer = true, runOn
			c.copyAnswer = func(w http.ResponseWriter) { sendPart(w, "id: 2\ndata: x\n\n") }
		}, timeout, cutMoveRejected, endedBySwitchover, noNextNotRepeatable},
		"engine ends the run after the call was taken back": {func(c *cutRig) {
			ended := make(chan struct{})
			c.leaves, c.copyAnswer = true, refuseCopy
			c.answer = func(w http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithCancel(r.Context())
				defer cancel()
				go func() { <-ended; cancel() }()
				runOn(w, r.WithContext(ctx))
				panic(http.ErrAbortHandler)
			}
			var once sync.Once
			c.endAnswer = func(w http.ResponseWriter) {
				once.Do(func() { time.Sleep(maxEndWait + 50*time.Millisecond); close(ended) })
				w.WriteHeader(http.StatusNotFound)
			}
		}, 2 * timeout, cutEndTakenBack, endedBySwitchover, noNextNotRepeatable},
		// Why a stream that may be repeated does not go on.
		"no attempt left": {
			func(c *cutRig) { c.resumable(1); c.answer = breakOff(c) },
			timeout, cutEngineBrokeOff, endedByServer, noNextAttempts,
		},
		"retry budget exhausted": {func(c *cutRig) {
			c.resumable(3)
			c.answer = func(w http.ResponseWriter, _ *http.Request) {
				for c.takesRetry() {
				}
				breakOff(c)(w, nil)
			}
		}, timeout, cutEngineBrokeOff, endedByServer, noNextBudget},
		"no engine": {func(c *cutRig) {
			c.resumable(3)
			c.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
				if len(a.Excluded) > 0 {
					return nil, &dispatch.NoBackendError{Model: a.Model}
				}
				return c.grantFirst(a)
			}
			c.answer = breakOff(c)
		}, timeout, cutEngineBrokeOff, endedByServer, noNextEngine},
		"quarantined": {func(c *cutRig) {
			c.resumable(3)
			q := &refusingQuarantine{}
			c.Quarantine = q
			c.answer = func(w http.ResponseWriter, r *http.Request) { q.refuses.Store(true); breakOff(c)(w, r) }
		}, timeout, cutEngineBrokeOff, endedByServer, noNextQuarantined},
	}
}

// Guards against a stream that a VM ends while its engine is sound, and whose log blames the engine
// or tells no cause: each way has a reason and a counter of its own.
func TestEachCutStreamHasItsReason(t *testing.T) {
	for name, test := range cutCases(t) {
		t.Run(name, func(t *testing.T) {
			c := newCutRig(t)
			test.prepare(c)
			lines := c.play(t, test.timeout)
			got := logLine(t, lines, "stream_cut")
			if got["reason"] != string(test.reason) || got["ended_by"] != string(test.by) || got["no_next"] != string(test.noNext) {
				t.Errorf("reason %q, ended_by %q, no_next %q, want %q, %q, %q",
					got["reason"], got["ended_by"], got["no_next"], test.reason, test.by, test.noNext)
			}
			want := map[string]int64{"gateway.streams_cut." + string(test.reason): 1}
			if test.noNext != noNextNone {
				want["gateway.streams_not_resumed."+string(test.noNext)] = 1
			}
			c.requireCuts(t, want)
			if t.Failed() {
				t.Log(lines)
			}
		})
	}
}

// takesRetry takes a retry from the budget of the rig's engines.
func (c *cutRig) takesRetry() bool {
	call := &call{g: c.Gateway, service: c.Snapshot().Routes.Service("engines"), log: c.Log}
	return call.takeRetry()
}

// requireCuts checks that the counters of cut streams are these and no others.
func (c *cutRig) requireCuts(t *testing.T, want map[string]int64) {
	t.Helper()
	got := map[string]int64{}
	c.Metrics.registry.Each(func(name string, m any) {
		if counter, ok := m.(metrics.Counter); ok && strings.HasPrefix(name, "gateway.streams_") && counter.Count() > 0 {
			got[name] = counter.Count()
		}
	})
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("counters %v, want %v", got, want)
	}
}

// reasonCase is an error and the reason that it shows.
type reasonCase struct {
	err    error
	reason cutReason
}

// segmentErrors returns errors that end a segment.
func segmentErrors() []reasonCase {
	read := func(err error) error {
		return &backend.UncertainError{Backend: "e", Cause: &net.OpError{Op: "read", Err: err}}
	}
	return []reasonCase{
		{read(syscall.ECONNRESET), cutEngineBrokeOff},
		{read(syscall.EPIPE), cutEngineBrokeOff},
		{read(io.ErrUnexpectedEOF), cutEngineBrokeOff},
		{&backend.UncertainError{Cause: io.EOF}, cutEngineBrokeOff},
		{&PartialEventError{Bytes: 3}, cutPartialEvent},
		{read(syscall.ETIMEDOUT), cutEngineUnreachable},
		{read(syscall.EHOSTUNREACH), cutEngineUnreachable},
		{read(syscall.ENETUNREACH), cutEngineUnreachable},
		{read(net.ErrClosed), cutClosedHere},
		{&backend.UncertainError{Cause: context.Canceled}, cutCancelled},
		{&backend.UncertainError{Cause: &membudget.EvictedError{}}, cutMemoryEvicted},
		{&membudget.ExceededError{}, cutMemoryRefused},
		{&backend.UncertainError{Cause: &backend.MalformedBodyError{Cause: io.ErrNoProgress}}, cutMalformedBody},
		{errors.New("not known"), cutUnknown},
		{nil, cutUnknown},
	}
}

// Guards against an error of a segment that is taken for a fault of the engine: only one that shows that
// the engine broke off is named so, and one that is not known is named unknown.
func TestErrorsOfSegmentsNameTheEngineOnlyIfItBrokeOff(t *testing.T) {
	for _, test := range segmentErrors() {
		reason := segmentReason(test.err)
		if reason != test.reason {
			t.Errorf("%v: %s, want %s", test.err, reason, test.reason)
		}
		brokeOff := test.reason == cutEngineBrokeOff || test.reason == cutPartialEvent
		if by := cutEndedBy[reason]; (by == endedByServer) != brokeOff || by == "" {
			t.Errorf("%v: ended by %q", test.err, by)
		}
	}
}

// moveErrors returns errors of the engine with a moved copy.
func moveErrors() []reasonCase {
	return []reasonCase{
		{&RefusedError{Status: http.StatusServiceUnavailable}, cutMoveRefused},
		{&backend.NotSentError{Cause: syscall.ECONNREFUSED}, cutMoveUnreachable},
		{&backend.UncertainError{Cause: io.ErrUnexpectedEOF}, cutMoveUnanswered},
		{&backend.UncertainError{Cause: context.DeadlineExceeded}, cutMoveUnanswered},
		{&backend.UncertainError{Cause: &backend.RejectedError{Status: 500}}, cutMoveRejected},
		{&backend.UncertainError{Cause: &UnsignedError{Status: 200}}, cutMoveRejected},
		{&backend.UncertainError{Cause: &backend.ResponseMismatchError{}}, cutMoveRejected},
		{&RunNotEndedError{Engine: "e"}, cutMoveNotEnded},
		{nil, cutUnknown},
	}
}

// Guards against a planned move that fails and whose log does not tell whether the next engine has
// refused the run, was not reached, gave no usable answer, or was not asked.
func TestErrorsOfMovesHaveReasons(t *testing.T) {
	for _, test := range moveErrors() {
		if got := moveReason(test.err); got != test.reason {
			t.Errorf("%v: %s, want %s", test.err, got, test.reason)
		}
	}
}

// Guards against a reason that no test asserts, or that blames nobody: one may be given wrongly, or be
// missing in cutEndedBy, and nothing fails.
func TestEachCutReasonIsAsserted(t *testing.T) {
	asserted := map[cutReason]bool{}
	for _, c := range cutCases(t) {
		asserted[c.reason] = true
	}
	for _, c := range slices.Concat(segmentErrors(), moveErrors()) {
		asserted[c.reason] = true
	}
	reasons := declaredCutReasons(t)
	if len(reasons) != len(cutEndedBy) {
		t.Errorf("%d reasons are declared, %d have a party in cutEndedBy", len(reasons), len(cutEndedBy))
	}
	for _, reason := range reasons {
		if !asserted[reason] {
			t.Errorf("no test asserts %s", reason)
		}
		if cutEndedBy[reason] == "" {
			t.Errorf("cutEndedBy does not tell who ended a stream for %s", reason)
		}
	}
}

// declaredCutReasons returns the constants of the type cutReason in cut.go.
func declaredCutReasons(t *testing.T) (all []cutReason) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "cut.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		typeName, typed := spec.Type.(*ast.Ident)
		value, literal := spec.Values[0].(*ast.BasicLit)
		if typed && literal && typeName.Name == "cutReason" {
			text, err := strconv.Unquote(value.Value)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, cutReason(text))
		}
		return true
	})
	return all
}

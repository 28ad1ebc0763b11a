package frontend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// waitingAdmission grants no ticket.
type waitingAdmission struct{ waits chan struct{} }

// Acquire implements dispatch.Admission.
func (a waitingAdmission) Acquire(ctx context.Context, r dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	close(a.waits)
	<-ctx.Done()
	return nil, &dispatch.QueueTimeoutError{Model: r.Model}
}

// Guards against a completion whose caller is not told that it has not run: the caller has closed
// its half of the connection while the completion waits for an engine.
func TestHalfClosedCallerIsToldThatItsCompletionDidNotRun(t *testing.T) {
	r := newRig(t, 1)
	waits := make(chan struct{})
	r.Admission = waitingAdmission{waits: waits}
	conn := r.serve()
	const body = `{"model":"m","prompt":"x"}`
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	<-waits
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d", answer.StatusCode, http.StatusServiceUnavailable)
	}
}

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against streams that a stopping VM accepts over kept connections, and cuts since
// their engine is slower than assumed.
func TestStreamSentLateInADrainIsNotCut(t *testing.T) {
	const (
		endAfter = 6 * time.Second
		sentAt   = 3200 * time.Millisecond
	)
	r := newGatewayRig(t, 1)
	r.answer = func(_ string, w http.ResponseWriter, request *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-request.Context().Done():
		case <-time.After(endAfter):
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
		}
		return true
	}
	conn := r.serve()
	r.BeginDrain(endAfter)
	time.Sleep(sentAt)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nToken-Count: 10,16\r\nRequest-Id: late\r\nContent-Length: 1\r\n\r\nx", streamPath); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Errorf("the answer with status %d ends early: %q, %v", answer.StatusCode, body, err)
	}
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
		t.Error("the refusal does not say when to come back")
	}
}

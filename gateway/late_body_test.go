package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// lateExpiry holds the call that ends the read of a body until the body has been read, and the
// end of the body until that call has ended the context of the request.
type lateExpiry struct {
	http.ResponseWriter
	io.ReadCloser
	r *http.Request
	// expiring is closed by the call, read at the end of the body.
	expiring, read chan struct{}
	once           sync.Once
}

// SetReadDeadline implements the interface of http.ResponseController.
func (l *lateExpiry) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		l.once.Do(func() { close(l.expiring) })
		<-l.read
	}
	return http.NewResponseController(l.ResponseWriter).SetReadDeadline(t)
}

// Read implements io.Reader.
func (l *lateExpiry) Read(p []byte) (int, error) {
	n, err := l.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	close(l.read)
	select {
	case <-l.r.Context().Done():
	case <-time.After(time.Second):
	}
	return n, err
}

// Guards against a request that gets no answer since its body ends just when a stop ends the
// reads of bodies: the VM took the end of the read for the caller's leaving.
func TestBodyThatEndsWithTheGracePeriodIsAnswered(t *testing.T) {
	r := newGatewayRig(t, 1)
	expiring := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		late := &lateExpiry{ResponseWriter: w, ReadCloser: request.Body, r: request, expiring: expiring, read: make(chan struct{})}
		request.Body = late
		r.ServeHTTP(late, request)
	}))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: end\r\nContent-Length: 2\r\n\r\nx", plainPath); err != nil {
		t.Fatal(err)
	}
	for r.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.BeginDrain(100 * time.Millisecond)
	<-expiring
	if _, err := io.WriteString(conn, "x"); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, conn, 3*time.Second, http.StatusServiceUnavailable)
}

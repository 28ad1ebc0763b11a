package frontend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// newHTTP2Client returns a client with a connection of its own.
func newHTTP2Client(t *testing.T, server *httptest.Server) *http.Client {
	t.Helper()
	transport, ok := server.Client().Transport.(*http.Transport)
	if !ok {
		t.Fatal("the client has another transport")
	}
	transport = transport.Clone()
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 20 * time.Second}
}

// startHTTP2 serves a listener with a bound on open connections over HTTP/2.
func startHTTP2(t *testing.T, handler http.Handler, connections int) *httptest.Server {
	t.Helper()
	l, err := listen.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.LimitWith(listen.NewBudget(1<<20, func(listen.Closed) {}), connections)
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener, server.EnableHTTP2 = l, true
	server.Config.HTTP2, server.Config.ConnContext, server.Config.ConnState = HTTP2Config(), listen.ConnContext, l.ConnState
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

// look sends a lookup.
func look(t *testing.T, client *http.Client, url string, body io.Reader) (int, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/services/look", body)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer key")
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// Guards against requests over HTTP/2 that end without an answer, after they were passed on: their
// connection counted as one that waits for a request, and was closed for a new one.
func TestConnectionWithARequestInProgressIsNotClosedForOthers(t *testing.T) {
	r := newRig(t, 1)
	begun, proceed := make(chan struct{}), make(chan struct{})
	r.answer = func(string, http.ResponseWriter) bool {
		close(begun)
		<-proceed
		return false
	}
	server := startHTTP2(t, r.handler, 2)
	answered := make(chan error, 1)
	go func() {
		status, err := look(t, newHTTP2Client(t, server), server.URL, strings.NewReader("{}"))
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		answered <- err
	}()
	<-begun
	for range 4 { // Refused if the connection before is not idle yet.
		if answer, err := newHTTP2Client(t, server).Get(server.URL + "/healthz"); err == nil {
			_ = answer.Body.Close()
		}
	}
	close(proceed)
	if err := <-answered; err != nil {
		t.Errorf("the request in progress: %v", err)
	}
}

// Guards against callers over HTTP/2 whose bodies stop short and whose connections keep all others
// out.
func TestConnectionsWithIncompleteBodiesGiveWay(t *testing.T) {
	const connections = 2
	r := newRig(t, 1)
	server := startHTTP2(t, r.handler, connections)
	for range connections {
		body, writer := io.Pipe()
		defer writer.Close()
		client := newHTTP2Client(t, server)
		go func() { _, _ = look(t, client, server.URL, body) }()
		if _, err := io.WriteString(writer, "{"); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(10 * time.Second); r.requests.Used() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if status, err := look(t, newHTTP2Client(t, server), server.URL, strings.NewReader("{}")); status != http.StatusOK {
		t.Errorf("another caller: %d, %v", status, err)
	}
}

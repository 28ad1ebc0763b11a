package httphead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// Guards against a further request over the connection of a response whose head is none: net/http keeps the
// connection after a response without a body. Invalid names in interim heads are no answer, either.
func TestConnectionOfABrokenHeadIsNotUsedAgain(t *testing.T) {
	for name, answer := range map[string]string{
		"blank in a name": "HTTP/1.1 200 OK\r\nX Trace: a\r\nContent-Length: 0\r\n\r\n",
		"status 600":      "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0":        "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"short body":      "HTTP/1.1 200 OK\r\nX Trace: a\r\nContent-Length: 2\r\n\r\nno",
		"interim head":    "HTTP/1.1 103 Early Hints\r\nX Trace: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 5
			var connections atomic.Int64
			address := testnet.Serve(t, func(conn net.Conn, r *bufio.Reader) {
				connections.Add(1)
				for _, err := http.ReadRequest(r); err == nil; _, err = http.ReadRequest(r) {
					_, _ = io.WriteString(conn, answer)
				}
			})
			client := &http.Client{Transport: Transport{&http.Transport{}}}
			defer client.CloseIdleConnections()
			for range requests {
				if resp, err := client.Get("http://" + address); err == nil {
					t.Errorf("status %d, %v", resp.StatusCode, resp.Header)
					_ = resp.Body.Close()
				}
			}
			if n := connections.Load(); n != requests {
				t.Errorf("%d requests over %d connections", requests, n)
			}
		})
	}
}

// Guards against responses of HTTP/2 that count as ones of another version.
func TestResponsesOfHTTP2AreAccepted(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	client := server.Client()
	client.Transport = Transport{client.Transport.(*http.Transport)}
	resp, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ProtoMajor != 2 {
		t.Errorf("version %s, want HTTP/2.0", resp.Proto)
	}
}

// Guards against a response of HTTP/2 that is rejected since a request before its redirect was one of HTTP/1.1.
func TestRedirectToHTTP2IsFollowed(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	redirect := httptest.NewServer(http.RedirectHandler(server.URL, http.StatusFound))
	defer redirect.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, redirect.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := Send(r, server.Client().Do)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ProtoMajor != 2 {
		t.Errorf("version %s, want HTTP/2.0", resp.Proto)
	}
}

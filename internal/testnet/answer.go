package testnet

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a TCP server that runs script on each connection and closes it afterwards. It returns the address
// as IP:port.
func Serve(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// ServeAnswer starts a server that writes the same bytes after the first request of each connection and
// closes the connection. It returns its address as IP:port.
func ServeAnswer(t *testing.T, answer string) string {
	t.Helper()
	return Serve(t, func(conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
	})
}

// BrokenHeads are heads of answers that hold an error by RFC 9110 which net/http accepts, without the blank
// line at their end.
var BrokenHeads = map[string]string{
	"blank in a name":          "HTTP/1.1 200 OK\r\nX Trace: a\r\n",
	"blank before a colon":     "HTTP/1.1 200 OK\r\nX-Trace : a\r\n",
	"status 000":               "HTTP/1.1 000 None\r\n",
	"status 007":               "HTTP/1.1 007 Low\r\n",
	"status 600":               "HTTP/1.1 600 High\r\n",
	"status 999":               "HTTP/1.1 999 High\r\n",
	"HTTP/2.0":                 "HTTP/2.0 200 OK\r\n",
	"HTTP/0.9":                 "HTTP/0.9 200 OK\r\n",
	"upgrade nobody asked for": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n",
}

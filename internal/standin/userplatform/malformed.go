package userplatform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Script writes the bytes of a response to the connection of a request. Further
// requests can be read from conn. The connection is closed when Script returns.
type Script func(conn net.Conn, request *http.Request)

// runScript records the run of a request and lets the script respond to it. A request
// that continues from a copy is no new run.
func (s *Server) runScript(w http.ResponseWriter, r *http.Request, script Script) {
	defer s.fleet.beginExecution(r, s.ID(), r.Header.Get("Kv-From") != "")()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	script(bufferedConn{conn, buffered.Reader}, r)
}

// bufferedConn is a connection of which some bytes were already read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// endlessBlockBytes is the size of each write of an endless response.
const endlessBlockBytes = 32 << 10

// endless takes over the connection of a request and writes to the header or body
// of the response until the client closes the connection.
func (s *Server) endless(w http.ResponseWriter, r *http.Request, f ServerFaults) {
	begin := "HTTP/1.1 200 OK\r\nX-Line: "
	if f.EndlessBody {
		begin = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\n\r\n", r.Header.Get("Request-Id"), s.ID())
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, begin)
	block := bytes.Repeat([]byte("x"), endlessBlockBytes)
	for err == nil {
		_, err = conn.Write(block)
	}
}

// sendHeadOnly sends the head of a response that ends with its connection, and closes it.
func (s *Server) sendHeadOnly(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nContent-Type: text/event-stream\r\n\r\n",
		r.Header.Get("Request-Id"), s.ID())
}

// answerTwice sends the response and then one to another request.
func (s *Server) answerTwice(w http.ResponseWriter, r *http.Request, answer string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	write := func(id, body string) {
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s",
			id, s.ID(), len(body), body)
		_ = buffer.Flush()
	}
	write(r.Header.Get("Request-Id"), answer)
	time.Sleep(30 * time.Millisecond)
	write("another-request", "not yours")
	time.Sleep(200 * time.Millisecond)
}

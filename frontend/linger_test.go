package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// Guards against a refusal that is lost since the caller still sends its body: the connection was
// closed at once, and the next part of the body reset it.
func TestRefusalOfABodyOutlivesItsRest(t *testing.T) {
	r := newRig(t, 1)
	r.Config.Timeouts.Body = config.Duration(50 * time.Millisecond)
	l, err := listen.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: r.handler, ConnState: l.ConnState, ConnContext: listen.ConnContext}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprint(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	if _, err := reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	for len(l.Open(1)) > 0 { // Until the server closes the connection.
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		if _, err := io.WriteString(c, "x"); err != nil {
			t.Errorf("the caller can not send the rest: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusRequestTimeout {
		t.Errorf("%d, %v", answer.StatusCode, err)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
}

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests of unusual callers that end without an answer, or with that of
// another request.
func TestEachKindOfCallerIsAnswered(t *testing.T) {
	post := func(path, id, rest string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: %s\r\n%s", path, id, rest)
	}
	for _, c := range []struct {
		name, method, request string
		ids                   []string
	}{
		{"HTTP/1.0", "POST", "POST /plain/1 HTTP/1.0\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nx", []string{"a"}},
		{"HTTP/1.0, kept", "POST", strings.Repeat("POST /plain/1 HTTP/1.0\r\nHost: h\r\nRequest-Id: a\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nx", 2), []string{"a", "a"}},
		{"chunks and trailer", "POST", post(plainPath, "a", "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: 1\r\n\r\n"), []string{"a"}},
		{"no body", "POST", post(plainPath, "a", "Content-Length: 0\r\n\r\n"), []string{"a"}},
		{"HEAD", "HEAD", "HEAD /plain/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n\r\n", []string{"a"}},
		{"expects to continue", "POST", post(orderPath, "a", "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx"), []string{"a"}},
		{"closes", "POST", post(plainPath, "a", "Connection: close\r\nContent-Length: 1\r\n\r\nx"), []string{"a"}},
		{
			"pipelined", "POST", post(plainPath, "a", "Content-Length: 1\r\n\r\nx") + post(streamPath, "b", "Content-Length: 1\r\n\r\nx") +
				post("/none/1", "c", "Content-Length: 1\r\n\r\nx") + post(orderPath, "d", "Content-Length: 1\r\n\r\nx"),
			[]string{"a", "b", "c", "d"},
		},
		{
			"many lines in the body", "POST", post(plainPath, "a", "Content-Length: 600\r\n\r\n"+strings.Repeat("\r\n", 300)) + post(plainPath, "b", "Content-Length: 1\r\n\r\nx"),
			[]string{"a", "b"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := newGatewayRig(t, 1).serve()
			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			reader := bufio.NewReader(conn)
			for _, id := range c.ids {
				answer, err := http.ReadResponse(reader, &http.Request{Method: c.method})
				for err == nil && answer.StatusCode == http.StatusContinue {
					answer, err = http.ReadResponse(reader, &http.Request{Method: c.method})
				}
				if err != nil {
					t.Fatalf("request %s: %v", id, err)
				}
				if _, err := io.ReadAll(answer.Body); err != nil || answer.Header.Get("Request-Id") != id {
					t.Errorf("request %s: answer of %q, %v", id, answer.Header.Get("Request-Id"), err)
				}
			}
		})
	}
}

// Guards against a stream that is cut and looks complete to a caller of HTTP/1.0, for which the
// end of an answer is the end of its connection.
func TestCutStreamDoesNotLookCompleteInHTTP10(t *testing.T) {
	r := newGatewayRig(t, 1)
	r.answer = func(_ string, w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h\r\nModel: m\r\nRequest-Id: old\r\nContent-Length: 1\r\n\r\nx", draftPath); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); err == nil {
		t.Errorf("the answer ends as if it were complete: %q", body)
	}
}

package backend

import (
	"bufio"
	"net"
	"testing"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// invalidNameLines are lines of a head that hold no field by RFC 9110, section 5.1, and RFC 9112,
// section 5.
var invalidNameLines = map[string]string{
	"blank inside":           "X Trace: a",
	"blank before the colon": "X-Trace : a",
	"blank at the begin":     " X-Trace: a",
	"tab at the begin":       "\tX-Trace: a",
	"blanks only":            "  ",
	"length after a blank":   " Content-Length: 2",
	"length not seen":        "Content-Length : 2",
	"chunks not seen":        "Transfer-Encoding : chunked",
	"tab":                    "X\tTrace: a",
	"tab before the colon":   "X-Trace\t: a",
	"NUL":                    "X\x00Trace: a",
	"control byte":           "X\x01Trace: a",
	"vertical tab":           "X\x0bTrace: a",
	"DEL":                    "X\x7fTrace: a",
	"carriage return":        "X\rTrace: a",
	"byte over 0x7f":         "X\xe9Trace: a",
	"separator":              "X(Trace): a",
	"no name":                ": a",
	"no colon":               "X-Trace",
}

// Guards against chunks that are passed on as the body: net/http ignores Transfer-Encoding in a response of HTTP/1.0.
func TestChunksOfHTTP10AreNoBody(t *testing.T) {
	for name, test := range map[string]struct {
		head, body string
	}{
		"chunked":         {"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", ""},
		"small letters":   {"transfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", ""},
		"with a length":   {"Content-Length: 2\r\nTransfer-Encoding:chunked\r\n\r\nno", ""},
		"length only":     {"Content-Length: 3\r\n\r\nyes", "yes"},
		"no length":       {"X-Transfer-Encoding: chunked\r\n\r\nyes", "yes"},
		"longer name":     {"Transfer-Encodings: chunked\r\n\r\nyes", "yes"},
		"only in a value": {"Trailer: transfer-encoding: chunked\r\n\r\nyes", "yes"},
	} {
		t.Run(name, func(t *testing.T) {
			target := Target{ID: "server", Address: testnet.ServeAnswer(t, "HTTP/1.0 200 OK\r\nX-Id: a\r\n"+test.head)}
			body, err := get(newTestClient(t), target, "a")
			_, uncertain := errors.Into[*UncertainError](err)
			if whole := test.body != ""; whole == uncertain || whole && body != test.body {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// Guards against a response whose head holds a line that is no field: it is passed on, or the length
// or the chunks of the body are not seen.
func TestInvalidNameIsNoResponse(t *testing.T) {
	for name, line := range invalidNameLines {
		t.Run(name, func(t *testing.T) {
			target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Before: b\r\n" + line + "\r\n\r\nno"))
				}
			})
			body, err := get(newTestClient(t), target, "a")
			if _, uncertain := errors.Into[*UncertainError](err); !uncertain {
				t.Errorf("%q, %v, want an UncertainError", body, err)
			}
		})
	}
}

package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/membudget"
)

// HTTPRequest is a request to a backend server.
type HTTPRequest struct {
	Method string
	// Target is the request target: the path and the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports whether the request has a body, which may be empty.
	HasBody bool
	// ID is the request id that the response must echo, "" if the request has
	// none. A response with a different or unexpected id belongs to another request.
	// After a request without an id the connection is closed.
	ID string
	// NewConnection forces a new connection.
	NewConnection bool
	// MaxIdle is the maximum idle time of a reused connection. With 0, only the
	// backend server's keep-alive timeout applies.
	MaxIdle time.Duration
	// BeforeSend is called once the connection is open, right before the first byte is
	// sent. If it returns an error, nothing is sent. Nil is no check.
	BeforeSend func() error
	// Memory accounts for the head of the response, and may account for its body as well.
	// The owner of the request releases it. If it is nil, the client accounts for the head.
	Memory *membudget.Reservation
}

// encodeHeader returns the request line and the header.
func (r *HTTPRequest) encodeHeader() []byte {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, headerValueReplacer.Replace(v)...)
			b = append(b, "\r\n"...)
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// headerValueReplacer removes line breaks from header values, which prevents header
// injection.
var headerValueReplacer = strings.NewReplacer("\r", " ", "\n", " ")

package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// HTTPClient sends requests to backend servers over HTTP/1.1 connections of its
// own. In contrast to net/http's transport, it never sends a request twice, it
// checks that an answer belongs to the request, and it gives up a connection
// after anything unexpected.
type HTTPClient struct {
	dialer *net.Dialer
	pool   *pool
	// identify returns the id that an answer echoes, "" if it carries none.
	identify func(http.Header) string
}

// Limits of an exchange.
const (
	// maxMismatchedResponses bounds answers to earlier requests that are skipped.
	maxMismatchedResponses = 2
	// maxMismatchedBytes bounds the body of such an answer.
	maxMismatchedBytes = 1 << 20
	// maxInterimResponses bounds answers with a 1xx status before the final one.
	maxInterimResponses = 4
	// inlineBodyBytes is the size up to which a request is written before the
	// answer is read. A larger one is written while the answer may already arrive.
	inlineBodyBytes = 32 << 10
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// NewHTTPClient returns a client. identify returns the request id that an answer
// echoes.
func NewHTTPClient(identify func(http.Header) string) *HTTPClient {
	return &HTTPClient{dialer: NewDialer(httpDialTimeout), pool: newPool(), identify: identify}
}

// httpDialTimeout bounds a new connection to a backend server. Zones are a
// few milliseconds apart. The kernel repeats a lost packet after a second only;
// another dial is faster.
const httpDialTimeout = 300 * time.Millisecond

// Close releases idle connections.
func (x *HTTPClient) Close() { x.pool.close() }

// CloseIdleTo closes the idle connections to an address.
func (x *HTTPClient) CloseIdleTo(address string) { x.pool.closeIdleTo(address) }

// HTTPRequest is one request to a backend server.
type HTTPRequest struct {
	Method string
	// Target is the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, which may be empty.
	HasBody bool
	// ID is echoed by the answer; "" if the request has none. An answer with
	// another id, or with one that was not asked for, belongs to another request.
	ID string
	// NewConnection asks for a new connection.
	NewConnection bool
	// MaxIdle is the longest time for which a reused connection may have been
	// idle. 0 means no limit other than that of the backend server.
	MaxIdle time.Duration
}

// HTTPResponse is the answer of a backend server. Its body must be read to its end,
// or the answer closed.
type HTTPResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64

	body      io.Reader
	conn      *clientConn
	reusable  bool
	stopAbort func() bool
	ctx       context.Context
	backend   string
	ended     bool
}

// ResponseMismatchError reports an answer that belongs to another request.
type ResponseMismatchError struct{ Want, Got string }

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("the answer belongs to request %q, not to %q", e.Got, e.Want)
}

// Do sends a request once. Errors are *NotSentError and *UncertainError. The
// exchange ends with ctx, which closes its connection.
func (x *HTTPClient) Do(ctx context.Context, t Target, r *HTTPRequest) (*HTTPResponse, error) {
	c, err := x.connect(ctx, t, r)
	if err != nil {
		return nil, &NotSentError{Backend: t.ID, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, err := x.exchange(ctx, t, c, r, stop)
	if err != nil {
		stop()
		c.abort()
		if cause := ctx.Err(); cause != nil {
			err = withCause(err, cause)
		}
		return nil, err
	}
	return a, nil
}

// withCause names the end of the context as the cause of a failure that it provoked.
func withCause(err, cause error) error {
	if e, ok := errors.Into[*UncertainError](err); ok {
		return &UncertainError{Backend: e.Backend, Cause: cause}
	}
	return err
}

// connect takes an idle connection or opens one.
func (x *HTTPClient) connect(ctx context.Context, t Target, r *HTTPRequest) (*clientConn, error) {
	if !r.NewConnection {
		if c := x.pool.get(t.Address, time.Now(), r.MaxIdle); c != nil {
			return c, nil
		}
	}
	raw, err := x.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: raw, address: t.Address, pool: x.pool, limiter: headerLimitReader{conn: raw}}
	c.reader = bufio.NewReaderSize(&c.limiter, readBufferBytes)
	return c, nil
}

func (x *HTTPClient) exchange(ctx context.Context, t Target, c *clientConn, r *HTTPRequest, stop func() bool) (*HTTPResponse, error) {
	head := r.encodeHeader()
	var written chan error
	if len(r.Body) <= inlineBodyBytes {
		n, err := c.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return nil, &NotSentError{Backend: t.ID, Cause: err}
		}
		if err != nil {
			return nil, &UncertainError{Backend: t.ID, Cause: err}
		}
	} else {
		if n, err := c.Write(head); err != nil {
			if n == 0 {
				return nil, &NotSentError{Backend: t.ID, Cause: err}
			}
			return nil, &UncertainError{Backend: t.ID, Cause: err}
		}
		written = make(chan error, 1)
		go func() {
			_, err := c.Write(r.Body)
			written <- err
		}()
	}
	resp, err := x.readResponse(c, r)
	if err != nil {
		return nil, &UncertainError{Backend: t.ID, Cause: err}
	}
	return newHTTPResponse(ctx, t, c, r, resp, stop, written), nil
}

// readResponse reads the head of the answer to a request. Late answers to earlier
// requests on the connection are skipped.
func (x *HTTPClient) readResponse(c *clientConn, r *HTTPRequest) (*http.Response, error) {
	for range maxMismatchedResponses + 1 {
		c.limiter.begin()
		resp, err := readFinalResponse(c.reader, r.Method)
		c.limiter.end()
		if err != nil {
			return nil, err
		}
		got := x.identify(resp.Header)
		if got == r.ID {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || got == "" {
			return nil, &ResponseMismatchError{Want: r.ID, Got: got}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes {
			return nil, &ResponseMismatchError{Want: r.ID, Got: got}
		}
	}
	return nil, &ResponseMismatchError{Want: r.ID}
}

// readFinalResponse reads the head of an answer and skips interim ones.
func readFinalResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &TooManyInterimError{}
}

// TooManyInterimError reports an answer with too many interim statuses.
type TooManyInterimError struct{}

func (e *TooManyInterimError) Error() string { return "too many interim answers" }

// encodeHeader returns the head of the request.
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

// headerValueReplacer keeps a value from ending its line.
var headerValueReplacer = strings.NewReplacer("\r", " ", "\n", " ")

func newHTTPResponse(ctx context.Context, t Target, c *clientConn, r *HTTPRequest, resp *http.Response, stop func() bool, written chan error) *HTTPResponse {
	a := &HTTPResponse{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, conn: c, stopAbort: stop, ctx: ctx, backend: t.ID,
	}
	if r.Method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) > 0 {
		a.Length = -1
	}
	bounded := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.reusable = bounded && !resp.Close
	c.idleTimeout = keepAliveTimeout(resp.Header)
	if written != nil {
		select {
		case err := <-written:
			a.reusable = a.reusable && err == nil
		default:
			// The answer came before the whole body was sent. What is left of the
			// body must not be taken for another request.
			a.reusable = false
		}
	}
	return a
}

// Read reads the body. It returns io.EOF only at the end of a complete body,
// and otherwise an *UncertainError.
func (a *HTTPResponse) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.finish()
		return n, io.EOF
	}
	if cause := a.ctx.Err(); cause != nil {
		err = cause
	}
	a.abort()
	return n, &UncertainError{Backend: a.backend, Cause: err}
}

// finish returns the connection to the pool after a complete body, if it can be
// used again.
func (a *HTTPResponse) finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.stopAbort() || !a.reusable || a.conn.reader.Buffered() > 0 {
		a.conn.abort()
		return
	}
	a.conn.release()
}

func (a *HTTPResponse) abort() {
	if !a.ended {
		a.ended = true
		a.stopAbort()
		a.conn.abort()
	}
}

// Close ends the exchange. The connection is closed unless the body was read to its end.
func (a *HTTPResponse) Close() { a.abort() }

package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// HTTPResponse is the response of a backend server. The caller must read the body
// to its end or call Close.
type HTTPResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Delimited reports whether the body has a length or chunks, or whether the response
	// has none by its method or status. Any other body ends with the connection: it is
	// complete only if the connection has not failed, but a server that closed the
	// connection early cannot be told from one that was done.
	Delimited bool

	body      io.Reader
	conn      *clientConn
	reusable  bool
	upload    *bodyWrite
	stopAbort func() bool
	ctx       context.Context
	backend   string
	finished  bool
}

// ResponseMismatchError reports a response that belongs to another request.
type ResponseMismatchError struct{ Want, Got string }

// readResponse reads the header of the response to a request. It skips late
// responses to earlier requests on the connection.
func (hc *HTTPClient) readResponse(c *clientConn, r *HTTPRequest) (*http.Response, error) {
	for range maxMismatchedResponses + 1 {
		c.limiter.begin(r.Memory)
		resp, err := c.readFinalResponse(r.Method)
		c.limiter.end()
		if err != nil {
			return nil, err
		}
		got := hc.identify(resp.Header)
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

// readFinalResponse reads the header of a final response and skips interim ones.
func (c *clientConn) readFinalResponse(method string) (*http.Response, error) {
	for range maxInterimResponses {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if err := c.limiter.beginHead(buffered); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.limiter.full != nil {
			return nil, c.limiter.full // http.ReadResponse may report a malformed line instead.
		}
		if err != nil {
			return nil, err
		}
		if err := httphead.CheckVersion(resp); err != nil {
			return nil, err
		}
		if err := httphead.CheckResponse(resp); err != nil {
			return nil, err
		}
		if c.limiter.scanner.Folded() {
			return nil, &FoldedLineError{}
		}
		if !resp.ProtoAtLeast(1, 1) && c.limiter.scanner.HasTransferEncoding() {
			return nil, &FramingError{Version: resp.Proto}
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &TooManyInterimError{}
}

// InvalidStatusError reports a response whose status is none.
type InvalidStatusError = httphead.InvalidStatusError

// FramingError reports a response with Transfer-Encoding of a version of HTTP that has none. Its body has no
// end that can be told, by RFC 9112, section 6.1, and net/http would return the chunks as the body.
type FramingError struct{ Version string }

func (e *FramingError) Error() string { return "response of " + e.Version + " has a transfer encoding" }

// TooManyInterimError reports that more interim responses than allowed arrived.
type TooManyInterimError struct{}

func newHTTPResponse(ctx context.Context, t Target, c *clientConn, r *HTTPRequest, resp *http.Response, stop func() bool, upload *bodyWrite) *HTTPResponse {
	result := &HTTPResponse{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, conn: c, upload: upload, stopAbort: stop, ctx: ctx, backend: t.ID,
	}
	if r.Method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) > 0 {
		result.Length = -1
	}
	result.Delimited = r.Method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	// A repeat of the response to a request without an id can't be told from the
	// response to the next such request, so it is the last one on its connection.
	result.reusable = result.Delimited && !resp.Close && r.ID != ""
	c.idleTimeout = keepAliveTimeout(resp.Header)
	if !upload.hasSucceeded() {
		// The response arrived before the whole body was sent. The server must
		// not read the rest of the body as another request.
		result.reusable = false
	}
	return result
}

// MalformedBodyError reports a body whose framing is not that of HTTP.
type MalformedBodyError struct{ Cause error }

func (e *MalformedBodyError) Error() string { return "malformed body: " + e.Cause.Error() }

func (e *MalformedBodyError) Unwrap() error { return e.Cause }

// bodyError returns an error of the body as a *MalformedBodyError, unless it is one of the connection
// or of its limits. net/http has no type for it.
func bodyError(err error) error {
	_, network := errors.Into[net.Error](err)
	_, system := errors.Into[syscall.Errno](err)
	if network || system || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return &MalformedBodyError{Cause: err}
}

// Read reads the body. It returns io.EOF only at the end of a complete body; any
// other error is an *UncertainError.
func (r *HTTPResponse) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) && !r.Delimited {
		err = r.connectionEnd()
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.finish()
		return n, io.EOF
	}
	if cause := endCause(r.ctx); cause != nil {
		err = cause
	} else {
		err = bodyError(err)
	}
	r.closeConn()
	return n, &UncertainError{Backend: r.backend, Cause: err}
}

// connectionEnd returns io.EOF if a body that ends with its connection is complete. The error of
// a connection is reported once, to its reader, to its writer or to isQuiet; the others see an
// ordinary end. The body is therefore complete only once the whole request has been written
// without an error, and if isQuiet has met none.
func (r *HTTPResponse) connectionEnd() error {
	if r.conn.failure != nil {
		return r.conn.failure
	}
	if err := r.upload.wait(); err != nil {
		return errors.Wrap(err, "the connection failed while the request was written")
	}
	return io.EOF
}

// HasUnread reports whether bytes of the body, or its end, have arrived that were not
// read yet.
func (r *HTTPResponse) HasUnread() bool { return r.finished || !r.conn.isQuiet() }

// finish handles the end of a complete body: it returns the connection to the pool
// if it is reusable and closes it otherwise.
func (r *HTTPResponse) finish() {
	if r.finished {
		return
	}
	r.finished = true
	if !r.stopAbort() || !r.reusable || r.conn.reader.Buffered() > 0 {
		r.conn.abort()
		return
	}
	r.conn.release()
}

func (r *HTTPResponse) closeConn() {
	if !r.finished {
		r.finished = true
		r.stopAbort()
		r.conn.abort()
	}
}

// Close closes the connection unless the body was read to its end.
func (r *HTTPResponse) Close() { r.closeConn() }

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response has request id %q, want %q", e.Got, e.Want)
}

func (e *TooManyInterimError) Error() string { return "too many interim (1xx) responses" }

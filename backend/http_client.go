package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/membudget"
)

// HTTPClient sends requests to backend servers over its own pool of HTTP/1.1
// connections. Unlike http.Transport, it never sends a request twice, it
// verifies that a response belongs to the request, and it closes a connection
// after any unexpected data.
type HTTPClient struct {
	dialer *net.Dialer
	pool   *pool
	// identify returns the request id that a response echoes, "" if it has none.
	identify func(http.Header) string
	// heads accounts for the heads of responses to requests without a reservation of their
	// own, such as reports and health checks.
	heads *membudget.Budget
}

// Limits of a request and its response.
const (
	// maxMismatchedResponses is the number of late responses to earlier requests
	// that are skipped.
	maxMismatchedResponses = 2
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	// maxInterimResponses bounds the 1xx responses before the final response.
	maxInterimResponses = 4
	// inlineBodyBytes is the largest request body that is written before the
	// response is read. A larger body is written concurrently, since the response
	// may arrive before the whole body is sent.
	inlineBodyBytes = 32 << 10
	// sharedHeadBytes bounds the memory of the heads of all responses to requests without a
	// reservation, and uncountedHeadBytes is the part of each that does not count. 16 servers
	// are asked at once, and each head could take 1.4 MB.
	sharedHeadBytes    = 2 << 20
	uncountedHeadBytes = 16 << 10
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// NewHTTPClient returns a client with its own connection pool. identify returns
// the request id that a response echoes, "" if it has none.
func NewHTTPClient(identify func(http.Header) string) *HTTPClient {
	return &HTTPClient{
		dialer: NewDialer(httpDialTimeout), pool: newPool(), identify: identify,
		heads: membudget.New(sharedHeadBytes, uncountedHeadBytes),
	}
}

// httpDialTimeout limits dialing a backend server. Zones are a few milliseconds
// apart. The kernel retransmits a lost SYN only after a second, so dialing again
// is faster.
const httpDialTimeout = 300 * time.Millisecond

// Close closes the idle connections. Connections in use are closed after their response.
func (hc *HTTPClient) Close() { hc.pool.close() }

// CloseIdleTo closes the idle connections to an address.
func (hc *HTTPClient) CloseIdleTo(address string) { hc.pool.closeIdleTo(address) }

// Do sends a request once, without retries. Errors are *NotSentError and
// *UncertainError. When ctx ends, the connection is closed, also while the body
// of the response is read.
func (hc *HTTPClient) Do(ctx context.Context, t Target, r *HTTPRequest) (*HTTPResponse, error) {
	c, err := hc.connect(ctx, t, r)
	if err != nil {
		return nil, &NotSentError{Backend: t.ID, Cause: err}
	}
	return hc.checkAndDo(ctx, t, c, r)
}

// checkAndDo runs the checks of a request right before it is sent.
func (hc *HTTPClient) checkAndDo(ctx context.Context, t Target, c *clientConn, r *HTTPRequest) (*HTTPResponse, error) {
	if err := r.runBeforeSend(ctx); err != nil {
		c.abort()
		return nil, &NotSentError{Backend: t.ID, Cause: err}
	}
	return hc.do(ctx, t, c, r)
}

// runBeforeSend runs the checks of the context and of the request.
func (r *HTTPRequest) runBeforeSend(ctx context.Context) error {
	if check, ok := ctx.Value(beforeSendKey{}).(*beforeSend); ok {
		if err := check.run(); err != nil {
			return err
		}
	}
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Connection is a connection to a backend server that carries no request. Its owner calls either
// Do or Close, once.
type Connection struct {
	client *HTTPClient
	target Target
	conn   *clientConn
}

// Connect opens a new connection to a backend server, on which nothing has been sent. The error is a *NotSentError.
func (hc *HTTPClient) Connect(ctx context.Context, t Target) (*Connection, error) {
	c, err := hc.dial(ctx, t)
	if err != nil {
		return nil, &NotSentError{Backend: t.ID, Cause: err}
	}
	return &Connection{client: hc, target: t, conn: c}, nil
}

// ConnectIdle takes an idle connection to a backend server from the pool. It returns nil if there is
// none that is usable.
func (hc *HTTPClient) ConnectIdle(t Target) *Connection {
	c := hc.pool.get(t.Address, time.Now(), 0)
	if c == nil {
		return nil
	}
	return &Connection{client: hc, target: t, conn: c}
}

// Do sends a request over the connection, as HTTPClient.Do does.
func (c *Connection) Do(ctx context.Context, r *HTTPRequest) (*HTTPResponse, error) {
	return c.client.checkAndDo(ctx, c.target, c.conn, r)
}

// IsQuiet reports whether the server has neither closed the connection nor sent anything
// over it.
func (c *Connection) IsQuiet() bool { return c.conn.isQuiet() }

// Close closes a connection on which no request was sent.
func (c *Connection) Close() { c.conn.abort() }

func (hc *HTTPClient) do(ctx context.Context, t Target, c *clientConn, r *HTTPRequest) (*HTTPResponse, error) {
	if ctx.Err() != nil {
		// The abort of the connection would run beside the write.
		c.abort()
		return nil, &NotSentError{Backend: t.ID, Cause: context.Cause(ctx)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := func() {}
	if r.Memory == nil {
		own := *r
		own.Memory = hc.heads.Reserve(t.ID)
		r, release = &own, own.Memory.Release
	}
	r.Memory.EvictWith(cancel)
	stopAbort := context.AfterFunc(ctx, c.abort)
	stop := func() bool {
		stopped := stopAbort()
		cancel(nil)
		release()
		return stopped
	}
	resp, err := hc.exchange(ctx, t, c, r, stop)
	if err != nil {
		if cause := endCause(ctx); cause != nil {
			err = withCause(err, cause)
		}
		stop()
		c.abort()
		return nil, err
	}
	return resp, nil
}

// endCause returns why the context of a request has ended, nil if it has not: a
// *membudget.EvictedError if the response gave way to others.
func endCause(ctx context.Context) error {
	if evicted, ok := errors.Into[*membudget.EvictedError](context.Cause(ctx)); ok {
		return evicted
	}
	return ctx.Err()
}

// withCause replaces the cause of an *UncertainError by the context error that led
// to it. Other errors are returned unchanged.
func withCause(err, cause error) error {
	if e, ok := errors.Into[*UncertainError](err); ok {
		return &UncertainError{Backend: e.Backend, Cause: cause}
	}
	return err
}

// connect returns an idle connection from the pool or dials a new one.
func (hc *HTTPClient) connect(ctx context.Context, t Target, r *HTTPRequest) (*clientConn, error) {
	if !r.NewConnection {
		if c := hc.pool.get(t.Address, time.Now(), r.MaxIdle); c != nil {
			return c, nil
		}
	}
	return hc.dial(ctx, t)
}

func (hc *HTTPClient) dial(ctx context.Context, t Target) (*clientConn, error) {
	raw, err := hc.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: raw, address: t.Address, pool: hc.pool, limiter: headerLimitReader{conn: raw}}
	c.reader = bufio.NewReaderSize(&c.limiter, readBufferBytes)
	return c, nil
}

func (hc *HTTPClient) exchange(ctx context.Context, t Target, c *clientConn, r *HTTPRequest, stop func() bool) (*HTTPResponse, error) {
	header := r.encodeHeader()
	var upload *bodyWrite
	if len(r.Body) <= inlineBodyBytes {
		n, err := c.Write(append(header, r.Body...))
		if err != nil && n == 0 {
			return nil, &NotSentError{Backend: t.ID, Cause: err}
		}
		if err != nil {
			return nil, &UncertainError{Backend: t.ID, Cause: err}
		}
	} else {
		if n, err := c.Write(header); err != nil {
			if n == 0 {
				return nil, &NotSentError{Backend: t.ID, Cause: err}
			}
			return nil, &UncertainError{Backend: t.ID, Cause: err}
		}
		upload = beginBodyWrite(c, r.Body)
	}
	resp, err := hc.readResponse(c, r)
	if err != nil {
		return nil, &UncertainError{Backend: t.ID, Cause: err}
	}
	return newHTTPResponse(ctx, t, c, r, resp, stop, upload), nil
}

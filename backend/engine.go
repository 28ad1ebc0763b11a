package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// dialTimeout limits dialing. Zones are at most 1.5 ms apart, so a dial that takes
// longer will not succeed.
const dialTimeout = time.Second

// maxIdlePerBackend is the maximum number of idle connections to a backend server.
const maxIdlePerBackend = 64

// Target is the id and the network address of a backend server.
type Target struct {
	ID      string
	Address string
	// Incarnation distinguishes the starts of a server under the same id, 0 if unknown.
	Incarnation int64
}

// TargetOf returns the target of a listed backend server.
func TargetOf(vm vmlist.VM) Target {
	return Target{ID: vm.ID, Address: vm.Address, Incarnation: vm.Incarnation}
}

// EngineClient is the HTTP client for inference engines.
type EngineClient struct {
	// streams uses a new connection for each stream. Responses carry no request id, so
	// an earlier response that an engine writes once more on a kept connection, such as
	// a refusal, would pass for the response to the next request.
	streams *http.Client
	// queries reuses connections for queries and cancellations, where a repeated
	// response only delays what is known of an engine.
	queries *http.Client
	breaker *Breaker
	gaps    GapTable
	notices NoticeFunc
}

// NewEngineClient returns a client with its own connection pool.
func NewEngineClient() *EngineClient {
	return &EngineClient{
		breaker: NewBreaker(),
		streams: &http.Client{Transport: newTransport(true)}, queries: &http.Client{Transport: newTransport(false)},
	}
}

// CheckHeads returns a transport whose responses have a valid head. Other responses are returned as
// *InvalidStatusError, *httphead.InvalidNameError or *httphead.InvalidVersionError.
func CheckHeads(t *http.Transport) http.RoundTripper { return httphead.Transport{Transport: t} }

// newTransport returns a transport that uses each connection for one request if
// singleUse is set.
func newTransport(singleUse bool) http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return CheckHeads(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialAndCheck(ctx, dialer, network, address)
			if err != nil || !singleUse {
				return conn, err
			}
			return &singleResponseConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        30 * time.Second,
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
	})
}

// beforeSendKey is the context key of the *beforeSend of a request.
type beforeSendKey struct{}

// beforeSend is the check of a request that runs once its connection is open. net/http
// dials in a goroutine of its own and goes on when the caller of the request has left, so
// the check must be ended with the request.
type beforeSend struct {
	mu    sync.Mutex
	check func() error
	ended bool
}

// run returns the error of the check, or context.Canceled if the request has ended.
func (b *beforeSend) run() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return context.Canceled
	}
	return b.check()
}

// end waits for a check that runs. No check starts afterwards.
func (b *beforeSend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// WithBeforeSend returns a context in which requests are sent only if check returns nil once
// the connection is open. An EngineClient runs it for new connections only. The returned
// function must be called when the request has been sent or has failed.
func WithBeforeSend(ctx context.Context, check func() error) (context.Context, func()) {
	if check == nil {
		return ctx, func() {}
	}
	b := &beforeSend{check: check}
	return context.WithValue(ctx, beforeSendKey{}, b), b.end
}

// NotUsableError reports that BeforeSend has returned an error.
type NotUsableError struct{ Cause error }

func (e *NotUsableError) Error() string { return e.Cause.Error() }

func (e *NotUsableError) Unwrap() error { return e.Cause }

// dialAndCheck opens a connection. It closes it and returns a *NotUsableError if the check
// that the context holds fails.
func dialAndCheck(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	check, ok := ctx.Value(beforeSendKey{}).(*beforeSend)
	if !ok {
		return conn, nil
	}
	if err := check.run(); err != nil {
		_ = conn.Close()
		return nil, &NotUsableError{err}
	}
	return conn, nil
}

// Breaker returns the circuit breaker for unresponsive engines.
func (e *EngineClient) Breaker() *Breaker { return e.breaker }

// Gaps returns the tracker of the gaps between recent tokens of an engine.
func (e *EngineClient) Gaps(t Target) *GapTracker { return e.gaps.GetOrCreate(time.Now(), t.ID) }

// ObserveNotices sets the function that receives the notices of engines. It must be
// called before the client is used.
func (e *EngineClient) ObserveNotices(f NoticeFunc) { e.notices = f }

// Close closes idle connections.
func (e *EngineClient) Close() { e.queries.CloseIdleConnections() }

// StartOptions are the parameters of a new generation.
type StartOptions struct {
	Generation   api.GenerationID
	Organisation string
	// Priority is the priority that the engine applies when it runs out of memory;
	// 0 is the lowest.
	Priority int
	// FirstTokenTimeout limits the wait for the first token.
	FirstTokenTimeout time.Duration
	// IdleTimeout limits the gap between tokens.
	IdleTimeout time.Duration
	// BeforeSend is called once the connection is open, right before the request is sent.
	// If it returns an error, nothing is sent. It is not called after the request has
	// returned. Nil is no check.
	BeforeSend func() error
}

// Start starts a generation. Errors are *NotSentError, *RejectedError,
// *UncertainError or *StalledError.
func (e *EngineClient) Start(ctx context.Context, t Target, r api.CompletionRequest, o StartOptions) (*Stream, error) {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	h := http.Header{}
	h.Set("Content-Type", api.ContentTypeJSON)
	h.Set(api.HeaderGenerationID, o.Generation.String())
	h.Set(api.HeaderPriority, strconv.Itoa(o.Priority))
	h.Set(api.HeaderOrganisation, o.Organisation)
	ctx, endCheck := WithBeforeSend(ctx, o.BeforeSend)
	defer endCheck()
	return e.open(ctx, t, openOptions{
		method: http.MethodPost, path: "/v1/completions", header: h, body: body,
		generation: o.Generation, firstTokenTimeout: o.FirstTokenTimeout, idleTimeout: o.IdleTimeout,
	})
}

// Resume continues the stream of a generation after the token at offset. A
// *RejectedError with status 404 means that the engine no longer has the
// generation.
func (e *EngineClient) Resume(ctx context.Context, t Target, g api.GenerationID, offset int, firstTokenTimeout, idleTimeout time.Duration) (*Stream, error) {
	return e.open(ctx, t, openOptions{
		method: http.MethodGet,
		path:   "/v1/generations/" + g.String() + "?offset=" + strconv.Itoa(offset),
		header: http.Header{}, generation: g, offset: offset, firstTokenTimeout: firstTokenTimeout, idleTimeout: idleTimeout,
	})
}

// Cancel ends a generation. Cancelling an unknown generation is not an error.
func (e *EngineClient) Cancel(ctx context.Context, t Target, g api.GenerationID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Address+"/v1/generations/"+g.String(), nil)
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	telemetry.Inject(ctx, req.Header)
	resp, err := e.queries.Do(req)
	if err != nil {
		return &UncertainError{Backend: t.ID, Cause: err}
	}
	e.notices.observe(t, resp)
	return resp.Body.Close()
}

// CloseIdle closes the idle connections of queries, so that the next query dials a new
// one. It is called after a stall, because idle connections on the same network path
// may be broken as well.
func (e *EngineClient) CloseIdle() { e.queries.CloseIdleConnections() }

type openOptions struct {
	method, path                   string
	header                         http.Header
	body                           []byte
	generation                     api.GenerationID
	offset                         int
	firstTokenTimeout, idleTimeout time.Duration
}

func (e *EngineClient) open(ctx context.Context, t Target, o openOptions) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stalled := &StalledError{Backend: t.ID, Generation: o.generation.String()}
	watchdog := time.AfterFunc(o.firstTokenTimeout, func() { cancel(stalled) })
	resp, err := e.send(ctx, t, o)
	if err != nil {
		watchdog.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		if _, ok := errors.Into[*NotSentError](err); !ok && errors.Is(cause, error(stalled)) {
			return nil, stalled
		}
		return nil, err
	}
	return newStream(ctx, cancel, watchdog, stalled, resp.Body, t, o), nil
}

func (e *EngineClient) send(ctx context.Context, t Target, o openOptions) (*http.Response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	var body io.Reader
	if o.body != nil {
		body = nonRewindable(o.body)
	}
	req, err := http.NewRequestWithContext(ctx, o.method, "http://"+t.Address+o.path, body)
	if err != nil {
		return nil, &NotSentError{Backend: t.ID, Cause: err}
	}
	req.Header = o.header
	req.ContentLength = int64(len(o.body))
	telemetry.Inject(ctx, req.Header)
	resp, err := e.streams.Do(req)
	if err != nil {
		if !sent.Load() {
			if _, notUsable := errors.Into[*NotUsableError](err); !notUsable && ctx.Err() == nil {
				e.breaker.Trip(t.ID)
			}
			return nil, &NotSentError{Backend: t.ID, Cause: err}
		}
		return nil, &UncertainError{Backend: t.ID, Cause: err}
	}
	notice := e.notices.observe(t, resp)
	if resp.StatusCode < http.StatusInternalServerError || notice.AsksForPause() {
		e.breaker.RecordResponse(t.ID)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &RejectedError{Backend: t.ID, Status: resp.StatusCode, Paused: notice.AsksForPause()}
	}
	return resp, nil
}

// nonRewindable hides the concrete reader type from net/http, so that it cannot
// rewind the body and retry the request on its own.
func nonRewindable(body []byte) io.Reader { return struct{ io.Reader }{bytes.NewReader(body)} }

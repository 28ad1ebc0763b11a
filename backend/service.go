package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// ServiceClient is the HTTP client for plain services.
type ServiceClient struct {
	http    *http.Client
	limit   int64
	notices NoticeFunc
}

// NewServiceClient returns a client that accepts response bodies of at most limit bytes.
// Each call uses a new connection. On a kept one, an earlier response that a service
// writes once more would pass for the response to the next call, since responses carry
// no request id; and net/http would retry a request if a reused connection breaks.
func NewServiceClient(limit int64) *ServiceClient {
	return &ServiceClient{http: &http.Client{Transport: newTransport(true), CheckRedirect: returnRedirect}, limit: limit}
}

// returnRedirect returns redirects to the caller: following a 307 would send the
// request a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// ObserveNotices sets the function that receives the notices of backend servers. It must
// be called before the client is used.
func (s *ServiceClient) ObserveNotices(f NoticeFunc) { s.notices = f }

// Call is a request to a plain service.
type Call struct {
	Path           string
	ContentType    string
	Body           []byte
	Organisation   string
	IdempotencyKey string
	// BeforeSend is that of StartOptions.
	BeforeSend func() error
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Paused is set if the server asked for a pause.
	Paused bool
}

// Do sends the call once, without retries. Errors are *NotSentError, *UncertainError
// or *ResponseTooLargeError.
func (s *ServiceClient) Do(ctx context.Context, t Target, c Call) (*ServiceResponse, error) {
	var sent atomic.Bool
	ctx, endCheck := WithBeforeSend(ctx, c.BeforeSend)
	defer endCheck()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+c.Path, nonRewindable(c.Body))
	if err != nil {
		return nil, &NotSentError{Backend: t.ID, Cause: err}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set("Content-Type", c.ContentType)
	req.Header.Set(api.HeaderOrganisation, c.Organisation)
	if c.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	telemetry.Inject(ctx, req.Header)
	resp, err := s.http.Do(req)
	if err != nil {
		if !sent.Load() {
			return nil, &NotSentError{Backend: t.ID, Cause: err}
		}
		return nil, &UncertainError{Backend: t.ID, Cause: closedByServer(ctx, err)}
	}
	defer resp.Body.Close()
	notice := s.notices.observe(t, resp)
	response, err := s.read(resp, t)
	if err != nil {
		return nil, err
	}
	response.Paused = notice.AsksForPause()
	return response, nil
}

// closedByServer returns an error that is io.ErrUnexpectedEOF if a server has closed the
// connection while the call was written: net/http then closes the connection itself, and
// reports only that.
func closedByServer(ctx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(err, net.ErrClosed) {
		return errors.Wrap(io.ErrUnexpectedEOF, err.Error())
	}
	return err
}

func (s *ServiceClient) read(resp *http.Response, t Target) (*ServiceResponse, error) {
	if err := httphead.CheckDelimited(resp); err != nil {
		return nil, &UncertainError{Backend: t.ID, Cause: err}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.limit+1))
	if err != nil {
		return nil, &UncertainError{Backend: t.ID, Cause: err}
	}
	if int64(len(body)) > s.limit {
		return nil, &ResponseTooLargeError{Backend: t.ID, Limit: s.limit}
	}
	return &ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

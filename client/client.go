// Package client is the Go client of vanillaarch. It streams responses, resumes an
// interrupted stream on any VM, and returns typed errors.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

const (
	defaultMaxResumes = 10
	resumeDelay       = 100 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	// Addresses are the base URLs of the VMs or of the balancer.
	Addresses []string
	APIKey    string
	// HTTP is the HTTP client. Default http.DefaultClient.
	HTTP *http.Client
	// MaxResumes bounds consecutive resumes that receive no token. Default 10.
	MaxResumes int
}

// Client sends requests to the given addresses in turn. It is safe for concurrent
// use.
type Client struct {
	opts Options
	next atomic.Uint64
}

// New returns a client.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.MaxResumes == 0 {
		o.MaxResumes = defaultMaxResumes
	}
	return &Client{opts: o}
}

// Token is one token of a streamed response.
type Token struct {
	ID   api.EventID
	Text string
}

// TruncatedError reports a stream that ended without api.DoneMarker and could not be
// resumed.
type TruncatedError struct{ Last api.EventID }

func (e *TruncatedError) Error() string { return fmt.Sprintf("stream truncated after %s", e.Last) }

// OrderError reports an event that is out of order, of another generation, or
// malformed.
type OrderError struct {
	Last api.EventID
	Got  string
}

func (e *OrderError) Error() string { return fmt.Sprintf("got event %q after %s", e.Got, e.Last) }

// Stream sends a completion request and calls receive for each token, exactly once
// and in order. After a lost connection it resumes the stream at the next address.
// Typed errors are *api.Problem, *TruncatedError and *OrderError; errors of receive
// are returned unchanged.
func (c *Client) Stream(ctx context.Context, r api.CompletionRequest, receive func(Token) error) error {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	s := &stream{receive: receive}
	for failures := 0; ; failures++ {
		before := s.last.Offset
		done, err := c.readConnection(ctx, s, body)
		if done {
			return err
		}
		if s.last.Offset > before {
			failures = 0
		}
		if s.last.Generation == "" {
			return errors.Wrap(err, "connection lost before the first token")
		}
		if failures >= c.opts.MaxResumes {
			return &TruncatedError{Last: s.last}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resumeDelay):
		}
	}
}

type stream struct {
	receive func(Token) error
	last    api.EventID
}

// readConnection requests or resumes the stream and reads it over one connection.
// done is false if the stream may be resumed.
func (c *Client) readConnection(ctx context.Context, s *stream, body []byte) (done bool, err error) {
	req, err := c.request(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return true, err
	}
	if s.last.Generation != "" {
		req.Header.Set(api.HeaderLastEventID, s.last.String())
	}
	resp, err := c.do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p := readProblem(resp)
		return !resumable(p, s), p
	}
	return s.readEvents(resp.Body)
}

// resumable reports whether another VM may be able to resume the stream after the
// problem.
func resumable(p *api.Problem, s *stream) bool {
	return s.last.Generation != "" && p.Outcome == api.OutcomeNotRun && p.Status == http.StatusServiceUnavailable
}

// readEvents reads events until the stream ends. done is false if the stream may be
// resumed.
func (s *stream) readEvents(body io.Reader) (done bool, err error) {
	for event, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			return false, err
		case event.Type == api.EventError:
			var p api.Problem
			if err := json.Unmarshal([]byte(event.Data), &p); err != nil {
				return true, errors.Wrap(err, "decode problem")
			}
			return true, &p
		case event.Data == api.DoneMarker:
			return true, nil
		}
		if err := s.acceptEvent(event); err != nil {
			return true, err
		}
	}
	return false, &TruncatedError{Last: s.last}
}

// acceptEvent checks that an event is the next one and passes its token to receive.
func (s *stream) acceptEvent(event sse.Event) error {
	id, err := api.ParseEventID(event.LastEventID)
	if err != nil || id.Offset != s.last.Offset+1 || (s.last.Generation != "" && id.Generation != s.last.Generation) {
		return &OrderError{Last: s.last, Got: event.LastEventID}
	}
	var data api.Completion
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil || len(data.Choices) != 1 {
		return &OrderError{Last: s.last, Got: event.Data}
	}
	s.last = id
	return s.receive(Token{ID: id, Text: data.Choices[0].Text})
}

// Complete requests a completion as a single response.
func (c *Client) Complete(ctx context.Context, r api.CompletionRequest) (*api.Completion, error) {
	r.Stream = false
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := c.request(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, errors.Wrap(err, "completion")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readProblem(resp)
	}
	var out api.Completion
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, errors.Wrap(err, "decode completion")
	}
	return &out, nil
}

// ServiceResult is the response of a plain service.
type ServiceResult struct {
	Status int
	Body   []byte
	// Replayed is set if the response was recorded for an earlier call with the same
	// idempotency key.
	Replayed bool
}

// NewIdempotencyKey returns a new key for a non-repeatable call. Retries of the call
// must use the same key.
func NewIdempotencyKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "generate idempotency key")
	}
	return id.String(), nil
}

// Call calls a plain service. key is the idempotency key; it may be empty for
// repeatable routes.
func (c *Client) Call(ctx context.Context, route, key string, body []byte) (*ServiceResult, error) {
	req, err := c.request(ctx, http.MethodPost, "/v1/services/"+route, body)
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, key)
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send service request")
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == api.ContentTypeProblem {
		return nil, readProblem(resp)
	}
	if err := httphead.CheckDelimited(resp); err != nil {
		return nil, errors.Wrap(err, "read service response")
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read service response")
	}
	return &ServiceResult{Status: resp.StatusCode, Body: data, Replayed: resp.Header.Get(api.HeaderReplayed) != ""}, nil
}

// do sends a request and checks the head of the response, since net/http returns some that are none.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	return httphead.Send(req, c.opts.HTTP.Do)
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	base := c.opts.Addresses[c.next.Add(1)%uint64(len(c.opts.Addresses))]
	// The wrapped body leaves GetBody unset, so that net/http doesn't retry a request
	// with an idempotency key by itself.
	req, err := http.NewRequestWithContext(ctx, method, base+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+c.opts.APIKey)
	req.Header.Set("Content-Type", api.ContentTypeJSON)
	return req, nil
}

// readProblem decodes the problem document of a response. The outcome is unknown if
// the body is no problem document.
func readProblem(resp *http.Response) *api.Problem {
	p := &api.Problem{Status: resp.StatusCode, Outcome: api.OutcomeUnknown}
	if err := json.NewDecoder(resp.Body).Decode(p); err != nil {
		p.Detail = "the response is not a problem document"
	}
	if seconds, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		p.RetryAfter = seconds
	}
	return p
}

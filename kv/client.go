package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// HeaderRevision is the response header with the revision of a key.
const HeaderRevision = "X-Revision"

// HeaderLease is the request header with the lease that a written key is attached to.
const HeaderLease = "X-Lease"

// Client is an HTTP client for the key-value service.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the service at the base URL, such as
// "http://127.0.0.1:7000". Each call is limited to timeout, and Watch to its wait
// time plus timeout.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: httphead.Transport{Transport: transport}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) keyURL(key string) string { return c.base + "/v1/kv/" + url.PathEscape(key) }

// Get implements Getter.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.read(ctx, key, c.keyURL(key))
}

// Watch implements Watcher.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	u := fmt.Sprintf("%s?after=%d&wait_ms=%d", c.keyURL(key), after, wait.Milliseconds())
	return c.read(ctx, key, u)
}

func (c *Client) read(ctx context.Context, key, u string) (Entry, error) {
	resp, err := c.do(ctx, http.MethodGet, u, nil, nil)
	if err != nil {
		return Entry{}, &UnavailableError{Op: "get", Cause: err}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Entry{}, &NotFoundError{Key: key}
	case http.StatusNotModified:
		return Entry{}, &WatchTimeoutError{Key: key}
	default:
		return Entry{}, &UnavailableError{Op: "get", Cause: &StatusError{Status: resp.StatusCode}}
	}
	if err := httphead.CheckDelimited(resp); err != nil {
		return Entry{}, &UnavailableError{Op: "get", Cause: err}
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Entry{}, &UnavailableError{Op: "get", Cause: err}
	}
	if len(value) > MaxValueBytes {
		return Entry{}, &UnavailableError{Op: "get", Cause: &ValueTooLargeError{Key: key, Size: len(value)}}
	}
	return Entry{Key: key, Value: value, Revision: revision(resp)}, nil
}

func revision(resp *http.Response) int64 {
	n, _ := strconv.ParseInt(resp.Header.Get(HeaderRevision), 10, 64)
	return n
}

// CompareAndSwap implements Swapper. It performs a single attempt.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease LeaseID) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, &ValueTooLargeError{Key: key, Size: len(value)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	h := http.Header{"If-Match": {strconv.FormatInt(prev, 10)}}
	if lease != 0 {
		h.Set(HeaderLease, strconv.FormatInt(int64(lease), 10))
	}
	resp, err := c.do(ctx, http.MethodPut, c.keyURL(key), value, h)
	if err != nil {
		return 0, writeError(key, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return revision(resp), nil
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Key: key, Revision: revision(resp)}
	case http.StatusNotFound:
		return 0, &NotFoundError{Key: key}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, &UnavailableError{Op: "put", Cause: &StatusError{Status: resp.StatusCode}}
	default:
		return 0, &UncertainError{Key: key, Cause: &StatusError{Status: resp.StatusCode}}
	}
}

// writeError classifies a transport error of a write. After a failed dial the
// write had no effect; after any other error its outcome is unknown.
func writeError(key string, err error) error {
	if op, ok := errors.Into[*net.OpError](err); ok && op.Op == "dial" {
		return &UnavailableError{Op: "put", Cause: err}
	}
	return &UncertainError{Key: key, Cause: err}
}

type leaseDocument struct {
	ID    LeaseID `json:"id"`
	TTLMS int64   `json:"ttl_ms"`
}

// GrantLease implements Leaser.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body, err := json.Marshal(leaseDocument{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	var doc leaseDocument
	if err := c.lease(ctx, http.MethodPost, c.base+"/v1/leases", body, &doc); err != nil {
		return 0, err
	}
	return doc.ID, nil
}

// KeepAlive implements Leaser.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.lease(ctx, http.MethodPut, c.leaseURL(id), nil, nil)
}

// RevokeLease implements Leaser.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.lease(ctx, http.MethodDelete, c.leaseURL(id), nil, nil)
}

func (c *Client) leaseURL(id LeaseID) string {
	return c.base + "/v1/leases/" + strconv.FormatInt(int64(id), 10)
}

func (c *Client) lease(ctx context.Context, method, u string, body []byte, out *leaseDocument) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, method, u, body, nil)
	if err != nil {
		return &UnavailableError{Op: "lease", Cause: err}
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return &NotFoundError{Key: u}
	case resp.StatusCode != http.StatusOK:
		return &UnavailableError{Op: "lease", Cause: &StatusError{Status: resp.StatusCode}}
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &UnavailableError{Op: "lease", Cause: err}
	}
	return nil
}

// do sends one request. The request has no GetBody, so that net/http cannot
// retry a write on its own when a reused connection breaks.
func (c *Client) do(ctx context.Context, method, u string, body []byte, h http.Header) (*http.Response, error) {
	var r io.Reader
	if body != nil {
		r = struct{ io.Reader }{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, u, r)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	for k, v := range h {
		req.Header[k] = v
	}
	return c.http.Do(req)
}

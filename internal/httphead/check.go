package httphead

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// Statuses are three-digit numbers from 100 to 599, by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// InvalidStatusError reports a response whose status is none. It is not an interim response, so
// that nothing more is awaited.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %03d", e.Status)
}

// InvalidNameError reports a field of a head whose name is no token by RFC 9110, section 5.1.
type InvalidNameError struct{ Name string }

func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("head has the invalid field name %q", e.Name)
}

// InvalidVersionError reports a response to a request of HTTP/1.1 whose version has another major number,
// so that its format is not known, by RFC 9110, section 2.5.
type InvalidVersionError struct{ Version string }

func (e *InvalidVersionError) Error() string { return "response has the version " + e.Version }

// CheckVersion returns an *InvalidVersionError if the response to a request of HTTP/1.1 is none of HTTP/1.
// net/http accepts any version.
func CheckVersion(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return &InvalidVersionError{Version: r.Proto}
	}
	return nil
}

// CheckResponse returns an *InvalidStatusError or an *InvalidNameError if the head of a response
// to a request without an upgrade is none. net/http accepts any status of three digits, and blanks in
// names, also before the colon. It does not interpret fields with such names, so that a length or an id
// is not seen.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: r.StatusCode}
	}
	return checkNames(r.Header)
}

func checkNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidNameError{Name: name}
		}
	}
	return nil
}

// Transport is an http.RoundTripper that returns the errors of Send.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return Send(r, t.Transport.RoundTrip)
}

// Send sends a request by send. It returns the error of CheckResponse, that of CheckVersion if the request
// was one of HTTP/1.1, or an *InvalidNameError for the head of an interim response. The connection of such a
// response is closed, since net/http has returned it to its pool if the response has no body. Over HTTP/2
// other requests share the connection, which stays.
func Send(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	var (
		conn  atomic.Pointer[net.Conn]
		http1 atomic.Bool
	)
	resp, err := send(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn.Store(&info.Conn)
			http1.Store(false) // A redirect may lead from HTTP/1.1 to HTTP/2.
		},
		// Requests of HTTP/2 have the pseudo-header field :authority in place of Host.
		WroteHeaderField: func(name string, _ []string) {
			if name == "Host" {
				http1.Store(true)
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(h) },
	})))
	if err != nil {
		return nil, err
	}
	err = CheckResponse(resp)
	if err == nil && http1.Load() {
		err = CheckVersion(resp)
	}
	if err == nil {
		return resp, nil
	}
	_ = resp.Body.Close()
	if c := conn.Load(); c != nil && http1.Load() {
		_ = (*c).Close()
	}
	return nil, err
}

// UndelimitedError reports a response with neither a length nor chunks. Its end cannot be told from a
// broken connection.
type UndelimitedError struct{}

func (e *UndelimitedError) Error() string { return "response has neither a length nor chunks" }

// CheckDelimited returns an *UndelimitedError if the body of a response ends with its connection only. From
// HTTP/2 on, frames mark the end, and a body that net/http has decompressed has an end of its own.
func CheckDelimited(r *http.Response) error {
	if r.ProtoMajor < 2 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed {
		return &UndelimitedError{}
	}
	return nil
}

package frontend

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/vanillaarch/vanillaarch/api"
)

const (
	// http2Major is the major version of HTTP/2.
	http2Major = 2
	// maxStreams bounds the requests in progress of one HTTP/2 connection. It is the least that
	// RFC 9113 recommends.
	maxStreams = 100
	// receiveWindowBytes is how much of the bodies of one connection, and of one body, may arrive
	// before it is read. It is the least that net/http accepts; its default is 1 MiB.
	receiveWindowBytes = 64 << 10
	// maxFrameBytes bounds a frame, which is buffered for each connection. It is the least that
	// HTTP/2 allows; the default of net/http is 1 MiB.
	maxFrameBytes = 16 << 10
	// tlsBytes is the memory of a TLS connection with a request in progress beside that of a
	// plain one: two records and the state of the session.
	tlsBytes = 48 << 10
)

// HTTP2Config returns the limits on HTTP/2 connections of callers for which headMemory accounts.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrameBytes,
		MaxReceiveBufferPerConnection: receiveWindowBytes, MaxReceiveBufferPerStream: receiveWindowBytes,
	}
}

// isHTTP2 reports whether a request is a stream of an HTTP/2 connection.
func isHTTP2(r *http.Request) bool { return r.ProtoMajor >= http2Major }

// connectionMemory returns the memory that the connection of a request takes in addition to that
// of a plain HTTP/1.1 connection.
func connectionMemory(r *http.Request) int64 {
	var bytes int64
	if r.TLS != nil {
		bytes += tlsBytes
	}
	if isHTTP2(r) {
		bytes += receiveWindowBytes + maxFrameBytes
	}
	return bytes
}

// limitStreams is the middleware that bounds the HTTP/2 requests in progress of all connections,
// each of which takes memory before its body is read. Over HTTP/1.1, the bound on connections is
// one on requests as well.
func (f *Frontend) limitStreams(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !isHTTP2(c.Request()) || f.MaxStreams == 0 {
			return next(c)
		}
		defer f.streams.Add(-1)
		if f.streams.Add(1) <= int64(f.MaxStreams) {
			return next(c)
		}
		f.counter.streamsRefused.Inc(1)
		return writeProblem(c, notRunProblem(api.ProblemNoMemory, http.StatusServiceUnavailable,
			"the VM has too many requests in progress", retryAfterBackend, nil))
	}
}

package frontend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vanillaarch/vanillaarch/api"
)

// Guards against streams of HTTP/2 connections that take memory while they wait for more, without
// a bound on all of them.
func TestStreamsBeyondTheirLimitAreRefused(t *testing.T) {
	r := newRig(t, 1)
	r.MaxStreams = 1
	send := func(protoMajor int) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/v1/services/look", strings.NewReader("{}"))
		request.Header.Set("Authorization", "Bearer key")
		request.ProtoMajor = protoMajor
		w := httptest.NewRecorder()
		r.handler.ServeHTTP(w, request)
		return w
	}
	if w := send(2); w.Code != http.StatusOK {
		t.Errorf("a single stream: %d %s", w.Code, w.Body)
	}
	r.streams.Add(1) // Another stream is in progress.
	w := send(2)
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), string(api.ProblemNoMemory)) ||
		!strings.Contains(w.Body.String(), string(api.OutcomeNotRun)) || w.Header().Get("Retry-After") == "" {
		t.Errorf("a stream beyond the limit: %d %s", w.Code, w.Body)
	}
	if w := send(1); w.Code != http.StatusOK {
		t.Errorf("a request over HTTP/1.1: %d %s", w.Code, w.Body)
	}
	if in := r.streams.Load(); in != 1 {
		t.Errorf("%d streams in progress, want 1", in)
	}
}

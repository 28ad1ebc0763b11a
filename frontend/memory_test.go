package frontend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
)

// smallVM is the memory of a VM whose budget for requests has room for one request with the
// largest body.
const smallVM = 1

// largestBody is a completion request of the largest legal size.
func (r *rig) largestBody() string {
	begin, end := `{"model":"`+rigModel+`","prompt":"`, `"}`
	return begin + strings.Repeat("p", int(r.Config.Limits.BodyBytes)-len(begin)-len(end)) + end
}

// Guards against a budget for requests that refuses a single one inside the limits.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	r := newRig(t, 1)
	r.requests = newRequestMemory(smallVM, r.Config.Limits)
	for path, body := range map[string]string{"/v1/completions": r.largestBody(), "/v1/services/look": r.largestBody()} {
		if w := r.send(http.MethodPost, path, body); w.Code != http.StatusOK {
			t.Errorf("%s: %d %s", path, w.Code, w.Body)
		}
		// Large buffers count until they were collected.
		for end := time.Now().Add(10 * time.Second); r.requests.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			runtime.GC()
		}
		if used := r.requests.Used(); used != 0 {
			t.Errorf("%s: %d bytes are still reserved", path, used)
		}
	}
}

// Guards against a budget for requests that refuses a single one inside the limits whose connection
// takes more than a plain one: the memory of the connection counts twice for a short time.
func TestLargestBodyOverHTTP2IsServedInCalm(t *testing.T) {
	r := newRig(t, 1)
	r.requests = newRequestMemory(smallVM, r.Config.Limits)
	server := httptest.NewUnstartedServer(r.handler)
	server.EnableHTTP2 = true
	server.Config.HTTP2 = HTTP2Config()
	server.StartTLS()
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions", strings.NewReader(r.largestBody()))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key")
	answer, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); answer.StatusCode != http.StatusOK || answer.ProtoMajor != http2Major || err != nil {
		t.Errorf("%s %d %s, %v", answer.Proto, answer.StatusCode, body, err)
	}
}

// Guards against bodies that stop before their end and take the memory that other requests need.
func TestIncompleteBodyGivesWay(t *testing.T) {
	r := newRig(t, 1)
	r.requests = newRequestMemory(smallVM, r.Config.Limits)
	server := httptest.NewServer(r.handler)
	defer server.Close()
	body := r.largestBody()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-1])
	if err != nil {
		t.Fatal(err)
	}
	for r.requests.Used() < int64(len(body)) {
		time.Sleep(time.Millisecond)
	}
	needs := r.requests.Limit() - r.requests.SmallPartBytes - int64(len(body))/2
	another := r.requests.Reserve("another organisation")
	defer another.Release()
	for end := time.Now().Add(10 * time.Second); ; {
		if err = another.Admit(context.Background(), needs); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		t.Errorf("another request has no memory: %v", err)
	}
	if w := r.send(http.MethodPost, "/v1/services/look", "{}"); w.Code != http.StatusOK {
		t.Errorf("a small request: %d %s", w.Code, w.Body)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var problem api.Problem
	if err := json.NewDecoder(answer.Body).Decode(&problem); err != nil {
		t.Fatal(err)
	}
	if answer.StatusCode != http.StatusServiceUnavailable || problem.Kind() != api.ProblemNoMemory || problem.Outcome != api.OutcomeNotRun ||
		answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("the incomplete request: %d %v", answer.StatusCode, problem)
	}
	if calls := r.calls("engine-0"); len(calls) != 0 {
		t.Errorf("the incomplete request was passed on: %v", calls)
	}
}

package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// maxProvocations is how often a request is sent until it meets the fault under test.
const maxProvocations = 30

// respondWith returns a script that writes a response and then closes the connection.
// "ID" in the response is replaced by the id of the request.
func respondWith(response string) userplatform.Script {
	return func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("Request-Id")))
	}
}

// signedHead is the beginning of the head of a signed stream.
const signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"

// errorResponses are responses that are no stream of events.
var errorResponses = map[string]string{
	"error":                "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nbad: fail",
	"error in chunks":      "HTTP/1.1 502 Bad Gateway\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbad: fail\r\n0\r\n\r\n",
	"error without length": "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\n\r\nbad: fail\n\n",
	"unconfirmed refusal":  "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nbad: fail",
	"not found":            "HTTP/1.1 404 Not Found\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nbad: fail",
	"redirect":             "HTTP/1.1 302 Found\r\nRequest-Id: ID\r\nLocation: /bad\r\nContent-Length: 9\r\n\r\nbad: fail",
	"partial content":      "HTTP/1.1 206 Partial Content\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nbad: fail",
	"no content":           "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n",
	"unsigned events":      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 17\r\n\r\nid: 5\ndata: bad\n\n",
	"error with 200":       signedHead + "Content-Length: 11\r\n\r\nbad: fail\n\n",
	"text with 200":        signedHead + "Content-Length: 9\r\n\r\nbad: fail",
	"head as event":        signedHead + "\r\nHTTP/1.1 500 bad\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n",
	"head only":            signedHead + "\r\n",
	"cut head":             signedHead + "Transfer-Enc",
	"cut head after line":  signedHead,
	"cut status line":      "HTTP/1.1 2",
	"interim head only":    "HTTP/1.1 103 Early Hints\r\nLink: bad\r\n\r\n",
	"no response":          "",
}

// Guards against a response of the next engine that is no stream, or is cut, in the
// middle of a stream whose engine broke off, and against such a stream that looks
// complete.
func TestErrorOfNextEngineIsNotInTheStream(t *testing.T) {
	const events = 8
	for name, response := range errorResponses {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, options{vms: 1, engines: 2, events: events, interval: time.Millisecond})
			s.engines[0].SetFaults(userplatform.ServerFaults{BreakAfter: 4})
			s.engines[1].SetFaults(userplatform.ServerFaults{Script: respondWith(response)})
			for range maxProvocations {
				got := s.send(s.vms[0], check())
				runs := s.fleet.Runs(got.id)
				if len(runs) != 2 || runs[0] != s.engines[0].ID() {
					continue
				}
				if got.err == nil {
					t.Errorf("the stream looks complete after %d bytes", len(got.body))
				}
				if err := checkEvents(got, 4); err != nil {
					t.Error(err)
				}
				return
			}
			t.Error("no stream went on at the second engine")
		})
	}
}

// checkEvents returns an error unless the body of a stream consists of the first n
// events of its request.
func checkEvents(a response, n int) error {
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s %d\n\n", i, a.id, i)
	}
	if a.body != want.String() {
		return fmt.Errorf("got %q, want %q", a.body, want.String())
	}
	return nil
}

// Guards against waiting for the body of an error response that is not forwarded: a
// body that does not end kept a resumable stream from going on until its deadline.
func TestEndlessErrorOfNextEngineIsNotAwaited(t *testing.T) {
	const (
		events = 8
		// maxDuration is well below the deadline of the route, which is 6 s.
		maxDuration = 2 * time.Second
	)
	s := newSite(t, options{vms: 1, engines: 2, events: events, interval: time.Millisecond})
	s.engines[0].SetFaults(userplatform.ServerFaults{BreakAfter: 4})
	s.engines[1].SetFaults(userplatform.ServerFaults{Script: func(conn net.Conn, r *http.Request) {
		respondWith("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 100\r\n\r\n")(conn, r)
		_, _ = io.Copy(io.Discard, conn)
	}})
	for range maxProvocations {
		a := check()
		a.header["Deadline-Ms"] = "4000"
		begin := time.Now()
		got := s.send(s.vms[0], a)
		runs := s.fleet.Runs(got.id)
		if len(runs) != 2 || runs[0] != s.engines[0].ID() {
			continue
		}
		if took := time.Since(begin); took > maxDuration || got.err == nil {
			t.Errorf("the stream ended with %v after %v", got.err, took)
		}
		return
	}
	t.Error("no stream went on at the second engine")
}

// Guards against a success without the engine's signature, or with a part of its
// body, for a stream whose engine responds with another 2xx than 200.
func TestOtherSuccessOfEngineIsCheckedToo(t *testing.T) {
	const maxBytes = 8 << 20
	s := newSite(t, options{vms: 1, engines: 1, events: 2, interval: time.Millisecond})
	for name, script := range map[string]userplatform.Script{
		"empty":    respondWith("HTTP/1.1 202 Accepted\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n"),
		"unsigned": respondWith("HTTP/1.1 206 Partial Content\r\nRequest-Id: ID\r\nContent-Length: 3\r\n\r\nbad"),
		"too long": func(conn net.Conn, r *http.Request) {
			respondWith("HTTP/1.1 202 Accepted\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n")(conn, r)
			_, _ = io.WriteString(conn, strings.Repeat("x", 2*maxBytes))
		},
	} {
		s.engines[0].SetFaults(userplatform.ServerFaults{Script: script})
		got := s.send(s.vms[0], draft())
		if got.status != http.StatusBadGateway || got.err != nil || len(s.fleet.Runs(got.id)) != 1 {
			t.Errorf("%s: status %d, %v, %d bytes, ran on %v", name, got.status, got.err, len(got.body), s.fleet.Runs(got.id))
		}
	}
}

// Guards against a booking or a draft that is lost since it was sent over the connection of
// an unsigned success, which a faulty server closes after it.
func TestConnectionOfUnsignedSuccessIsNotUsedAgain(t *testing.T) {
	var again atomic.Int64
	unsigned := respondWith("HTTP/1.1 206 Partial Content\r\nRequest-Id: ID\r\nContent-Length: 3\r\n\r\nbad")
	faults := userplatform.ServerFaults{Script: func(conn net.Conn, r *http.Request) {
		unsigned(conn, r)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			again.Add(1)
		}
	}}
	s := newSite(t, options{vms: 1, engines: 1, plainServers: 1, events: 2, interval: time.Millisecond})
	s.engines[0].SetFaults(faults)
	s.plainServers[0].SetFaults(faults)
	for range 2 {
		for _, newRequest := range []func() request{draft, book} {
			if got := s.send(s.vms[0], newRequest()); got.status != http.StatusBadGateway {
				t.Errorf("status %d, %v", got.status, got.err)
			}
		}
	}
	if n := again.Load(); n != 0 {
		t.Errorf("%d requests over the connection of an unsigned success", n)
	}
}

// cutResponses are responses that end within their head, or right after a head without
// a length.
var cutResponses = map[string]string{
	"header value":        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 1",
	"after header line":   "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 0\r\n",
	"head without length": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n",
	"short body":          "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 30\r\n\r\nshort",
}

// Guards against a success with an empty or short body after a server stopped within
// the head of its response or right after it: a request that must not be repeated has
// an unknown outcome, the others are served elsewhere.
func TestResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	for name, cut := range cutResponses {
		// A new site knows nothing of failures, so it uses the faulty servers.
		for kind, requests := range map[string][]request{"once": {book(), draft()}, "repeatable": {look(), check()}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				s := newSite(t, options{vms: 1, engines: 2, plainServers: 2, events: 3, interval: time.Millisecond})
				s.plainServers[0].SetFaults(userplatform.ServerFaults{Script: respondWith(cut)})
				s.engines[0].SetFaults(userplatform.ServerFaults{Script: respondWith(cut)})
				for _, a := range requests {
					s.sendToCutServer(a)
				}
			})
		}
	}
}

// sendToCutServer sends a request until the faulty plain server or engine, the first of
// its kind, was the first to get it, and checks the response.
func (s *site) sendToCutServer(a request) {
	s.t.Helper()
	for range maxProvocations {
		got := s.send(s.vms[0], a)
		runs := s.fleet.Runs(got.id)
		if len(runs) == 0 || runs[0] != s.engines[0].ID() && runs[0] != s.plainServers[0].ID() {
			continue
		}
		repeatable := a.path == look().path || a.path == check().path
		switch {
		case got.err != nil, repeatable && (got.status != http.StatusOK || len(got.body) == 0):
			s.t.Errorf("%s: status %d, %v, body %q, ran on %v", a.path, got.status, got.err, got.body, runs)
		case !repeatable && (got.status != http.StatusBadGateway || len(runs) != 1):
			s.t.Errorf("%s: status %d, body %q, ran on %v", a.path, got.status, got.body, runs)
		}
		return
	}
	s.t.Errorf("%s: never sent to the faulty server first", a.path)
}

// Guards against taking a refusal that a server writes once more on a kept connection
// for the response to the next request with the same id there: a request that runs
// would be refused as not run, or run twice. This happens if two entries of the list
// have one address, since another server uses it.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	s := newSite(t, options{vms: 1, plainServers: 1})
	for i := range 3 {
		s.listAlias(fmt.Sprintf("gone-%d", i), s.plainServers[0].Address())
	}
	s.eventually(5*time.Second, "the entries are known", func() bool { return len(s.vms[0].Snapshot().Backends) == 4 })
	s.plainServers[0].SetFaults(userplatform.ServerFaults{RepeatRefusals: true})
	refused := 0
	for range maxProvocations {
		for _, a := range []request{book(), look()} {
			got := s.send(s.vms[0], a)
			if s.plainServers[0].Arrivals(got.id) > 1 {
				refused++
			}
			if runs := s.fleet.Runs(got.id); got.status != http.StatusOK || len(runs) != 1 {
				t.Errorf("%s: status %d, ran on %v: %s", a.path, got.status, runs, got.body)
			}
		}
		if refused > 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	if refused == 0 {
		t.Error("no request was refused first")
	}
}

// listAlias adds the entry of a plain server that is gone and whose address another
// server uses.
func (s *site) listAlias(id, address string) {
	s.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":"z","version":"v1","slots":6,`+
		`"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`, address))
}

// Guards against the same for an engine that refused a run, which later goes on there
// from a copy: the refusal would cut the stream or make another engine run it too.
func TestRepeatedRefusalIsNotTheResponseToACopy(t *testing.T) {
	const events = 100
	s := newSite(t, options{vms: 1, engines: 2, events: events, interval: 10 * time.Millisecond})
	refusing, running := s.engines[0], s.engines[1]
	for range maxProvocations {
		refusing.SetFaults(userplatform.ServerFaults{Shed: true})
		a := check() // A route with a second attempt.
		a.id = fmt.Sprintf("refused-%d", lastID.Add(1))
		ended := make(chan response, 1)
		go func() { ended <- s.send(s.vms[0], a) }()
		s.eventually(3*time.Second, "the stream runs", func() bool { return len(s.fleet.Runs(a.id)) == 1 })
		refusing.SetFaults(userplatform.ServerFaults{RepeatRefusals: true})
		if refusing.Arrivals(a.id) == 0 {
			<-ended
			continue
		}
		time.Sleep(events * time.Millisecond) // Copies are made of runs with events.
		running.Register("draining")
		if err := checkStream(<-ended, events); err != nil {
			t.Error(err)
		}
		if runs := s.fleet.Runs(a.id); len(runs) != 1 || refusing.Arrivals(a.id) != 2 {
			t.Errorf("ran on %v, arrived %d times at the engine with the copy", runs, refusing.Arrivals(a.id))
		}
		return
	}
	t.Error("no stream was refused first")
}

// Guards against a refusal that names no request, or another one, and counts for a request
// that was run: the caller would be told that it did not run, or another server would run
// it too.
func TestRefusalOfNoOrAnotherRequestDoesNotCount(t *testing.T) {
	for name, response := range map[string]string{
		"misdirected":         "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"misdirected other":   "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n",
		"refused":             "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"refused other":       "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n",
		"too many":            "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"refused and cut":     "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\n",
		"refused in its head": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, options{vms: 1, engines: 2, plainServers: 2, events: 3, interval: time.Millisecond})
			for _, server := range append(s.engines, s.plainServers...) {
				server.SetFaults(userplatform.ServerFaults{Script: respondWith(response)})
			}
			requests := []request{book(), draft()}
			if strings.HasSuffix(name, "cut") {
				requests = requests[:1] // The head of a refusal is enough for a stream.
			}
			for _, a := range requests {
				got := s.send(s.vms[0], a)
				if runs := s.fleet.Runs(got.id); got.status != http.StatusBadGateway || len(runs) != 1 {
					t.Errorf("%s: status %d, want 502, ran on %v: %s", a.path, got.status, runs, got.body)
				}
			}
		})
	}
}

// Guards against an empty success for a request whose caller closes only its direction of the
// connection: the VM takes that for the end of the caller, and has no answer.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	s := newSite(t, options{vms: 1, plainServers: 1})
	s.plainServers[0].SetFaults(userplatform.ServerFaults{Hang: true})
	c := dialVM(t, s.vms[0].Addresses().Callers)
	c.send("GET /look/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nRequest-Id: half\r\nDeadline-Ms: 5000\r\n\r\n")
	s.eventually(time.Second, "the server has the request", func() bool { return s.plainServers[0].Arrivals("half") > 0 })
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if status, err := c.readStatus(); err == nil && status < http.StatusMultipleChoices {
		t.Errorf("status %d without the answer of a server", status)
	}
}

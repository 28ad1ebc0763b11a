// Package platform_test tests the entire request path on the users' platform,
// with callers, entry VMs, the store and backend servers, and failures of each.
package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/discovery"
	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
)

const (
	key     = localsite.APIKey
	host    = "site.example"
	version = localsite.ConfigVersion
)

// site is a deployment under test.
type site struct {
	*localsite.Site
	t            *testing.T
	store        *userplatform.Store
	fleet        *userplatform.Fleet
	engines      []*userplatform.Server
	plainServers []*userplatform.Server
	vms          []*localsite.VM
}

// options configures a site.
type options struct {
	vms, engines, plainServers int
	// plainServerSlots is the number of requests that a plain server runs concurrently, 0
	// for the default.
	plainServerSlots int
	processingTime   time.Duration
	entries          int
	configDelay      time.Duration
	firstStart       bool
	events           int
	interval         time.Duration
	bounds           func(*config.Bounds)
	era              int64
	// codec decodes the entries of the store, nil for that of the platform.
	codec discovery.Codec
}

func newSite(t *testing.T, o options) *site {
	t.Helper()
	bounds := localsite.DefaultBounds()
	if o.bounds != nil {
		o.bounds(&bounds)
	}
	s, err := localsite.Start(localsite.Options{
		VMs: o.vms, Engines: o.engines, PlainServers: o.plainServers, PlainServerSlots: o.plainServerSlots, ProcessingTime: o.processingTime, UnstartedServers: o.entries, ConfigDelay: o.configDelay, FirstStart: o.firstStart, Events: o.events, EventInterval: o.interval, Bounds: bounds, Era: o.era, Codec: o.codec,
		Logs: func(vm string) io.Writer { return logOnFailure(t, vm) },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		for _, v := range s.VMs {
			if v.Err != nil {
				t.Errorf("%s: %v", v.Name, v.Err)
			}
		}
	})
	return &site{Site: s, t: t, store: s.Store, fleet: s.Fleet, engines: s.Engines, plainServers: s.PlainServers, vms: s.VMs}
}

// refuseAllCalls makes the store refuse the calls of all VMs.
func (s *site) refuseAllCalls() {
	s.store.SetFaults(userplatform.StoreFaults{Refuse: []string{"*"}, RefuseStatus: http.StatusServiceUnavailable})
}

func (s *site) mustStartVM(name string) *localsite.VM {
	s.t.Helper()
	v, err := s.StartVM(name)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// logOnFailure returns a writer whose content is logged if the test fails.
func logOnFailure(t *testing.T, vm string) io.Writer {
	lines := &testlog.Buffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of %s:\n%s", vm, lines.String())
		}
	})
	return lines
}

func (s *site) eventually(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

var lastID atomic.Int64

// request is a request of a caller. An empty id is replaced by a new one, and an
// empty key sends no Authorization header.
type request struct {
	method, path, body, key, id string
	header                      map[string]string
	// chunked sends the body in chunks, without its length.
	chunked bool
}

// response is the result of a request.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	// closes is set if the VM closes the connection after the response.
	closes bool
	err    error
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// send sends a request to a VM and reads the whole response.
func (s *site) send(v *localsite.VM, a request) response {
	if a.id == "" {
		a.id = "request-" + strconv.FormatInt(lastID.Add(1), 10)
	}
	var body io.Reader = strings.NewReader(a.body)
	if a.chunked {
		body = io.MultiReader(body) // Its length is unknown.
	}
	req, err := http.NewRequest(a.method, "http://"+v.Addresses().Callers+a.path, body)
	if err != nil {
		s.t.Error(err)
		return response{err: err}
	}
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", "20000")
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	for k, value := range a.header {
		req.Header.Set(k, value)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return response{id: a.id, err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{id: a.id, status: resp.StatusCode, header: resp.Header, body: string(text), closes: resp.Close, err: err}
}

func book() request {
	return request{method: http.MethodPost, path: "/book/1", body: "deposit", key: key}
}

func look() request { return request{method: http.MethodGet, path: "/look/1?full=1", key: key} }

func draft() request {
	return request{method: http.MethodPost, path: "/draft/1", body: "prompt", key: key, header: map[string]string{
		"Model": "m", "Token-Count": "3000,4000", "Prompt-Prefix": "a1:40,b2:30",
	}}
}

func check() request {
	a := draft()
	a.path = "/check/1"
	return a
}

// checkStream returns an error unless the response is a complete stream with the
// given number of events.
func checkStream(a response, events int) error {
	if a.err != nil || a.status != http.StatusOK {
		return fmt.Errorf("request %s: status %d, %v, %.200s", a.id, a.status, a.err, a.body[max(0, len(a.body)-200):])
	}
	next := 1
	scanner := bufio.NewScanner(strings.NewReader(a.body))
	for scanner.Scan() {
		value, ok := strings.CutPrefix(scanner.Text(), "id: ")
		if !ok {
			continue
		}
		if value != strconv.Itoa(next) {
			return fmt.Errorf("event %s after event %d", value, next-1)
		}
		next++
	}
	if next != events+1 {
		return fmt.Errorf("got %d events, want %d", next-1, events)
	}
	return nil
}

// serverKind is a kind of backend server with requests that it serves.
type serverKind struct {
	name    string
	request func() request
	servers func(*site) []*userplatform.Server
}

// serverKinds returns plain servers, to which the given requests are sent, and engines.
func serverKinds(plain func() request) []serverKind {
	return []serverKind{
		{"plain", plain, func(s *site) []*userplatform.Server { return s.plainServers }},
		{"streams", check, func(s *site) []*userplatform.Server { return s.engines }},
	}
}

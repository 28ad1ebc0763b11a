// Package platform_test plays the whole path on the platform's protocol:
// callers, entry VMs, store and backend servers, with their failures.
package platform_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

const (
	key     = localsite.Key
	host    = "site.example"
	version = localsite.Version
)

// site is a deployment with the test that uses it.
type site struct {
	*localsite.Site
	t       *testing.T
	store   *userplatform.Store
	fleet   *userplatform.Fleet
	engines []*userplatform.Server
	desks   []*userplatform.Server
	vms     []*localsite.VM
}

// options vary a site.
type options struct {
	vms, engines, desks int
	entries             int
	configDelay         time.Duration
	firstStart          bool
	events              int
	interval            time.Duration
	bounds              func(*config.Bounds)
}

func newSite(t *testing.T, o options) *site {
	t.Helper()
	bounds := localsite.DefaultBounds()
	if o.bounds != nil {
		o.bounds(&bounds)
	}
	s, err := localsite.Start(localsite.Options{
		VMs: o.vms, Engines: o.engines, Desks: o.desks, Entries: o.entries, ConfigDelay: o.configDelay, FirstStart: o.firstStart, Events: o.events, EventInterval: o.interval, Bounds: bounds,
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
	return &site{Site: s, t: t, store: s.Store, fleet: s.Fleet, engines: s.Engines, desks: s.Desks, vms: s.VMs}
}

func (s *site) mustStartVM(name string) *localsite.VM {
	s.t.Helper()
	v, err := s.StartVM(name)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// logOnFailure returns a writer whose lines are printed if the test fails.
func logOnFailure(t *testing.T, vm string) io.Writer {
	lines := &bytes.Buffer{}
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
			s.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

var lastID atomic.Int64

// request is a request of a caller.
type request struct {
	method, path, body, key, id string
	header                      map[string]string
}

// response is what a caller got.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	// closes says that the VM closes the connection.
	closes bool
	err    error
}

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// send sends a request to a VM and reads the whole answer.
func (s *site) send(v *localsite.VM, a request) response {
	if a.id == "" {
		a.id = "request-" + strconv.FormatInt(lastID.Add(1), 10)
	}
	req, err := http.NewRequest(a.method, "http://"+v.Addresses().Callers+a.path, strings.NewReader(a.body))
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
	body, err := io.ReadAll(resp.Body)
	return response{id: a.id, status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
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

// checkStream reports what is wrong with an answer that should be a whole stream.
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
			return fmt.Errorf("event %s follows event %d", value, next-1)
		}
		next++
	}
	if next != events+1 {
		return fmt.Errorf("%d events, want %d", next-1, events)
	}
	return nil
}

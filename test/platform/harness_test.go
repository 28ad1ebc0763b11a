// Package platform_test plays the whole path on the platform's protocol:
// callers, entry VMs, store and backend servers, with their failures.
package platform_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

const (
	key     = "key-of-acme"
	host    = "site.example"
	version = 3
)

// site is a deployment: a store, backend servers and entry VMs.
type site struct {
	t       *testing.T
	store   *userplatform.Store
	fleet   *userplatform.Fleet
	engines []*userplatform.Server
	desks   []*userplatform.Server
	vms     []*vm
}

// vm is a running entry VM.
type vm struct {
	*vanillaarch.Entry
	name  string
	stop  context.CancelFunc
	ended chan struct{}
}

// options vary a site.
type options struct {
	vms, engines, desks int
	events              int
	interval            time.Duration
	bounds              func(*config.Bounds)
}

func newSite(t *testing.T, o options) *site {
	t.Helper()
	s := &site{t: t, store: userplatform.NewStore()}
	t.Cleanup(s.store.Close)
	s.fleet = userplatform.NewFleet(s.store)
	s.store.Put("op/config", userplatform.Config(version, key))
	for i := range o.engines {
		s.engines = append(s.engines, s.server(userplatform.ServerOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: "z", Model: "m", Slots: 24,
			Events: o.events, EventInterval: o.interval,
		}))
	}
	for i := range o.desks {
		s.desks = append(s.desks, s.server(userplatform.ServerOptions{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: "z", Slots: 6, Work: 5 * time.Millisecond,
		}))
	}
	for i := range o.vms {
		s.vms = append(s.vms, s.vm(fmt.Sprintf("vm-%d", i), o.bounds))
	}
	for _, v := range s.vms {
		s.eventually(10*time.Second, v.name+" knows the whole site", func() bool {
			snap := v.Snapshot()
			return snap.Routes != nil && len(snap.Backends) == o.engines+o.desks && len(snap.EntryVMs) == o.vms
		})
	}
	return s
}

func (s *site) server(o userplatform.ServerOptions) *userplatform.Server {
	s.t.Helper()
	server, err := s.fleet.Start(o)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Crash)
	return server
}

func (s *site) vm(name string, bounds func(*config.Bounds)) *vm {
	s.t.Helper()
	store, err := standin.Listen("127.0.0.1:0", s.store.For(name))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(store.Close)
	any0 := "127.0.0.1:0"
	d := config.Deployment{
		VM: name, Zone: "z", Region: "r", Listen: config.DeploymentListen{Callers: any0, Ready: any0, Peers: any0, Metrics: any0},
		Limits: config.VMLimits{MemoryBytes: 120 << 20}, Store: config.StoreSettings{Address: store.Address(), MinLease: time.Second},
		Bounds: config.Bounds{
			Drain: 2 * time.Second, Grace: 700 * time.Millisecond, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second,
			RetryRatio: 0.2, RetrySlack: 129, RetryWindow: 10 * time.Second,
		},
	}
	if bounds != nil {
		bounds(&d.Bounds)
	}
	client := platform.NewStore(store.Address(), 500*time.Millisecond)
	s.t.Cleanup(client.Close)
	entry, err := vanillaarch.NewEntry(vanillaarch.EntryOptions{
		Deployment: d, Store: client, Codec: platform.Entries{}, Edge: platform.Headers{}, Log: s.log(name),
		Engines: func(x *backend.Exchanges) edge.EngineClient { return platform.Engines{Exchanges: x} },
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{Entry: entry, name: name, stop: cancel, ended: make(chan struct{})}
	go func() {
		defer close(v.ended)
		if err := entry.Run(ctx); err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-v.ended })
	return v
}

// log returns a logger whose lines are printed if the test fails.
func (s *site) log(name string) *zap.Logger {
	lines := &bytes.Buffer{}
	log := telemetry.NewLogger(zapcore.Lock(zapcore.AddSync(lines)), "info", name)
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, lines.String())
		}
	})
	return log
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

// ask is a request of a caller.
type ask struct {
	method, path, body, key, id string
	header                      map[string]string
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// closes says that the VM closes the connection.
	closes bool
	err    error
}

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// send sends a request to a VM and reads the whole answer.
func (s *site) send(v *vm, a ask) answer {
	if a.id == "" {
		a.id = "request-" + strconv.FormatInt(lastID.Add(1), 10)
	}
	req, err := http.NewRequest(a.method, "http://"+v.Addresses().Callers+a.path, strings.NewReader(a.body))
	if err != nil {
		s.t.Error(err)
		return answer{err: err}
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
	resp, err := caller.Do(req)
	if err != nil {
		return answer{id: a.id, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{id: a.id, status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}

func book() ask { return ask{method: http.MethodPost, path: "/book/1", body: "deposit", key: key} }

func look() ask { return ask{method: http.MethodGet, path: "/look/1?full=1", key: key} }

func draft() ask {
	return ask{method: http.MethodPost, path: "/draft/1", body: "prompt", key: key, header: map[string]string{
		"Model": "m", "Token-Count": "3000,4000", "Prompt-Prefix": "a1:40,b2:30",
	}}
}

func check() ask {
	a := draft()
	a.path = "/check/1"
	return a
}

// wholeStream reports what is wrong with an answer that should be a whole stream.
func wholeStream(a answer, events int) error {
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

package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	versionEvents = 100
	// runInterval makes streams last for 2.5 s: engines leave and stop while they run.
	runInterval = 25 * time.Millisecond
	// takeUpInterval makes streams that are taken up last for 1 s.
	takeUpInterval = 10 * time.Millisecond
	// atOnce is the time within which a stream that can't go on ends, and a request for one is refused.
	atOnce = time.Second
	// oldVersion is the version that fails or leaves in the tests.
	oldVersion = "a"
)

// versionSite is a site with engines of several software versions.
type versionSite struct {
	*site
	interval time.Duration
	// started holds the version with which an engine started first.
	started map[*userplatform.Server]string
}

// newVersionSite starts a site with one engine for each letter of versions, which names its version.
func newVersionSite(t *testing.T, vms int, interval time.Duration, versions string) *versionSite {
	t.Helper()
	s := &versionSite{newSite(t, options{vms: vms}), interval, map[*userplatform.Server]string{}}
	s.startEngines(evacuatedZone, versions)
	return s
}

func (s *versionSite) startEngines(zone, versions string) {
	s.t.Helper()
	for _, letter := range versions {
		version := string(letter)
		e, err := s.StartServer(userplatform.ServerOptions{
			ID: fmt.Sprintf("engine-%d%s", len(s.engines), version), Service: "engines", Zone: zone, Model: "m", Slots: 24,
			SoftwareVersion: version, Events: versionEvents, EventInterval: s.interval,
		})
		if err != nil {
			s.t.Fatal(err)
		}
		s.engines = append(s.engines, e)
		s.started[e] = version
	}
	s.awaitEntries("the engines are known", func(vm vmlist.VM, listed bool) bool { return listed }, s.engines...)
}

// awaitEntries waits until all VMs know of all given engines what ok requires.
func (s *versionSite) awaitEntries(what string, ok func(vm vmlist.VM, listed bool) bool, engines ...*userplatform.Server) {
	s.t.Helper()
	s.eventuallyOnAllVMs(what, func(v *localsite.VM) bool {
		backends := v.Snapshot().Backends
		return !slices.ContainsFunc(engines, func(e *userplatform.Server) bool {
			vm, listed := backends[e.ID()]
			return !ok(vm, listed)
		})
	})
}

// of returns the engines that started with a version.
func (s *versionSite) of(version string) (engines []*userplatform.Server) {
	for _, e := range s.engines {
		if s.started[e] == version {
			engines = append(engines, e)
		}
	}
	return engines
}

func (s *versionSite) setFaults(f userplatform.ServerFaults, engines ...*userplatform.Server) {
	for _, e := range engines {
		e.SetFaults(f)
	}
}

// restartAs restarts an engine under its id with another version, and waits until all VMs know it.
func (s *versionSite) restartAs(e *userplatform.Server, version string) {
	s.t.Helper()
	e.Pause()
	e.SetSoftwareVersion(version)
	if err := e.Resume(); err != nil {
		s.t.Fatal(err)
	}
	e.Restart()
	s.awaitEntries("the engine has started again", func(vm vmlist.VM, _ bool) bool {
		return vm.SoftwareVersion == vmlist.SoftwareVersion(version)
	}, e)
}

// leave makes engines leave in the store, and waits until all VMs know it.
func (s *versionSite) leave(engines ...*userplatform.Server) {
	s.t.Helper()
	for _, e := range engines {
		e.Register("draining")
	}
	s.awaitEntries("the engines leave", func(vm vmlist.VM, listed bool) bool { return !listed || vm.State != vmlist.StateLive }, engines...)
}

// remove makes engines stop and removes their entries, and waits until all VMs know it.
func (s *versionSite) remove(engines ...*userplatform.Server) {
	s.t.Helper()
	for _, e := range engines {
		e.Unregister()
		e.Crash()
	}
	s.awaitEntries("the engines are gone", func(_ vmlist.VM, listed bool) bool { return !listed }, engines...)
}

// dropVersion replaces the entries of engines by ones without a version, and waits until all VMs know it.
func (s *versionSite) dropVersion(engines ...*userplatform.Server) {
	s.t.Helper()
	for _, e := range engines {
		born := s.vms[0].Snapshot().Backends[e.ID()].Incarnation
		s.store.Put("servers/"+e.ID(), fmt.Appendf(nil, `{"service":"engines","address":%q,"zone":"z","slots":24,"state":"ready",`+
			`"coldRemainingMs":0,"sequence":1,"born":%d,"models":[{"name":"m","version":1}]}`, e.Address(), born))
	}
	s.awaitEntries("the versions are unknown", func(vm vmlist.VM, _ bool) bool { return vm.SoftwareVersion == "" }, engines...)
}

// evacuate evacuates a zone, and waits until all VMs know it.
func (s *versionSite) evacuate(zone string) {
	s.t.Helper()
	s.store.Evacuate(zone)
	s.eventuallyOnAllVMs("the zone is evacuated", func(v *localsite.VM) bool { return v.Snapshot().Evacuations.Includes(zone) })
}

// ownPrompt gives a request a prompt that it shares with no other one, so that the engines get about as
// many of them each. It is short: with that of draft, the engines have no room for all backups.
func ownPrompt(a request) request {
	n := lastID.Add(1)
	a.header["Token-Count"] = "300,800"
	if a.id == "" {
		a.id = fmt.Sprint("versions-", n)
	}
	a.header["Prompt-Prefix"] = fmt.Sprintf("p%d:40", n)
	return a
}

// versionStream is a stream whose caller reads on to its end.
type versionStream struct {
	id string
	// first is the version of the engine that ran it first.
	first    string
	engine   *userplatform.Server
	done     chan struct{}
	response response
	endedAt  time.Time
}

// startStreams sends requests through the first VM and waits until they run.
func (s *versionSite) startStreams(n int, newRequest func() request) []*versionStream {
	s.t.Helper()
	var streams []*versionStream
	for range n {
		a := ownPrompt(newRequest())
		st := &versionStream{id: a.id, done: make(chan struct{})}
		streams = append(streams, st)
		go func() {
			defer close(st.done)
			st.response = s.send(s.vms[0], a)
			st.endedAt = time.Now()
		}()
	}
	for _, st := range streams {
		s.eventually(3*time.Second, st.id+" runs", func() bool { return len(s.fleet.Runs(st.id)) > 0 })
		st.engine = s.engineOf(st.id)
		st.first = s.started[st.engine]
	}
	return streams
}

// events are the whole events of a response.
type events struct {
	first, last int
	// versions holds the versions that the events name, without repetitions in a row.
	versions []string
}

// readEvents returns the events of a body. It returns an error if one is missing or sent twice.
func readEvents(body string) (e events, err error) {
	parts := strings.Split(body, "\n\n")
	for _, part := range parts[:len(parts)-1] {
		id, data, _ := strings.Cut(part, "\n")
		n, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if err != nil {
			continue // A comment.
		}
		if e.last > 0 && n != e.last+1 {
			return e, fmt.Errorf("event %d after event %d", n, e.last)
		}
		if e.first == 0 {
			e.first = n
		}
		e.last = n
		fields := strings.Fields(data)
		version := fields[len(fields)-1]
		if len(e.versions) == 0 || e.versions[len(e.versions)-1] != version {
			e.versions = append(e.versions, version)
		}
	}
	return e, nil
}

// outcome is what becomes of a stream.
type outcome int

const (
	// whole is a stream with all events.
	whole outcome = iota
	// cut is a stream that ends without its end, which its caller can tell.
	cut
	// wholeOrCut is either.
	wholeOrCut
)

// checkOutcome returns an error unless all events of a response, which begins after event after, are of
// one version, without gaps, and the response has the outcome.
func checkOutcome(a response, after int, version string, want outcome) error {
	e, err := readEvents(a.body)
	switch complete := a.err == nil && a.status == http.StatusOK; {
	case err != nil:
		return err
	case a.status == http.StatusOK && e.last > 0 && e.first != after+1:
		return fmt.Errorf("begins with event %d, want %d", e.first, after+1)
	case len(e.versions) > 1 || e.last > 0 && e.versions[0] != version:
		return fmt.Errorf("events %d to %d of versions %v, want %s alone", e.first, e.last, e.versions, version)
	case complete && e.last != versionEvents:
		return fmt.Errorf("a stream of %d of %d events looks complete", e.last, versionEvents)
	case complete && want == cut:
		return fmt.Errorf("complete with version %v, want a cut stream", e.versions)
	case !complete && want == whole:
		return fmt.Errorf("status %d, %w after event %d, want a whole stream", a.status, a.err, e.last)
	case !complete && a.err == nil:
		return fmt.Errorf("status %d, want a stream", a.status)
	}
	return nil
}

// checkBackups fails if an engine was told to send the backup of a run to one of another version.
func (s *versionSite) checkBackups(request string) {
	s.t.Helper()
	for _, e := range s.engines {
		address := e.Header(request).Get("Kv-Backup")
		for _, backup := range s.engines {
			if backup.Address() == address && s.started[backup] != s.started[e] {
				s.t.Errorf("%s at %s has its backup at %s", request, e.ID(), backup.ID())
			}
		}
	}
}

// begun is a stream whose caller left it after some of its events.
type begun struct {
	id, version, prompt string
	last                int
	vm                  *localsite.VM
}

// beginStream sends a resumable request to a VM, and leaves after some events.
func (s *versionSite) beginStream(v *localsite.VM, read int) (begun, error) {
	a := ownPrompt(check())
	ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+v.Addresses().Callers+a.path, strings.NewReader(a.body))
	if err != nil {
		return begun{}, err
	}
	req.Host = host
	a.header["Request-Id"], a.header["Deadline-Ms"], a.header["Authorization"] = a.id, "20000", "Bearer "+key
	for name, value := range a.header {
		req.Header.Set(name, value)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return begun{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, got := "", 0
	lines := bufio.NewReader(resp.Body)
	for got < read {
		line, err := lines.ReadString('\n')
		if err != nil {
			rest, _ := io.ReadAll(lines)
			return begun{}, fmt.Errorf("status %d, %w: %s%s", resp.StatusCode, err, body, rest)
		}
		body += line
		if line == "\n" {
			got++
		}
	}
	e, err := readEvents(body)
	if err != nil || len(e.versions) != 1 {
		return begun{}, fmt.Errorf("%w, versions %v", err, e.versions)
	}
	return begun{id: a.id, version: e.versions[0], prompt: a.header["Prompt-Prefix"], last: e.last, vm: v}, nil
}

// beginStreams begins n streams of a version at a VM.
func (s *versionSite) beginStreams(n int, v *localsite.VM, version string) (streams []begun) {
	s.t.Helper()
	const read, concurrent = 3, 4
	for range 20 {
		var (
			all sync.WaitGroup
			mu  sync.Mutex
		)
		for range concurrent {
			all.Go(func() {
				st, err := s.beginStream(v, read)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					s.t.Error(err)
				} else if st.version == version {
					streams = append(streams, st)
				}
			})
		}
		all.Wait()
		if len(streams) >= n {
			return streams[:n]
		}
	}
	s.t.Fatalf("only %d streams of version %s", len(streams), version)
	return nil
}

// takenUp is the answer to a request that takes a stream up.
type takenUp struct {
	response
	elapsed time.Duration
}

// takeUp takes a stream up at a VM. change changes the headers, if it is not nil.
func (s *versionSite) takeUp(v *localsite.VM, st begun, change func(header map[string]string)) takenUp {
	a := ownPrompt(check())
	a.header["Prompt-Prefix"], a.header["Last-Event-Id"], a.header["Resumes"] = st.prompt, strconv.Itoa(st.last), st.id
	a.header["Request-Id"] = a.id
	if change != nil {
		change(a.header)
	}
	from := time.Now()
	return takenUp{response: s.send(v, a), elapsed: time.Since(from)}
}

// checkRefused returns an error unless a stream that can't be taken up was refused at once, with a time to
// return, and reached no engine.
func (s *versionSite) checkRefused(got takenUp) error {
	arrivals := 0
	for _, e := range s.engines {
		arrivals += e.Arrivals(got.id)
	}
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "not_run") ||
		got.elapsed > atOnce || arrivals > 0 {
		e, _ := readEvents(got.body)
		return fmt.Errorf("status %d after %v, Retry-After %q, %d arrivals, events %d to %d of versions %v; want a refusal",
			got.status, got.elapsed.Round(time.Millisecond), got.header.Get("Retry-After"), arrivals, e.first, e.last, e.versions)
	}
	return nil
}

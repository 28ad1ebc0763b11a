package userplatform

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
)

// WholeRequest is what a server has read of a request: the target with the path and the
// query, the organisation and the prompt as the VM has stated them, and the whole body.
type WholeRequest struct {
	Method, Target, Organisation, Prompt string
	Body                                 []byte
}

// RequestCrashes makes each server crash that begins to run a request.
type RequestCrashes struct {
	// Crashes selects the requests. It is called concurrently.
	Crashes func(WholeRequest) bool
	// Delay is the time from the begin of the run to the crash, Downtime the time until
	// the server is back under another id.
	Delay, Downtime time.Duration
}

// ServerCrash is the crash of a server by a whole request. Server is its id until then.
type ServerCrash struct {
	Request, Server string
	At              time.Time
}

// ServerArrival is the arrival of a request that crashes servers.
type ServerArrival struct {
	Request, Server string
	At              time.Time
}

// requestCrashes holds the crashes by whole requests. Fleet.mu guards it.
type requestCrashes struct {
	rule     RequestCrashes
	crashes  []ServerCrash
	arrivals []ServerArrival
	// down is the number of servers that are down because of a request, mostDown its
	// largest value.
	down, mostDown int
}

// SetRequestCrashes sets which requests crash servers. The zero value means none.
func (f *Fleet) SetRequestCrashes(c RequestCrashes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCrashes.rule = c
}

// ServerCrashes returns the crashes by whole requests so far, in order of time.
func (f *Fleet) ServerCrashes() []ServerCrash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requestCrashes.crashes)
}

// ServerArrivals returns the arrivals of requests that crash servers, including rejected
// ones, in order of time.
func (f *Fleet) ServerArrivals() []ServerArrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requestCrashes.arrivals)
}

// MostServersDown returns the largest number of servers that were down at one moment
// because of a request.
func (f *Fleet) MostServersDown() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestCrashes.mostDown
}

// crashOf records the arrival of a request if it crashes servers, and returns its crash,
// or nil.
func (s *Server) crashOf(r *http.Request, body []byte) *RequestCrashes {
	s.fleet.mu.Lock()
	rule := s.fleet.requestCrashes.rule
	s.fleet.mu.Unlock()
	whole := WholeRequest{
		Method: r.Method, Target: r.URL.RequestURI(), Organisation: r.Header.Get("Tenant"),
		Prompt: r.Header.Get("Prompt-Prefix"), Body: body,
	}
	if rule.Crashes == nil || !rule.Crashes(whole) {
		return nil
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.requestCrashes.arrivals = append(s.fleet.requestCrashes.arrivals,
		ServerArrival{Request: r.Header.Get("Request-Id"), Server: s.ID(), At: time.Now()})
	return &rule
}

// crashBy crashes the server after the delay, on behalf of a request that it runs, unless
// it has crashed since. The server loses everything that it runs.
func (s *Server) crashBy(r *http.Request, c *RequestCrashes) {
	wait.Sleep(r.Context(), c.Delay)
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	if s.stopped || s.restarting || crashedBefore(r) {
		return
	}
	s.restarting, s.renamed = true, true
	s.closeListener()
	s.forgetRuns()
	s.fleet.dropCopies(s.Address())
	s.fleet.recordServerCrash(r.Header.Get("Request-Id"), s.ID())
	time.AfterFunc(c.Downtime, s.startAfterCrash)
}

// forgetRuns frees the slots of all runs. They belong to a process that has ended.
func (s *Server) forgetRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = 0
	s.life++
}

func (f *Fleet) recordServerCrash(request, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.requestCrashes
	c.crashes = append(c.crashes, ServerCrash{Request: request, Server: server, At: time.Now()})
	c.down++
	c.mostDown = max(c.mostDown, c.down)
}

func (f *Fleet) recordServerBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCrashes.down--
}

// rename gives the server the id of its next process, and takes the entry of the last one
// out of the store. The caller holds lifeMu.
func (s *Server) rename() {
	s.renamed = false
	s.fleet.store.Delete("servers/" + s.ID())
	s.processes++
	id := fmt.Sprintf("%s-again-%d", s.opts.ID, s.processes)
	s.id.Store(&id)
	s.fleet.recordServerBack()
}

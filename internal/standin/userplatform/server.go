package userplatform

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// WeightsVersion is the version of the weights of all engines.
const WeightsVersion = "1"

// ServerOptions configures a Server.
type ServerOptions struct {
	ID, Service, Zone string
	// Model makes it an inference engine.
	Model string
	// SoftwareVersion is the version in the entry and at the end of each event. If it is "", the entry
	// holds a version that all such servers have in common, and events name none.
	SoftwareVersion string
	Slots           int
	// Cold is the time for which the server is cold after its start.
	Cold time.Duration
	// ProcessingTime is the time before a plain response, EventInterval the time
	// between two events of a stream, and Events the number of events.
	ProcessingTime, EventInterval time.Duration
	Events                        int
	// AdvertisedAddress returns the address to register, such as that of a proxy,
	// given the listen address. Nil registers the listen address.
	AdvertisedAddress func(listens string) (string, error)
	// ListenChanged is called when the server stops listening, and when it listens again.
	ListenChanged func(listens bool)
}

// ServerFaults are the failures that can be injected into a Server.
type ServerFaults struct {
	// Shed rejects requests without executing them. Fail responds with status 500
	// after executing them.
	Shed, Fail bool
	// Hang executes requests and never responds.
	Hang bool
	// Reset closes the connection of each request without executing it.
	Reset bool
	// Truncate closes the connection after half of the body of a plain response.
	Truncate bool
	// Extra sends a second, unrequested response on the connection after a plain one.
	Extra bool
	// Replaced responds as another server would that took over the address.
	Replaced bool
	// Unsigned omits the signature of responses.
	Unsigned bool
	// EndlessHead and EndlessBody send a response whose header or body never ends,
	// until the client closes the connection.
	EndlessHead, EndlessBody bool
	// HeadOnly sends the head of a response without a length and closes the connection.
	HeadOnly bool
	// RepeatRefusals writes each refusal once more, late: before the next response on
	// its connection.
	RepeatRefusals bool
	// TrickleAfter sends single bytes instead of events after this many events. 0
	// disables it.
	TrickleAfter int
	// BreakAfter closes streams in the middle of the event that follows this many. 0
	// disables it.
	BreakAfter int
	// EndAfter completes streams after this many events. 0 is the number of ServerOptions.
	EndAfter int
	// HoldAfter sends the events after this many at once at the end of the run, as they
	// arrive over a link that stalls until then. 0 disables it.
	HoldAfter int
	// HeadDelay is the time from the start of a run to the head of its response.
	HeadDelay time.Duration
	// BackupDelay is the time for which the first part of a backup waits for other
	// transfers.
	BackupDelay time.Duration
	// KeepsRuns makes an engine work on runs whose connection has closed.
	KeepsRuns bool
	// ExtendsCopies makes a further POST /kv-move of a run to the same engine extend the copy
	// there and return its handle, in place of a second copy.
	ExtendsCopies bool
	// Full makes an engine report that no memory is free, and take no copies and no backups.
	Full bool
	// RefuseMoves answers POST /kv-move with 503, as if no room were left at the target.
	RefuseMoves bool
	// RefuseCopies refuses runs that go on from a copy which another engine has made.
	RefuseCopies bool
	// EndFaults are what becomes of the first calls that end a run, in their order.
	EndFaults []EndFault
	// DropIdleAfter resets connections on which something arrives after they were idle for longer.
	// 0 disables it.
	DropIdleAfter time.Duration
	// Script responds to requests that are executed, if it is not nil.
	Script Script
	// EarlyScript responds to requests before their bodies are read, if it is not nil.
	EarlyScript Script
}

// Server is a backend server with its own listener.
type Server struct {
	opts    ServerOptions
	fleet   *Fleet
	handler http.Handler
	address string

	announcer announcer
	cold      coldState
	// id is the current id.
	id atomic.Pointer[string]

	// lifeMu guards http, reservation, crashed, started, state, stopped, restarting, renamed,
	// processes and version.
	lifeMu sync.Mutex
	http   *standin.Server
	// reservation keeps the port while the server is down.
	reservation *os.File
	// crashed belongs to the connections of http.
	crashed *atomic.Bool
	started int64
	// state is that of the entry in the store, "" if it was removed.
	state string
	// stopped is set by Crash and Pause until Resume, restarting from a crash by a
	// request until the server listens again.
	stopped, restarting bool
	// renamed is set while the server is down because of a whole request, after which it is
	// back under another id. processes counts these returns.
	renamed   bool
	processes int
	// version is the version of the software of the current start.
	version string

	mu     sync.Mutex
	faults ServerFaults
	speed  speed
	// running is the number of slots in use, life the number of processes whose slots were
	// freed by a crash.
	running, life int
	headers       map[string]http.Header
	// arrivals counts requests by id, including rejected ones.
	arrivals    map[string]int
	lastArrival Arrival
	moves       int
	// endCalls counts the calls that end a run.
	endCalls int
	// runs holds the runs in progress of an engine by request.
	runs map[string]*engineRun
}

// Start starts a server and registers it.
func (f *Fleet) Start(o ServerOptions) (*Server, error) {
	s := &Server{
		opts: o, fleet: f, started: time.Now().UnixMilli(), version: o.SoftwareVersion,
		headers: map[string]http.Header{}, arrivals: map[string]int{}, runs: map[string]*engineRun{},
	}
	s.id.Store(&o.ID)
	if o.Cold > 0 {
		s.cold.begin(o.Cold)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("POST /kv-move", s.move)
	mux.HandleFunc("DELETE /kv-handle/{id}", s.freeCopy)
	mux.HandleFunc("/", s.serve)
	s.handler = s.announceIn(mux)
	var err error
	if s.http, err = s.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.address = s.http.Address()
	if o.AdvertisedAddress != nil {
		if s.address, err = o.AdvertisedAddress(s.address); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	f.servers[s.Address()] = s
	f.mu.Unlock()
	s.Register("ready")
	return s, nil
}

// IsEngine reports whether the server is an inference engine.
func (s *Server) IsEngine() bool { return s.opts.Model != "" }

// ID returns the id of the server. It changes with each crash by a whole request.
func (s *Server) ID() string { return *s.id.Load() }

// Service returns the service of the server.
func (s *Server) Service() string { return s.opts.Service }

// Address returns the address under which the server registers, as IP:port.
func (s *Server) Address() string { return s.address }

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Header returns the headers of the last arrival of a request.
func (s *Server) Header(request string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[request]
}

// Arrivals returns how often a request arrived, including when it was rejected.
func (s *Server) Arrivals(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[request]
}

// Arrival is the arrival of a request.
type Arrival struct {
	Request string
	At      time.Time
}

// LastArrival returns the latest arrival, or the zero value if there is none.
func (s *Server) LastArrival() Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastArrival
}

// Moves returns the number of copies that the server made through POST /kv-move.
func (s *Server) Moves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moves
}

// acquireSlot takes a slot for a request. If the request must not be executed, it
// responds and returns false.
func (s *Server) acquireSlot(w http.ResponseWriter, r *http.Request) (faults ServerFaults, life int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Request-Id")
	s.headers[id] = r.Header.Clone()
	s.arrivals[id]++
	s.lastArrival = Arrival{Request: id, At: time.Now()}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", s.load())
	if want := r.Header.Get("Expect-Instance"); want != "" && (want != s.ID() || s.faults.Replaced) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return s.faults, s.life, false
	}
	if want := r.Header.Get("Expect-Version"); s.opts.Model != "" && want != "" && want != WeightsVersion {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return s.faults, s.life, false
	}
	if s.announcer.rejects(w.Header()) || s.faults.Shed || s.running >= s.opts.Slots {
		refuse(w, r, s.faults)
		return s.faults, s.life, false
	}
	s.running++
	return s.faults, s.life, true
}

func (s *Server) earlyScript() Script {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.EarlyScript
}

// releaseSlot frees a slot, unless a crash has freed it.
func (s *Server) releaseSlot(life int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if life == s.life {
		s.running--
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if script := s.earlyScript(); script != nil {
		s.runScript(w, r, script)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.fleet.recordArrival(r.Header.Get("Request-Id"), r.Header.Get("Prompt-Prefix"))
	crash := s.crashOf(r, body)
	faults, life, ok := s.acquireSlot(w, r)
	if !ok {
		return
	}
	defer s.releaseSlot(life)
	if faults.Reset {
		drop(w)
		return
	}
	if faults.Script != nil {
		s.runScript(w, r, faults.Script)
		return
	}
	if !faults.Unsigned {
		w.Header().Set("Response-Signature", "sig-"+s.ID())
	}
	if s.opts.Model != "" {
		s.stream(w, r, faults, crash)
		return
	}
	defer s.fleet.beginExecution(r, s.ID(), false)()
	if crash != nil {
		s.crashBy(r, crash)
		return
	}
	s.servePlain(w, r, faults, body)
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, f ServerFaults, body []byte) {
	time.Sleep(s.processingTime())
	answer := fmt.Sprintf("%s %s by %s with %d bytes", r.Method, r.URL.RequestURI(), s.ID(), len(body))
	switch {
	case f.Hang:
		<-r.Context().Done()
	case f.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, answer)
	case f.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		drop(w)
	case f.Extra:
		s.answerTwice(w, r, answer)
	case f.EndlessHead, f.EndlessBody:
		s.endless(w, r, f)
	default:
		_, _ = io.WriteString(w, answer)
	}
}

package userplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// ServerOptions describe a backend server.
type ServerOptions struct {
	ID, Service, Zone string
	// Model makes it an inference engine.
	Model string
	Slots int
	// ProcessingTime is the time of a plain answer, EventInterval that between two events
	// of a stream, and Events the number of events.
	ProcessingTime, EventInterval time.Duration
	Events              int
	// AdvertisedAddress returns the address to register, that of a proxy before the one on
	// which the server listens. Nil registers the latter.
	AdvertisedAddress func(listens string) (string, error)
}

// ServerFaults are the failures that a Server can produce.
type ServerFaults struct {
	// Shed refuses requests as not run, Fail answers with 500 after running.
	Shed, Fail bool
	// Hang runs requests and never answers.
	Hang bool
	// Reset closes the connection of each request without running it.
	Reset bool
	// Truncate cuts plain answers after half of their body.
	Truncate bool
	// Extra sends a second, late answer on the connection after a plain one.
	Extra bool
	// Replaced answers as another server that has the address.
	Replaced bool
	// Unsigned omits the signature.
	Unsigned bool
	// EndlessHead and EndlessBody send bytes that are no answer until the caller
	// closes the connection.
	EndlessHead, EndlessBody bool
	// TrickleAfter sends a byte now and then, and no further event, after this many
	// events. 0: never.
	TrickleAfter int
	// BreakAfter cuts streams in the middle of the event after this many. 0: never.
	BreakAfter int
}

// Fleet joins the backend servers of a deployment, so that copies of runs reach
// each other.
type Fleet struct {
	mu      sync.Mutex
	store   *Store
	servers map[string]*Server
	copies  map[string]runCopy
	runs    map[string][]string
}

// NewFleet returns a fleet whose servers register in a store.
func NewFleet(store *Store) *Fleet {
	return &Fleet{
		store: store, servers: map[string]*Server{}, copies: map[string]runCopy{}, runs: map[string][]string{},
	}
}

// Runs returns the servers that ran a request, in order.
func (f *Fleet) Runs(request string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs[request]...)
}

// RunCounts returns the number of runs of each request.
func (f *Fleet) RunCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.runs))
	for id, servers := range f.runs {
		out[id] = len(servers)
	}
	return out
}

// Server is a backend server on a listener of its own.
type Server struct {
	opts    ServerOptions
	fleet   *Fleet
	http    *standin.Server
	handler http.Handler
	address string
	started int64

	mu      sync.Mutex
	faults  ServerFaults
	running int
	headers map[string]http.Header
	// arrivals counts requests, those that are refused included.
	arrivals    map[string]int
	lastArrival Arrival
	moves       int
}

// Start starts a server and registers it.
func (f *Fleet) Start(o ServerOptions) (*Server, error) {
	s := &Server{opts: o, fleet: f, started: time.Now().UnixMilli(), headers: map[string]http.Header{}, arrivals: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /kv-move", s.move)
	mux.HandleFunc("DELETE /kv-handle/{id}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.serve)
	s.handler = mux
	var err error
	if s.http, err = standin.Listen("127.0.0.1:0", mux); err != nil {
		return nil, errors.Wrap(err, "start server")
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

// ID returns the id of the server.
func (s *Server) ID() string { return s.opts.ID }

// Register writes the entry of the server with a state.
func (s *Server) Register(state string) {
	putEntry(s.fleet.store, s.opts, s.Address(), state, s.started)
}

// RegisterUnreachable writes the entry of a server that does not run.
func RegisterUnreachable(store *Store, id, service string) {
	putEntry(store, ServerOptions{ID: id, Service: service, Slots: 1}, "127.0.0.1:1", "ready", 1)
}

func putEntry(store *Store, o ServerOptions, address, state string, started int64) {
	entry := map[string]any{
		"service": o.Service, "address": address, "zone": o.Zone, "version": "v1", "slots": o.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": started,
	}
	if o.Model != "" {
		entry["models"] = []map[string]any{{"name": o.Model, "version": 1}}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // The entry holds only plain values.
	}
	store.Put("servers/"+o.ID, value)
}

// Unregister removes the entry of the server.
func (s *Server) Unregister() { s.fleet.store.Delete("servers/" + s.opts.ID) }

// Restart registers the server as a new start under the same id.
func (s *Server) Restart() {
	s.started = time.Now().UnixMilli()
	s.Register("ready")
}

// Pause closes the listener and all connections until Resume.
func (s *Server) Pause() { s.http.Close() }

// Resume listens on the same address again.
func (s *Server) Resume() error {
	server, err := standin.Listen(s.http.Address(), s.handler)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	s.http = server
	return nil
}

// Crash closes the listener and all connections, and loses the memory of runs.
func (s *Server) Crash() {
	s.http.Close()
	s.fleet.dropCopies(s.Address())
}

// Address returns the address under which the server registers, as IP:port.
func (s *Server) Address() string { return s.address }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Header returns the headers with which a request arrived.
func (s *Server) Header(request string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[request]
}

// Arrivals returns how often a request arrived, also if it was refused.
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

// LastArrival returns the request that arrived last, the zero value if none did.
func (s *Server) LastArrival() Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastArrival
}

// Moves returns the number of copies that the server made on order.
func (s *Server) Moves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moves
}

// enter takes a slot. It answers and returns false if the request must not run.
func (s *Server) enter(w http.ResponseWriter, r *http.Request) (ServerFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Request-Id")
	s.headers[id] = r.Header.Clone()
	s.arrivals[id]++
	s.lastArrival = Arrival{Request: id, At: time.Now()}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.opts.Slots))
	if want := r.Header.Get("Expect-Instance"); want != "" && (want != s.opts.ID || s.faults.Replaced) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return s.faults, false
	}
	if s.faults.Shed || s.running >= s.opts.Slots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return s.faults, false
	}
	s.running++
	return s.faults, true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, ok := s.enter(w, r)
	if !ok {
		return
	}
	defer s.leave()
	if faults.Reset {
		drop(w)
		return
	}
	if !faults.Unsigned {
		w.Header().Set("Response-Signature", "sig-"+s.opts.ID)
	}
	if s.opts.Model != "" {
		s.stream(w, r, faults)
		return
	}
	s.recordRun(r.Header.Get("Request-Id"))
	s.plain(w, r, faults, body)
}

func (s *Server) recordRun(request string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.runs[request] = append(s.fleet.runs[request], s.opts.ID)
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, f ServerFaults, body []byte) {
	time.Sleep(s.opts.ProcessingTime)
	answer := fmt.Sprintf("%s %s by %s with %d bytes", r.Method, r.URL.RequestURI(), s.opts.ID, len(body))
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

// floodBlockBytes is the size of the blocks of an answer without end.
const floodBlockBytes = 32 << 10

// endless takes the connection of a request and writes bytes without end, in
// the head of the answer or in its body.
func (s *Server) endless(w http.ResponseWriter, r *http.Request, f ServerFaults) {
	begin := "HTTP/1.1 200 OK\r\nX-Line: "
	if f.EndlessBody {
		begin = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\n\r\n", r.Header.Get("Request-Id"), s.opts.ID)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, begin)
	block := bytes.Repeat([]byte("x"), floodBlockBytes)
	for err == nil {
		_, err = conn.Write(block)
	}
}

// answerTwice sends the answer of another request after the right one.
func (s *Server) answerTwice(w http.ResponseWriter, r *http.Request, answer string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	write := func(id, body string) {
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s",
			id, s.opts.ID, len(body), body)
		_ = buffer.Flush()
	}
	write(r.Header.Get("Request-Id"), answer)
	time.Sleep(30 * time.Millisecond)
	write("another-request", "not yours")
	time.Sleep(200 * time.Millisecond)
}

package userplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	// Work is the time of a plain answer, EventInterval that between two events
	// of a stream, and Events the number of events.
	Work, EventInterval time.Duration
	Events              int
	// Via returns the address to register, that of a proxy before the one on
	// which the server listens. Nil registers the latter.
	Via func(listens string) (string, error)
}

// ServerFaults are the failures that a Server can produce.
type ServerFaults struct {
	// Shed refuses requests as not run, Fail answers with 500 after running.
	Shed, Fail bool
	// Hang runs requests and never answers.
	Hang bool
	// Truncate cuts plain answers after half of their body.
	Truncate bool
	// Extra sends a second, late answer on the connection after a plain one.
	Extra bool
	// Replaced answers as another server that has the address.
	Replaced bool
	// Unsigned omits the signature.
	Unsigned bool
	// BreakAfter cuts streams in the middle of the event after this many. 0: never.
	BreakAfter int
}

// Fleet joins the backend servers of a deployment, so that copies of runs reach
// each other.
type Fleet struct {
	mu      sync.Mutex
	store   *Store
	servers map[string]*Server
	copies  map[string]copied
	runs    map[string][]string
}

// copied is the memory of a run at an engine.
type copied struct {
	request string
	events  int
}

// NewFleet returns a fleet whose servers register in a store.
func NewFleet(store *Store) *Fleet {
	return &Fleet{
		store: store, servers: map[string]*Server{}, copies: map[string]copied{}, runs: map[string][]string{},
	}
}

// Runs returns the servers that ran a request, in order.
func (f *Fleet) Runs(request string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs[request]...)
}

// AllRuns returns the number of runs of each request.
func (f *Fleet) AllRuns() map[string]int {
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
	moves    int
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
	if o.Via != nil {
		if s.address, err = o.Via(s.address); err != nil {
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
	entry := map[string]any{
		"service": s.opts.Service, "address": s.Address(), "zone": s.opts.Zone, "version": "v1", "slots": s.opts.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": s.started,
	}
	if s.opts.Model != "" {
		entry["models"] = []map[string]any{{"name": s.opts.Model, "version": 1}}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // The entry holds only plain values.
	}
	s.fleet.store.Put("servers/"+s.opts.ID, value)
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
	s.fleet.forget(s.Address())
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
	if !faults.Unsigned {
		w.Header().Set("Response-Signature", "sig-"+s.opts.ID)
	}
	if s.opts.Model != "" {
		s.stream(w, r, faults)
		return
	}
	s.ran(r.Header.Get("Request-Id"))
	s.plain(w, r, faults, body)
}

func (s *Server) ran(request string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.runs[request] = append(s.fleet.runs[request], s.opts.ID)
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, f ServerFaults, body []byte) {
	time.Sleep(s.opts.Work)
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
	default:
		_, _ = io.WriteString(w, answer)
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

// stream sends the events of a run, from the one after the last that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, f ServerFaults) {
	request := r.Header.Get("Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // A missing number is 0, the start.
	if from := r.Header.Get("Kv-From"); from != "" {
		if !s.fleet.use(from, request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	} else {
		s.ran(request)
	}
	backup := r.Header.Get("Kv-Backup")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	for n := last + 1; n <= s.opts.Events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.opts.EventInterval):
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, request, n)
		if f.BreakAfter > 0 && n > f.BreakAfter {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = flush()
			drop(w)
			return
		}
		_, _ = io.WriteString(w, event)
		_ = flush()
		if backup != "" {
			s.fleet.keep(backup, request, request, n)
		}
	}
}

// keep stores a copy of a run under the address of the engine and a handle.
func (f *Fleet) keep(address, handle, request string, events int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies[address+"/"+handle] = copied{request: request, events: events}
}

// forget drops the copies at the address of an engine.
func (f *Fleet) forget(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.copies {
		if strings.HasPrefix(name, address+"/") {
			delete(f.copies, name)
		}
	}
}

// use takes a copy. It returns false if there is none of this request.
func (f *Fleet) use(name, request string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.copies[name]
	delete(f.copies, name)
	return ok && c.request == request
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{"stage": "both", "waiting": 0, "running": s.running, "kvUsed": 0, "kvTotal": 1 << 20, "runs": []any{}})
}

func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID string `json:"id"`
		To string `json:"to"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.moves++
	handle := "h" + strconv.Itoa(s.moves)
	s.mu.Unlock()
	s.fleet.keep(s.Address(), handle, in.ID, 0)
	writeJSON(w, map[string]any{"handle": handle, "createdRev": 0})
}

// CallerHeaders returns the headers of a caller's request: its id, its key, and
// what the engine routes need.
func CallerHeaders(id, key string) http.Header {
	return http.Header{
		"Request-Id": {id}, "Deadline-Ms": {"20000"}, "Authorization": {"Bearer " + key}, "Model": {"m"}, "Token-Count": {"300,4000"},
	}
}

// Config returns an operator's configuration with the four kinds of routes,
// all on one host.
func Config(version int64, keys ...string) []byte {
	quoted := make([]string, len(keys))
	for i, k := range keys {
		quoted[i] = strconv.Quote(k)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"draft","host":"site.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":1800,"priority":1,"service":"engines","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":180},
{"name":"check","host":"site.example","pathPrefix":"/check/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,"service":"engines","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":180},
{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1},
{"name":"look","host":"site.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2}],
"services":[
{"name":"engines","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34149,"kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}},
{"name":"desk","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acme","apiKeys":[%s],"priority":1}]}`, version, strings.Join(quoted, ","))
}

// Defaults of StartAll.
const (
	defaultEvents   = 200
	defaultInterval = 20 * time.Millisecond
	defaultWork     = 20 * time.Millisecond
)

// StartAll writes a configuration and starts engines and plain servers.
func (f *Fleet) StartAll(engines, desks int) error {
	f.store.Put("op/config", Config(1, "key-of-acme"))
	for i := range engines {
		o := ServerOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: "z", Model: "m", Slots: 24,
			Events: defaultEvents, EventInterval: defaultInterval,
		}
		if _, err := f.Start(o); err != nil {
			return err
		}
	}
	for i := range desks {
		o := ServerOptions{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: "z", Slots: 6, Work: defaultWork}
		if _, err := f.Start(o); err != nil {
			return err
		}
	}
	return nil
}

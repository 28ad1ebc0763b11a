// Package standin implements in-memory test doubles of the platform services
// and of backend servers. Faults can be injected while they run.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Faults are the failures that can be injected into a test double.
type Faults struct {
	// Down closes each connection before its request takes effect.
	Down bool `json:"down,omitempty"`
	// DelayMS delays each request by this many milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// HangNext leaves this many of the next requests without a response until
	// their clients disconnect.
	HangNext int `json:"hang_next,omitempty"`
	// LoseAnswers closes the connection after the request took effect, without
	// a response.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Stall stops sending on open streams without closing them. Connections are
	// still accepted. It applies to engines.
	Stall bool `json:"stall,omitempty"`
	// Duplicate sends each token twice. It applies to engines.
	Duplicate bool `json:"duplicate,omitempty"`
	// Crossed sends tokens with the id of another generation. It applies to engines.
	Crossed bool `json:"crossed,omitempty"`
	// TruncateAfter ends streams after this many tokens, without the end marker.
	// It applies to engines. 0 disables it.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// CrashOn ends all streams of an engine when it is about to send the first token of
	// a prompt that contains this text. It applies to engines.
	CrashOn string `json:"crash_on,omitempty"`
	// Refuse responds with status 503 before the request takes effect.
	Refuse bool `json:"refuse,omitempty"`
	// RetryAfter is the value of Retry-After that Refuse adds, "" for none.
	RetryAfter string `json:"retry_after,omitempty"`
	// Leaving announces in all answers that the backend server is going to stop. The
	// list of VMs is independent of it.
	Leaving bool `json:"leaving,omitempty"`
}

// faultsPath is the path at which the faults are replaced.
const faultsPath = "/faults"

// faultInjector holds the active faults.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the active faults.
func (s *faultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CurrentFaults returns the active faults.
func (s *faultInjector) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveFaults handles PUT /faults.
func (s *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusOK)
}

// take returns the faults for one request and decrements HangNext if it is set.
func (s *faultInjector) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.HangNext > 0 {
		s.faults.HangNext--
	}
	return f
}

// applyFaults applies the faults that precede the handling of a request. It
// returns false if the request must not be handled.
func (s *faultInjector) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.take()
	if f.Down {
		Drop(w)
		return false
	}
	if f.HangNext > 0 {
		<-r.Context().Done()
		return false
	}
	if f.DelayMS > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		}
	}
	if f.Refuse {
		f.setRetryAfter(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// Drop closes the connection of a request without a response.
func Drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Server is an HTTP server for a test double.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen starts a server for a handler on an address such as "127.0.0.1:0".
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return Serve(l, h), nil
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// Connection returns the connection of a request, as the listener accepted it.
func Connection(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connectionKey{}).(net.Conn)
	return c
}

// Serve starts a server for a handler on a listener.
func Serve(l net.Listener, h http.Handler) *Server {
	s := &Server{listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	go func() { _ = s.http.Serve(l) }()
	return s
}

// Address returns the listen address as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close closes the listener and all connections at once, as a crash does.
func (s *Server) Close() { _ = s.http.Close() }

// Shutdown stops the server after the requests in progress.
func (s *Server) Shutdown(ctx context.Context) { _ = s.http.Shutdown(ctx) }

// WriteJSON writes a value as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

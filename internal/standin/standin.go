// Package standin implements small test doubles of the platform and of
// backend servers. Their faults can be switched while they run.
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

// Faults are the failures that a stand-in can produce.
type Faults struct {
	// Down drops each connection before the request takes effect.
	Down bool `json:"down,omitempty"`
	// DelayMS delays each answer by this many milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// HangNext holds this many of the next requests until their callers give up.
	HangNext int `json:"hang_next,omitempty"`
	// LoseAnswers drops the connection after the request took effect.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Stall leaves streams open and sends nothing more on them; new
	// connections work. It applies to engines.
	Stall bool `json:"stall,omitempty"`
	// Duplicate sends each token twice. It applies to engines.
	Duplicate bool `json:"duplicate,omitempty"`
	// Crossed sends tokens under another generation's id. It applies to engines.
	Crossed bool `json:"crossed,omitempty"`
	// TruncateAfter ends streams without a finish marker after this many tokens.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// Refuse answers with status 503.
	Refuse bool `json:"refuse,omitempty"`
}

// faultInjector holds the faults in force.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults in force.
func (s *faultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CurrentFaults returns the faults in force.
func (s *faultInjector) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveFaults implements PUT /faults.
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

// take returns the faults in force for one request and counts it as hung.
func (s *faultInjector) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.HangNext > 0 {
		s.faults.HangNext--
	}
	return f
}

// applyFaults applies faults ahead of a request. It returns false when the request must not go on.
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
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// Drop closes the connection without an answer.
func Drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Server is a stand-in that listens on an address.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen serves a handler on an address such as "127.0.0.1:0".
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Address returns the address as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close ends the server and all its connections, as a crash does.
func (s *Server) Close() { _ = s.http.Close() }

// Shutdown ends the server after its requests.
func (s *Server) Shutdown(ctx context.Context) { _ = s.http.Shutdown(ctx) }

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

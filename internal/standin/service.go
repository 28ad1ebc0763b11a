package standin

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/api"
)

// Service is a backend server of request-response calls that counts the
// executions of each idempotency key.
type Service struct {
	faultInjector
	orderLog
	arrivalLog
	mux *http.ServeMux
	// total counts all executions.
	total atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a plain service.
func NewService() *Service {
	s := &Service{mux: http.NewServeMux(), runs: map[string]int{}}
	s.mux.HandleFunc("PUT "+faultsPath, s.serveFaults)
	s.handleOrders(s.mux, &s.faultInjector)
	s.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, s.Runs()) })
	s.mux.HandleFunc("POST /", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.recordArrival(r)
	s.announce(w)
	s.mux.ServeHTTP(w, r)
}

// Runs returns the number of executions of each idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Total returns the number of executions.
func (s *Service) Total() int64 { return s.total.Load() }

// call executes a call. With LoseAnswers, it closes the connection afterwards
// instead of responding.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.applyFaults(w, r) {
		return
	}
	run := s.total.Add(1)
	s.mu.Lock()
	s.runs[r.Header.Get(api.HeaderIdempotencyKey)]++
	s.mu.Unlock()
	if s.CurrentFaults().LoseAnswers {
		Drop(w)
		return
	}
	WriteJSON(w, map[string]any{"run": run, "organisation": r.Header.Get(api.HeaderOrganisation), "echo": string(body)})
}

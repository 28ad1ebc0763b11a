package userplatform

import (
	"net/http"
	"strconv"
)

// health answers a health check. A server that leaves, or has no slot, is not healthy.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := r.Header.Get("Expect-Instance")
	if s.faults.Replaced || want != "" && want != s.ID() {
		w.Header().Set("Instance-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Instance-Id", s.ID())
	if remaining := s.cold.remaining(); remaining > 0 {
		w.Header().Set("Cold-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	w.Header().Set("Server-Load", s.load())
	if s.announcer.get().Leaving || s.running >= s.opts.Slots {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

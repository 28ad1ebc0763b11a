package userplatform

import (
	"net/http"
	"time"
)

// EndFault is what becomes of a call that ends a run.
type EndFault string

// The faults of calls that end a run. The run goes on unless stated otherwise.
const (
	// EndAnswerLost ends the run, and breaks the connection before the answer.
	EndAnswerLost EndFault = "answer lost"
	// EndUnread breaks the connection.
	EndUnread EndFault = "not read"
	// EndConflict refuses the call as if another one for the run were in progress.
	EndConflict EndFault = "conflict"
	// EndRefused, EndLimited and EndFailed answer with status 503, 429 or 500 and no handle.
	EndRefused EndFault = "refused"
	EndLimited EndFault = "too many requests"
	EndFailed  EndFault = "failed"
	// EndGarbled answers with a success that has no content.
	EndGarbled EndFault = "garbled"
	// EndSlow reads the call after slowEndTime.
	EndSlow EndFault = "slow"
)

// slowEndTime is longer than a VM waits before it makes a further call.
const slowEndTime = 300 * time.Millisecond

// nextEndFault returns what becomes of a call that ends a run.
func (s *Server) nextEndFault() EndFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.endCalls
	s.endCalls++
	if n >= len(s.faults.EndFaults) {
		return ""
	}
	return s.faults.EndFaults[n]
}

// EndCalls returns the number of calls that end a run.
func (s *Server) EndCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endCalls
}

// failsEnd answers a call that does not end its run. It returns false if the call is to be served.
func (s *Server) failsEnd(w http.ResponseWriter, f EndFault) bool {
	status := map[EndFault]int{
		EndConflict: http.StatusConflict, EndRefused: http.StatusServiceUnavailable,
		EndLimited: http.StatusTooManyRequests, EndFailed: http.StatusInternalServerError, EndGarbled: http.StatusOK,
	}[f]
	switch {
	case f == EndUnread:
		drop(w)
	case f == EndSlow:
		time.Sleep(slowEndTime)
		return false
	case status != 0:
		w.WriteHeader(status)
	default:
		return false
	}
	return true
}

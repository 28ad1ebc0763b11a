package userplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
)

const (
	// copyLifetime is the time for which an engine keeps a copy after its last part
	// arrived: handleS of the configuration.
	copyLifetime = 5 * time.Second
	// backupInterval is the time between two parts of a backup, and from the start of
	// the run to the first one.
	backupInterval = 250 * time.Millisecond
	// moveTime is the time that a copy for POST /kv-move takes.
	moveTime = 20 * time.Millisecond
	// maxUnsweptCopies is the number of copies from which expired ones are removed.
	maxUnsweptCopies = 4096
)

// runCopy is a copy of the state of a run.
type runCopy struct {
	request string
	// holders are the addresses of the engines on which the run can continue.
	holders []string
	// events is the number of events that the run had made when the last part was sent.
	events int64
	// used is set once the run has continued from the copy. It stays until the copy
	// expires, so that later parts of a backup do not make the copy usable again.
	used    bool
	expires time.Time
}

// copyName identifies a copy by the address and handle with which the engines name it.
func copyName(address, handle string) string { return address + "/" + handle }

// storeCopy stores a copy, or a further part of it.
func (f *Fleet) storeCopy(name string, c runCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.used = f.copies[name].used
	c.expires = time.Now().Add(copyLifetime)
	f.copies[name] = c
	if len(f.copies) <= maxUnsweptCopies {
		return
	}
	for name, c := range f.copies {
		if time.Now().After(c.expires) {
			delete(f.copies, name)
		}
	}
}

// useCopy marks a copy as used by the engine at an address. It returns false if that
// engine has no unused copy of this name, or if it belongs to another request.
func (f *Fleet) useCopy(name, holder, request string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.copies[name]
	if !ok || c.used || c.request != request || !slices.Contains(c.holders, holder) || time.Now().After(c.expires) {
		return false
	}
	c.used = true
	f.copies[name] = c
	return true
}

func (f *Fleet) removeCopy(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.copies, name)
}

// dropCopies removes the copies that the engine at an address holds.
func (f *Fleet) dropCopies(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.copies {
		c.holders = slices.DeleteFunc(slices.Clone(c.holders), func(holder string) bool { return holder == address })
		f.copies[name] = c
		if len(c.holders) == 0 {
			delete(f.copies, name)
		}
	}
}

// listening reports whether the server at an address accepts connections.
func (f *Fleet) listening(address string) bool {
	f.mu.Lock()
	s := f.servers[address]
	f.mu.Unlock()
	if s == nil {
		return false
	}
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	return !s.stopped && !s.restarting
}

// takesCopies reports whether the server at an address accepts connections and has room.
func (f *Fleet) takesCopies(address string) bool {
	if !f.listening(address) {
		return false
	}
	f.mu.Lock()
	s := f.servers[address]
	f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.Full
}

// replicate sends the state of a run to the engine at an address, after a delay, until the
// run ends.
func (s *Server) replicate(ctx context.Context, run *engineRun, to string, delay time.Duration) {
	if !wait.Sleep(ctx, delay) {
		return
	}
	for wait.Sleep(ctx, backupInterval) {
		if s.fleet.takesCopies(to) {
			s.fleet.storeCopy(copyName(to, run.request), runCopy{request: run.request, holders: []string{to}, events: run.events.Load()})
		}
	}
}

// move serves POST /kv-move.
func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := EndFault("")
	if in.Last {
		fault = s.nextEndFault()
	}
	if s.failsEnd(w, fault) {
		return
	}
	run, handle, status := s.beginMove(in.ID, in.To)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	defer s.endMove(run)
	holders := []string{in.To}
	if in.Last {
		run.stop()
		<-run.ended
		holders = append(holders, s.Address())
	}
	if fault == EndAnswerLost {
		drop(w)
		return
	}
	if !wait.Sleep(r.Context(), moveTime) {
		return
	}
	if !s.fleet.takesCopies(in.To) {
		holders, status = holders[1:], http.StatusServiceUnavailable
	}
	events := run.events.Load()
	if len(holders) > 0 {
		s.fleet.storeCopy(copyName(s.Address(), handle), runCopy{request: in.ID, holders: holders, events: events})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "createdRev": events})
}

// beginMove returns the run of a request and the handle of its copy at the engine at an
// address. Any status but 200 refuses the move.
func (s *Server) beginMove(request, to string) (run *engineRun, handle string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run = s.runs[request]
	if run == nil {
		return nil, "", http.StatusNotFound
	}
	if run.moving {
		return nil, "", http.StatusConflict
	}
	if s.faults.RefuseMoves {
		return nil, "", http.StatusServiceUnavailable
	}
	run.moving = true
	s.moves++
	if handle = run.handles[to]; handle == "" || !s.faults.ExtendsCopies {
		handle = "h" + strconv.Itoa(s.moves)
		run.handles[to] = handle
	}
	return run, handle, http.StatusOK
}

func (s *Server) endMove(run *engineRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.moving = false
}

// freeCopy serves DELETE /kv-handle/ID.
func (s *Server) freeCopy(w http.ResponseWriter, r *http.Request) {
	s.fleet.removeCopy(copyName(s.Address(), r.PathValue("id")))
	w.WriteHeader(http.StatusOK)
}

package userplatform

import (
	"cmp"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// Register writes the server's entry to the store, with the given state.
func (s *Server) Register(state string) {
	s.lifeMu.Lock()
	started, version := s.started, s.version
	s.state = state
	s.lifeMu.Unlock()
	o := s.opts
	o.SoftwareVersion = version
	o.ID = s.ID()
	putEntry(s.fleet.store, o, s.Address(), state, started, s.cold.remaining())
}

// RegisterUnreachable writes the entry of a server that is not running.
func RegisterUnreachable(store *Store, id, service string) {
	putEntry(store, ServerOptions{ID: id, Service: service, Slots: 1}, "127.0.0.1:1", "ready", 1, 0)
}

// commonSoftwareVersion is the version in the entries of servers for which none is set.
const commonSoftwareVersion = "v1"

func putEntry(store *Store, o ServerOptions, address, state string, started int64, cold time.Duration) {
	entry := map[string]any{
		"service": o.Service, "address": address, "zone": o.Zone, "version": cmp.Or(o.SoftwareVersion, commonSoftwareVersion), "slots": o.Slots,
		"state": state, "coldRemainingMs": cold.Milliseconds(), "sequence": 1, "born": started,
	}
	if o.Model != "" {
		entry["models"] = []map[string]any{{"name": o.Model, "version": 1}}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // The entry holds only values that can be encoded.
	}
	store.Put("servers/"+o.ID, value)
}

// Unregister removes the server's entry from the store.
func (s *Server) Unregister() {
	s.lifeMu.Lock()
	s.state = ""
	s.lifeMu.Unlock()
	s.fleet.store.Delete("servers/" + s.ID())
}

// Restart registers the server with a new start time under the same id.
func (s *Server) Restart() {
	s.Announce(Announcement{})
	s.SetLimit()
	s.lifeMu.Lock()
	s.started = time.Now().UnixMilli()
	s.lifeMu.Unlock()
	s.Register("ready")
}

// SetSoftwareVersion sets the version of the software from the next start on, and of events from now
// on. The entry follows with Register or Restart.
func (s *Server) SetSoftwareVersion(version string) {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	s.version = version
}

// softwareVersion returns the version of the current start, "" if none was set.
func (s *Server) softwareVersion() string {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	return s.version
}

// startTime returns the time of the last start in Unix milliseconds.
func (s *Server) startTime() int64 {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	return s.started
}

// Pause closes the listener and all connections until Resume.
func (s *Server) Pause() {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	s.stopped = true
	s.closeListener()
}

// Resume listens on the same address again.
func (s *Server) Resume() error {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	s.stopped, s.restarting = false, false
	if s.renamed {
		s.rename()
	}
	return s.listenAgain()
}

// listenAgain listens on the address of the closed listener. The caller holds lifeMu.
func (s *Server) listenAgain() error {
	server, err := s.listen(s.http.Address())
	if err != nil {
		return err
	}
	s.http = server
	if s.opts.ListenChanged != nil {
		s.opts.ListenChanged(true)
	}
	return nil
}

// closeListener closes the listener and all connections. The caller holds lifeMu.
func (s *Server) closeListener() {
	s.crashed.Store(true)
	s.fleet.endExecutionsOf(s.ID())
	s.http.Close()
	if s.opts.ListenChanged != nil {
		s.opts.ListenChanged(false)
	}
}

func (s *Server) listen(address string) (*standin.Server, error) {
	l, err := listenReserved(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen as "+s.ID())
	}
	if s.reservation == nil {
		if s.reservation, err = reservePort(l.Addr()); err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	s.crashed = &atomic.Bool{}
	return standin.Serve(refusalListener{idleListener{l, s}, s.crashed}, s.handler), nil
}

// Crash closes the listener and all connections, and discards the copies of runs
// that the server holds.
func (s *Server) Crash() {
	s.Pause()
	s.fleet.dropCopies(s.Address())
}

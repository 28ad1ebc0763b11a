package userplatform

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Announcement is what a server says of itself in its answers. The entry in the store
// is independent of it.
type Announcement struct {
	// Leaving marks all answers: of requests, rejections, reports, moves and health
	// checks, and the heads of streams.
	Leaving bool
	// RetryAfter holds the values of Retry-After with which requests are rejected
	// without being executed. Nil rejects none.
	RetryAfter []string
	// RejectManagement applies RetryAfter to the management calls as well.
	RejectManagement bool
}

// Announce replaces the announcement of the server. Restart clears it, since each start
// is a new lifetime.
func (s *Server) Announce(a Announcement) {
	s.announcer.mu.Lock()
	defer s.announcer.mu.Unlock()
	s.announcer.current = a
}

// announcer holds the announcement of a server.
type announcer struct {
	mu      sync.Mutex
	current Announcement
	// limit holds the values of Server-Limit, nil if the server names none.
	limit        []string
	limitChanges []LimitChange
}

func (a *announcer) get() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// rejects reports whether a request is to be rejected, and sets Retry-After if so.
func (a *announcer) rejects(h http.Header) bool {
	values := a.get().RetryAfter
	if values != nil {
		h["Retry-After"] = values
	}
	return values != nil
}

// Exchange is a call that reached a server and the head of its answer.
type Exchange struct {
	Server, Zone, Method, Path string
	// Born is the start time of the server when the call arrived, in Unix milliseconds.
	Born int64
	// Request is the id of the request, "" for management calls.
	Request string
	// VM is the entry VM that sent the call, "" if unknown, Client the address from which
	// the call came.
	VM, Client string
	ArrivedAt  time.Time
	// AnsweredAt is the time at which the head of the answer was written, and Status is
	// 0 if none was.
	AnsweredAt time.Time
	Status     int
	// Gone is set if the connection had ended before the head was written.
	Gone bool
	// Leaving and RetryAfter are the announcement in the head, Limit the limit that it names.
	Leaving           bool
	RetryAfter, Limit []string
}

// RecordExchanges makes all servers record the calls that arrive from now on. vmOf
// returns the VM that sends the request with an id. Requests carry no name of their VM,
// so the harness derives it from the ids that it gives to requests.
func (f *Fleet) RecordExchanges(vmOf func(request string) string) {
	f.exchanges.mu.Lock()
	defer f.exchanges.mu.Unlock()
	f.exchanges.vmOf = vmOf
}

// RecordRequests is RecordExchanges without the management calls, which are most calls
// of a large deployment.
func (f *Fleet) RecordRequests(vmOf func(request string) string) {
	f.RecordExchanges(vmOf)
	f.exchanges.mu.Lock()
	defer f.exchanges.mu.Unlock()
	f.exchanges.requestsOnly = true
}

// Exchanges returns the recorded calls in the order of their arrival.
func (f *Fleet) Exchanges() []Exchange {
	f.exchanges.mu.Lock()
	defer f.exchanges.mu.Unlock()
	out := make([]Exchange, len(f.exchanges.log))
	for i, e := range f.exchanges.log {
		out[i] = *e
		out[i].RetryAfter, out[i].Limit = slices.Clone(e.RetryAfter), slices.Clone(e.Limit)
	}
	return out
}

// exchangeLog holds the exchanges of all servers of a fleet.
type exchangeLog struct {
	mu   sync.Mutex
	vmOf func(request string) string
	// requestsOnly is set if management calls are not recorded.
	requestsOnly bool
	log          []*Exchange
}

// arrived records the arrival of a call, or returns nil if such calls are not recorded.
func (l *exchangeLog) arrived(server *Server, r *http.Request) *Exchange {
	e := &Exchange{Server: server.ID(), Zone: server.opts.Zone, Method: r.Method, Path: r.URL.Path, Request: r.Header.Get("Request-Id"), Client: r.RemoteAddr}
	e.Born = server.startTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vmOf == nil || l.requestsOnly && e.Request == "" || crashedBefore(r) {
		return nil
	}
	e.ArrivedAt = time.Now()
	if e.Request != "" {
		e.VM = l.vmOf(e.Request)
	}
	l.log = append(l.log, e)
	return e
}

func (l *exchangeLog) answered(e *Exchange, r *http.Request, status int, h http.Header) {
	if e == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.AnsweredAt, e.Status, e.Gone = time.Now(), status, r.Context().Err() != nil
	e.Leaving, e.RetryAfter, e.Limit = h.Get("Server-Leaving") != "", h.Values("Retry-After"), h.Values(headerLimit)
}

// announceIn returns a handler that adds the announcement of the server to the answers
// of next and records the calls.
func (s *Server) announceIn(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &announcingWriter{ResponseWriter: w, request: r, server: s, exchange: s.fleet.exchanges.arrived(s, r)}
		if s.crashCold(w, r) {
			return
		}
		management := r.Header.Get("Request-Id") == ""
		if management && s.announcer.get().RejectManagement && s.announcer.rejects(w.Header()) {
			answer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(answer, r)
		answer.finish()
	})
}

// announcingWriter adds the announcement at the time at which the head is written, so
// that a request that arrived earlier announces it as well.
type announcingWriter struct {
	http.ResponseWriter
	request  *http.Request
	server   *Server
	exchange *Exchange
	wrote    bool
	hijacked bool
}

func (w *announcingWriter) WriteHeader(status int) {
	if !w.wrote {
		w.wrote = true
		if w.server.announcer.get().Leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		if limit := w.server.announcer.namedLimit(); limit != nil {
			w.Header()[headerLimit] = limit
		}
		w.server.fleet.exchanges.answered(w.exchange, w.request, status, w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *announcingWriter) Write(p []byte) (int, error) {
	w.finish()
	return w.ResponseWriter.Write(p)
}

// finish writes the head if the handler did not.
func (w *announcingWriter) finish() {
	if !w.wrote && !w.hijacked {
		w.WriteHeader(http.StatusOK)
	}
}

// Hijack implements http.Hijacker. What is written to the connection afterwards
// announces nothing.
func (w *announcingWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	w.hijacked = true
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Unwrap returns the writer that http.ResponseController uses to flush.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

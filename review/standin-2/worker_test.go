package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of an engine, within those of the site file.
const (
	tokensPerEvent = 4
	firstEventTime = 100 * time.Millisecond
	eventTime      = 40 * time.Millisecond
	engineTokens   = 34149
	tokenBytes     = 163840
	linkMbps       = 24000
	keepAlive      = 8 // seconds, as Keep-Alive states
	bookTime       = 30 * time.Millisecond
)

// worker is a model worker. It works on a request until the request ends, is moved away, or its
// time is up: it doesn't notice that a connection has closed.
type worker struct {
	id, zone, addr, service string
	born                    int64
	record                  *record
	fleet                   *fleet
	listener                net.Listener

	// plain is set for a worker without a model.
	plain bool
	// dropsIdle is after how long an idle connection is dropped without notice, 0 for never.
	dropsIdle atomic.Int64
	// prefill is the time until the first token of the requests that come from now on.
	prefill atomic.Int64
	// slots is the number of requests that run at a time. Others wait.
	slots chan struct{}

	mu      sync.Mutex
	leaving bool
	runs    map[string]*run
	copies  map[string]*memory // by handle, copies that this worker has issued
	backups map[string]*memory // by request id, backups that this worker holds
	handles int
	// waiting is the number of requests without a token.
	waiting int
	// flushed is closed when the worker turns away all requests that wait.
	flushed  chan struct{}
	pauseFor string
	conns    map[net.Conn]bool
}

// run is a request at work.
type run struct {
	id              string
	prompt, events  int
	total           int
	moving, stopped bool
	stop            chan struct{}
	conn            net.Conn
}

func (r *run) tokens() int { return r.prompt + r.events*tokensPerEvent }

// memory is a copy of a run's memory.
type memory struct {
	id     string
	events int
	used   bool
	at     string // address of the worker that holds it
}

// fleet holds the workers, and what they have run.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
	record  *record
	spans   []*span
	// arrived holds the ids of the requests that have reached a worker.
	arrived map[string]bool
}

// span is the work of one worker on one request.
type span struct {
	id, worker   string
	fromCopy     bool
	begun, ended time.Time
	done         bool
}

func (f *fleet) begin(id, worker string, fromCopy bool) *span {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &span{id: id, worker: worker, fromCopy: fromCopy, begun: time.Now()}
	f.spans = append(f.spans, s)
	return s
}

// arrive records that a request has reached a worker that takes it.
func (f *fleet) arrive(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.arrived == nil {
		f.arrived = map[string]bool{}
	}
	f.arrived[id] = true
}

func (f *fleet) hasArrived(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived[id]
}

func (f *fleet) end(s *span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.ended, s.done = time.Now(), true
}

func (f *fleet) spansOf(id string) []span {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []span
	for _, s := range f.spans {
		if s.id == id {
			out = append(out, *s)
		}
	}
	return out
}

func (f *fleet) at(addr string) *worker {
	for _, w := range f.workers {
		if w.addr == addr {
			return w
		}
	}
	return nil
}

func (f *fleet) startWorker(id, service, zone string, slots int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, zone: zone, service: service, addr: l.Addr().String(), born: time.Now().UnixMilli(), record: f.record, fleet: f, listener: l,
		slots: make(chan struct{}, slots), runs: map[string]*run{}, copies: map[string]*memory{}, backups: map[string]*memory{}, flushed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	f.workers = append(f.workers, w)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w, nil
}

// entry is what the worker writes about itself into the store.
func (w *worker) entry(state string, sequence int) map[string]any {
	entry := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": cap(w.slots), "state": state, "coldRemainingMs": 0,
		"sequence": sequence, "born": w.born,
	}
	if !w.plain {
		entry["stage"], entry["models"] = "both", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return entry
}

// exit ends the worker and all its connections.
func (w *worker) exit() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
	for _, r := range w.runs {
		if !r.stopped {
			r.stopped = true
			close(r.stop)
		}
	}
}

// turnAway answers all requests that have no token yet with 503 and a Retry-After. It returns
// their number.
func (w *worker) turnAway(retryAfter string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauseFor = retryAfter
	close(w.flushed)
	return w.waiting
}

// loseAnswer resets the connection of a run, which goes on.
func (w *worker) loseAnswer(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.add("%s: the answer of %s is lost, its connection is reset", w.id, id)
	if x := w.runs[id]; x != nil {
		x.conn.(*net.TCPConn).SetLinger(0)
		x.conn.Close()
	}
}

func (w *worker) countWaiting(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting += n
}

// serve handles the requests on one connection, one at a time.
func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	idleSince := time.Now()
	for first := true; ; first = false {
		if _, err := in.Peek(1); err != nil {
			return
		}
		idle := time.Since(idleSince)
		if limit := time.Duration(w.dropsIdle.Load()); !first && limit > 0 && idle > limit {
			// The connection was dropped before. What is sent on it is reset, and not read.
			w.record.add("%s: bytes arrive on a connection that was dropped after %v without use, idle for %d ms: reset", w.id, limit, idle.Milliseconds())
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(c, r, body) {
			return
		}
		idleSince = time.Now()
	}
}

// head returns the head of an answer.
func (w *worker) head(status int, r *http.Request, fields ...string) string {
	b := fmt.Sprintf("HTTP/1.1 %d %s\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), keepAlive)
	if id := r.Header.Get("Request-Id"); id != "" {
		b += "Request-Id: " + id + "\r\n"
	}
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	if leaving {
		b += "Server-Leaving: 1\r\n"
	}
	for _, f := range fields {
		b += f + "\r\n"
	}
	return b
}

func (w *worker) answer(c net.Conn, r *http.Request, status int, body any, fields ...string) bool {
	text := []byte{}
	if body != nil {
		text, _ = json.Marshal(body)
		fields = append(fields, "Content-Type: application/json")
	}
	head := w.head(status, r, append(fields, "Content-Length: "+strconv.Itoa(len(text)))...)
	_, err := c.Write(append([]byte(head+"\r\n"), text...))
	return err == nil
}

// handle answers one request. It returns false if the connection must be closed.
func (w *worker) handle(c net.Conn, r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/report":
		return w.answer(c, r, 200, w.report())
	case r.URL.Path == "/health":
		return w.answer(c, r, 200, nil, "Instance-Id: "+w.id)
	case r.URL.Path == "/kv-move":
		return w.move(c, r, body)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.mu.Lock()
		delete(w.copies, strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
		w.mu.Unlock()
		return w.answer(c, r, 200, struct{}{})
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.id {
		return w.answer(c, r, 421, nil, "Not-Executed: 1", "Instance-Id: "+w.id)
	}
	if w.plain {
		return w.book(c, r)
	}
	return w.stream(c, r)
}

// book runs a request of a plain service.
func (w *worker) book(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	work := w.fleet.begin(id, w.id, false)
	w.slots <- struct{}{}
	time.Sleep(bookTime)
	<-w.slots
	w.fleet.end(work)
	return w.answer(c, r, 200, map[string]string{"booked": id}, "Response-Signature: 3e1b.07.5a2.600.0."+w.id)
}

func (w *worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	used, runs := 0, [][]any{}
	for _, r := range w.runs {
		used += r.tokens()
		runs = append(runs, []any{r.id, r.tokens(), r.events, 1})
	}
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	return map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 1, "waiting": 0,
		"running": len(runs), "kvUsed": used, "kvTotal": engineTokens, "handles": len(w.copies), "state": state, "nextToken": 0, "runs": runs, "born": w.born,
	}
}

// move copies a run to another worker, and ends it first if it is the last copy.
func (w *worker) move(c net.Conn, r *http.Request, body []byte) bool {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	json.Unmarshal(body, &in)
	w.mu.Lock()
	x := w.runs[in.ID]
	if x == nil || x.stopped {
		w.mu.Unlock()
		w.record.add("%s: kv-move of %s (last %v): 404, no such run", w.id, in.ID, in.Last)
		return w.answer(c, r, 404, struct{}{})
	}
	if x.moving {
		w.mu.Unlock()
		w.record.add("%s: kv-move of %s (last %v): 409, a call is in progress", w.id, in.ID, in.Last)
		return w.answer(c, r, 409, struct{}{})
	}
	x.moving = true
	if in.Last {
		x.stopped = true
		close(x.stop)
	}
	tokens := x.tokens()
	w.mu.Unlock()
	to := w.fleet.at(in.To)
	factor := 1
	if to != nil && to.zone != w.zone {
		factor = 2
	}
	w.record.add("%s: kv-move of %s to %s begins (last %v)", w.id, in.ID, in.To, in.Last)
	time.Sleep(time.Duration(factor) * time.Duration(tokens) * tokenBytes * 8 * time.Second / (linkMbps * 1e6))
	w.mu.Lock()
	x.moving = false
	w.handles++
	handle := fmt.Sprintf("h%d-%s", w.handles, w.id)
	w.copies[handle] = &memory{id: in.ID, events: x.events, at: in.To}
	made := x.events
	w.mu.Unlock()
	w.record.add("%s: kv-move of %s answered, handle %s, %d events", w.id, in.ID, handle, made)
	return w.answer(c, r, 200, map[string]any{"handle": handle, "createdRev": made})
}

// takeCopy uses the copy that Kv-From names, and returns false if there is none.
func (w *worker) takeCopy(from, id string) bool {
	addr, handle, _ := strings.Cut(from, "/")
	source := w.fleet.at(addr)
	if source == nil {
		return false
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	m := source.copies[handle]
	if m == nil {
		m = source.backups[handle]
	}
	if m == nil || m.used || m.id != id || m.at != w.addr {
		return false
	}
	m.used = true
	return true
}

// stream runs a request and writes its events.
func (w *worker) stream(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if id == "" {
		return w.answer(c, r, 400, nil, "Not-Executed: 1")
	}
	w.fleet.arrive(id)
	deadline := time.Now().Add(39 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	var prompt, output int
	fmt.Sscanf(r.Header.Get("Token-Count"), "%d,%d", &prompt, &output)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	from := r.Header.Get("Kv-From")
	if from != "" && !w.takeCopy(from, id) {
		w.record.add("%s: %s from %s: 503, no such copy", w.id, id, from)
		return w.answer(c, r, 503, nil, "Not-Executed: 1")
	}
	if from == "" {
		select {
		case w.slots <- struct{}{}:
		default:
			w.record.add("%s: %s waits for a slot", w.id, id)
			select {
			case w.slots <- struct{}{}:
			case <-w.flushed:
				w.record.add("%s: %s is turned away with 503, Retry-After %s", w.id, id, w.pauseFor)
				return w.answer(c, r, 503, nil, "Not-Executed: 1", "Retry-After: "+w.pauseFor)
			}
		}
		defer func() { <-w.slots }()
		if prefill := time.Duration(w.prefill.Load()); prefill > 0 {
			w.record.add("%s: reads the prompt of %s", w.id, id)
			w.countWaiting(1)
			defer w.countWaiting(-1)
			select {
			case <-time.After(prefill):
			case <-w.flushed:
				w.record.add("%s: %s waits for its first token, and is turned away with 503, Retry-After %s", w.id, id, w.pauseFor)
				return w.answer(c, r, 503, nil, "Not-Executed: 1", "Retry-After: "+w.pauseFor)
			}
		}
	}
	x := &run{id: id, prompt: prompt, total: output / tokensPerEvent, events: after, stop: make(chan struct{}), conn: c}
	w.mu.Lock()
	w.runs[id] = x
	w.mu.Unlock()
	if backup := r.Header.Get("Kv-Backup"); backup != "" {
		if b := w.fleet.at(backup); b != nil {
			b.mu.Lock()
			b.backups[id] = &memory{id: id, at: b.addr}
			b.mu.Unlock()
		}
	}
	work := w.fleet.begin(id, w.id, from != "")
	w.record.add("%s: works on %s from event %d (Kv-From %q, Kv-Backup %q, Deadline-Ms %s)", w.id, id, after+1, from, r.Header.Get("Kv-Backup"), r.Header.Get("Deadline-Ms"))
	why := "ended"
	defer func() {
		w.fleet.end(work)
		w.mu.Lock()
		delete(w.runs, id)
		events := x.events
		w.mu.Unlock()
		w.record.add("%s: work on %s %s after event %d", w.id, id, why, events)
	}()
	head := w.head(200, r, "Response-Signature: 3e1b.07.5a2.600.0."+w.id, "Content-Type: text/event-stream", "Weight-Versions: 1", "Transfer-Encoding: chunked")
	_, writeErr := c.Write([]byte(head + "\r\n"))
	pause := firstEventTime
	for x.events < x.total {
		select {
		case <-x.stop:
			why = "stopped by a final move"
			return false
		case <-time.After(pause):
		}
		if time.Now().After(deadline) {
			why = "stopped at its time limit"
			return false
		}
		pause = eventTime
		w.mu.Lock()
		x.events++
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", x.events, id, x.events)
		w.mu.Unlock()
		if writeErr == nil {
			if _, writeErr = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); writeErr != nil {
				w.record.add("%s: the connection of %s is closed; the work goes on", w.id, id)
			}
		}
	}
	if writeErr == nil {
		_, writeErr = c.Write([]byte("0\r\n\r\n"))
	}
	return writeErr == nil
}

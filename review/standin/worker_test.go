package review

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host   = "site.example"
	apiKey = "key-of-acme"

	engineSlots    = 24
	engineQueue    = 72
	engineMemory   = 34149
	stride         = 4
	prefillPerMs   = 14
	stepTime       = 7 * time.Millisecond
	stepTimePerRun = 120 * time.Microsecond
	moveTime       = 20 * time.Millisecond
	copyLifetime   = 5 * time.Second
	heartbeat      = 1200 * time.Millisecond
	weightsVersion = "1"
	plainSlots     = 6
	plainQueue     = 24
	plainWork      = 30 * time.Millisecond
)

// Routes of the manifest, with the limits of the sheet of tilbod-fleet.
const (
	streamRoutes = `{"name":"quote-draft","host":"site.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"drafter","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":180},
{"name":"panel-check","host":"site.example","pathPrefix":"/panel/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,"service":"drafter","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":180}`
	plainRoutes = `{"name":"deposit-book","host":"site.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"jobdesk","maxAttempts":1,"public":false},
{"name":"job-lookup","host":"site.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"jobdesk","maxAttempts":2,"public":false}`
)

// manifest is the operator's manifest with the given routes.
func manifest(version int, routes string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],
"services":[
{"name":"drafter","healthPath":"/health","maxConns":538,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34149,"kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},
{"name":"jobdesk","healthPath":"/health","maxConns":244,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acme","apiKeys":["%s"],"priority":1}]}`, version, routes, apiKey)
}

// fleet is what the workers share: the store and the copies of runs.
type fleet struct {
	store *store

	mu     sync.Mutex
	copies map[string]*runCopy
	// ran counts the runs of each request that are not goings-on from a copy.
	ran map[string]int
	// arrived holds the arrivals of each request at a worker.
	arrived map[string][]time.Duration
	spans   map[string][]*span
}

type runCopy struct {
	request string
	holder  string
	events  int
	used    bool
	expires time.Time
}

type waiter struct {
	priority int
	order    int
	tokens   int
	go_      chan struct{}
}

// run is a generation that a model worker works on.
type run struct {
	id       string
	priority int
	order    int
	tokens   int
	events   int
	// preempted is set when the run had to give up its memory.
	preempted bool
	stop      context.CancelFunc
}

// worker is a model worker, or a plain one if it is no engine.
type worker struct {
	f       *fleet
	id      string
	addr    string
	service string
	engine  bool
	born    int64

	mu       sync.Mutex
	running  int
	used     int
	order    int
	queue    []*waiter
	runs     map[string]*run
	moves    int
	sequence int
	state    string
	// plainTime is how long a plain request takes.
	plainTime time.Duration
	// keepsRuns is set if the worker does not drop a run when its connection closes.
	keepsRuns bool
	stopped   context.Context
	stop      context.CancelFunc
	server    *http.Server
}

// span is the work of one worker on a request. end is 0 while it goes on.
type span struct {
	worker     string
	fromCopy   bool
	begin, end time.Duration
}

func newFleet(s *store) *fleet {
	return &fleet{store: s, copies: map[string]*runCopy{}, ran: map[string]int{}, arrived: map[string][]time.Duration{}, spans: map[string][]*span{}}
}

func (f *fleet) startWorker(id, service string, engine bool) *worker {
	w := &worker{f: f, id: id, service: service, engine: engine, born: time.Now().UnixMilli(), runs: map[string]*run{}, state: "ready", plainTime: plainWork}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("GET /health", w.health)
	mux.HandleFunc("POST /kv-move", w.move)
	mux.HandleFunc("DELETE /kv-handle/{id}", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", w.serve)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.addr = l.Addr().String()
	w.stopped, w.stop = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	w.checkIn()
	go func() {
		for pause(w.stopped, heartbeat) {
			w.checkIn()
		}
	}()
	return w
}

// drain reports the state draining. It returns when the store has accepted that.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.checkIn()
	record("worker %s is draining", w.id)
}

// exit ends the worker.
func (w *worker) exit() {
	record("worker %s exits", w.id)
	w.stop()
	_ = w.server.Close()
	w.f.store.remove("servers/" + w.id)
}

func (w *worker) checkIn() {
	w.mu.Lock()
	w.sequence++
	e := map[string]any{
		"service": w.service, "address": w.addr, "zone": "z-a", "version": "v1", "slots": plainSlots, "state": w.state,
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.engine {
		e["slots"], e["stage"] = engineSlots, "both"
		e["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.mu.Unlock()
	value, err := json.Marshal(e)
	must(err)
	w.f.store.put("servers/"+w.id, value)
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := [][]any{}
	for _, r := range w.runs {
		rows = append(rows, []any{r.id, r.tokens, r.events, 5})
	}
	reply(rw, http.StatusOK, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 1,
		"waiting": len(w.queue), "running": w.running, "kvUsed": w.used, "kvTotal": engineMemory, "handles": 0, "born": w.born, "runs": rows,
	})
}

func (w *worker) health(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Instance-Id", w.id)
	rw.Header().Set("Server-Load", w.load())
	w.mu.Lock()
	ready := w.state == "ready"
	w.mu.Unlock()
	if !ready {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slots := plainSlots
	if w.engine {
		slots = engineSlots
	}
	return fmt.Sprintf("%d,%d,%d", w.running, len(w.queue), slots)
}

// fits reports whether a request may start. The caller holds w.mu.
func (w *worker) fits(tokens int) bool {
	if !w.engine {
		return w.running < plainSlots
	}
	return w.running < engineSlots && w.used+tokens <= engineMemory
}

// enter waits until the request may start. It returns false if the queue is full or the
// context ends before.
func (w *worker) enter(ctx context.Context, priority, tokens int) bool {
	w.mu.Lock()
	limit := plainQueue
	if w.engine {
		limit = engineQueue
	}
	if len(w.queue) == 0 && w.fits(tokens) {
		w.running++
		w.used += tokens
		w.mu.Unlock()
		return true
	}
	if len(w.queue) >= limit {
		w.mu.Unlock()
		return false
	}
	w.order++
	q := &waiter{priority: priority, order: w.order, tokens: tokens, go_: make(chan struct{})}
	w.queue = append(w.queue, q)
	sort.SliceStable(w.queue, func(a, b int) bool { return w.queue[a].priority < w.queue[b].priority })
	w.mu.Unlock()
	select {
	case <-q.go_:
		return true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.queue {
		if x == q {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return false
		}
	}
	return true
}

func (w *worker) leave(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.free(tokens)
}

// free gives back a slot and its memory, and lets waiting requests start. The caller holds
// w.mu.
func (w *worker) free(tokens int) {
	w.running--
	w.used -= tokens
	for len(w.queue) > 0 && w.fits(w.queue[0].tokens) {
		q := w.queue[0]
		w.queue = w.queue[1:]
		w.running++
		w.used += q.tokens
		close(q.go_)
	}
}

func (w *worker) refuse(rw http.ResponseWriter) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := r.Header.Get("Expect-Version"); want != "" && want != weightsVersion {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		record("worker %s has other weights than %s expects", w.id, id)
		return
	}
	w.f.mu.Lock()
	w.f.arrived[id] = append(w.f.arrived[id], since())
	w.f.mu.Unlock()
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	parent := r.Context()
	if w.keepsRuns {
		parent = w.stopped
	}
	ctx, cancel := context.WithTimeout(parent, time.Duration(ms)*time.Millisecond)
	defer cancel()
	rw.Header().Set("Server-Load", w.load())
	priority := 5
	if p, err := strconv.Atoi(r.Header.Get("Request-Priority")); err == nil {
		priority = p
	}
	if !w.engine {
		w.plain(ctx, rw, id, body)
		return
	}
	w.stream(ctx, cancel, rw, r, id, priority, string(body))
}

func (w *worker) signature() string { return "sig." + w.id }

func (w *worker) plain(ctx context.Context, rw http.ResponseWriter, id string, body []byte) {
	if !w.enter(ctx, 0, 0) {
		w.refuse(rw)
		return
	}
	defer w.leave(0)
	defer w.f.begin(id, w.id, false)()
	select {
	case <-time.After(w.plainTime):
	case <-ctx.Done():
		return
	}
	answer := fmt.Sprintf("%s ran %s with %d bytes", w.id, id, len(body))
	rw.Header().Set("Response-Signature", w.signature())
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
	record("worker %s ran %s to its end", w.id, id)
}

// begin records that a worker begins to work on a request. The returned function records the
// end.
func (f *fleet) begin(id, worker string, fromCopy bool) (end func()) {
	sp := &span{worker: worker, fromCopy: fromCopy, begin: since()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !fromCopy {
		f.ran[id]++
	}
	f.spans[id] = append(f.spans[id], sp)
	record("worker %s begins %s (goes on from a copy: %v)", worker, id, fromCopy)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		sp.end = since()
		record("worker %s has ended its work on %s", worker, id)
	}
}

// useCopy returns the events of a copy, or false if this worker may not use it.
func (f *fleet) useCopy(name, holder, request string) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.copies[name]
	if c == nil || c.used || c.holder != holder || c.request != request || time.Now().After(c.expires) {
		return 0, false
	}
	c.used = true
	return c.events, true
}

func (f *fleet) storeCopy(name string, c runCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.copies[name]; old != nil {
		c.used = old.used
	}
	c.expires = time.Now().Add(copyLifetime)
	f.copies[name] = &c
}

// stream runs a generation. The body tells how many events it has, which no one else reads.
func (w *worker) stream(ctx context.Context, cancel context.CancelFunc, rw http.ResponseWriter, r *http.Request, id string, priority int, body string) {
	total, _ := strconv.Atoi(strings.TrimPrefix(strings.Fields(body + " x")[0], "events="))
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	// A request that is larger than the memory is rejected as if the worker were full.
	if promptTokens > engineMemory || !w.enter(ctx, priority, promptTokens) {
		w.refuse(rw)
		return
	}
	me := &run{id: id, priority: priority, tokens: promptTokens, stop: cancel}
	defer w.end(me)
	from := r.Header.Get("Kv-From")
	me.events, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from != "" {
		if _, ok := w.f.useCopy(from, w.addr, id); !ok {
			w.refuse(rw)
			return
		}
	}
	defer w.f.begin(id, w.id, from != "")()
	w.mu.Lock()
	w.order++
	me.order = w.order
	w.runs[id] = me
	w.mu.Unlock()
	if from == "" && !w.prefill(ctx, promptTokens) {
		return
	}
	backup := r.Header.Get("Kv-Backup")
	rw.Header().Set("Response-Signature", w.signature())
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	for n := me.events + 1; n <= total; n++ {
		if !w.step(ctx, me) {
			record("worker %s drops %s after event %d", w.id, id, n-1)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		_ = flush.Flush()
		w.mu.Lock()
		me.events = n
		w.mu.Unlock()
		if backup != "" {
			w.f.storeCopy(backup+"/"+id, runCopy{request: id, holder: backup, events: n})
		}
	}
	record("worker %s ran %s to its end", w.id, id)
}

func (w *worker) prefill(ctx context.Context, tokens int) bool {
	return pause(ctx, time.Duration(tokens/prefillPerMs)*time.Millisecond)
}

// step makes the tokens of one event. A run that was preempted waits until there is memory
// for it, and is read in again.
func (w *worker) step(ctx context.Context, me *run) bool {
	w.mu.Lock()
	running, tokens := w.running, me.tokens
	w.mu.Unlock()
	if !pause(ctx, stride*(stepTime+time.Duration(running)*stepTimePerRun)) {
		return false
	}
	for !w.grow(me) {
		if !w.enter(ctx, me.priority, tokens) {
			return false
		}
		w.mu.Lock()
		me.preempted, w.runs[me.id] = false, me
		w.mu.Unlock()
		if !w.prefill(ctx, tokens) {
			return false
		}
	}
	return true
}

// grow takes the memory for one event, if need be from the newest of the least urgent runs.
// It returns false if that is the run itself, or if the run was preempted before.
func (w *worker) grow(me *run) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !me.preempted && w.used+stride > engineMemory {
		victim := me
		for _, r := range w.runs {
			if r.priority > victim.priority || r.priority == victim.priority && r.order > victim.order {
				victim = r
			}
		}
		victim.preempted = true
		delete(w.runs, victim.id)
		w.free(victim.tokens)
	}
	if me.preempted {
		return false
	}
	w.used += stride
	me.tokens += stride
	return true
}

// end gives back what a run holds.
func (w *worker) end(me *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !me.preempted {
		delete(w.runs, me.id)
		w.free(me.tokens)
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *worker) move(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	me := w.runs[in.ID]
	w.moves++
	handle := fmt.Sprintf("%s-%d", w.id, w.moves)
	w.mu.Unlock()
	if me == nil {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if in.Last {
		me.stop()
	}
	time.Sleep(moveTime)
	w.mu.Lock()
	events := me.events
	w.mu.Unlock()
	w.f.storeCopy(w.addr+"/"+handle, runCopy{request: in.ID, holder: in.To, events: events})
	reply(rw, http.StatusOK, map[string]any{"handle": handle, "createdRev": events})
}

package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// orphanLifetime is how long a generation continues without a reader.
const orphanLifetime = 30 * time.Second

// defaultResponseTokens is the length of a response if the prompt has no length hint.
const defaultResponseTokens = 16

// EngineOptions configures an Engine.
type EngineOptions struct {
	ID string
	// TokenInterval is the time between two tokens of a stream. It is used only
	// if Model is nil.
	TokenInterval time.Duration
	// Model simulates batching, memory use, prefix caching and preemption. Nil
	// selects a fixed token interval.
	Model *enginemodel.Settings
}

// bytesPerToken is the prompt length that counts as one token. Multiplied by
// BlockTokens of the model's default settings, it gives the 64 bytes of a block
// of dispatch.PrefixHashes.
const bytesPerToken = 4

// Engine is an inference engine whose tokens identify their prompt, generation
// and offset (see TokenText).
type Engine struct {
	faultInjector
	orderLog
	arrivalLog
	opts EngineOptions
	mux  *http.ServeMux

	runner runner

	mu          sync.Mutex
	generations map[string]*generation
	started     int
	crashes     []time.Time
	beforeToken func(offset int)
}

// generation is a completion in progress. It continues without a reader.
type generation struct {
	id     string
	prompt string
	length int
}

// NewEngine returns an engine. It panics if the model settings are invalid, since
// they come from test code or from validated flags.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		opts: o, mux: http.NewServeMux(), generations: map[string]*generation{}, runner: newFixedRateRunner(o.TokenInterval),
	}
	if o.Model != nil {
		model, err := newModelRunner(*o.Model)
		if err != nil {
			panic(err)
		}
		e.runner = model
	}
	e.mux.HandleFunc("PUT "+faultsPath, e.serveFaults)
	e.handleOrders(e.mux, &e.faultInjector)
	e.mux.HandleFunc("POST /v1/completions", e.start)
	e.mux.HandleFunc("GET /v1/generations/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/generations/{id}", e.cancelGeneration)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.recordArrival(r)
	e.announce(w)
	e.mux.ServeHTTP(w, r)
}

// Crashes returns when the engine crashed on a prompt.
func (e *Engine) Crashes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashes)
}

// BeforeToken sets a function that is called when a stream is about to send a token,
// before the faults for it are read. It lets a test inject a fault at an exact point of
// a stream, however late its caller reads.
func (e *Engine) BeforeToken(f func(offset int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beforeToken = f
}

func (e *Engine) notifyToken(offset int) {
	e.mu.Lock()
	f := e.beforeToken
	e.mu.Unlock()
	if f != nil {
		f(offset)
	}
}

// crash ends all streams without their end marker and forgets the generations.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes = append(e.crashes, time.Now())
	for id := range e.generations {
		e.runner.cancel(id)
	}
	clear(e.generations)
}

// Started returns the number of generations started.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// lengthHint matches the response length, in tokens, that a test sets in the prompt.
var lengthHint = regexp.MustCompile(`\[tokens=(\d+)\]`)

func responseLength(r api.CompletionRequest) int {
	n := defaultResponseTokens
	if m := lengthHint.FindStringSubmatch(r.Prompt); m != nil {
		n, _ = strconv.Atoi(m[1])
	}
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return n
}

// TokenText returns the text of a token. It identifies the prompt, the
// generation and the offset, so that a test can detect tokens that are lost,
// duplicated or from another generation.
func TokenText(prompt, generation string, offset int) string {
	return fmt.Sprintf("%08x/%s/%d ", uint32(xxhash.Sum64String(prompt)), generation[len(generation)-8:], offset)
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		return
	}
	var request api.CompletionRequest
	id := r.Header.Get(api.HeaderGenerationID)
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(api.HeaderPriority)) // 0, the lowest, if absent
	e.mu.Lock()
	g, ok := e.generations[id]
	if !ok {
		g = &generation{id: id, prompt: request.Prompt, length: responseLength(request)}
		e.generations[id] = g
		e.started++
	}
	e.runner.start(enginemodel.Spec{
		ID: id, PromptTokens: 1 + len(request.Prompt)/bytesPerToken, Prefix: dispatch.PrefixHashes(request.Prompt),
		Length: g.length, Priority: priority,
	})
	e.mu.Unlock()
	defer e.runner.detach(id)
	e.stream(w, r, g, 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	g, ok := e.generations[r.PathValue("id")]
	if ok && !e.runner.attach(g.id) {
		delete(e.generations, g.id)
		ok = false
	}
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	defer e.runner.detach(g.id)
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.stream(w, r, g, offset)
}

func (e *Engine) cancelGeneration(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[r.PathValue("id")]; ok {
		e.runner.cancel(g.id)
		delete(e.generations, g.id)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		WriteJSON(w, e.runner.load())
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		return
	}
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	events := e.runner.cacheEvents(after)
	if events == nil {
		events = []dispatch.CacheEvent{}
	}
	WriteJSON(w, events)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", api.ContentTypeEventStream)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	sent := 0
	for n := offset + 1; n <= g.length; n++ {
		token := e.runner.wait(r.Context(), g.id, n)
		if token == tokenUnavailable {
			return
		}
		if token == tokenFailed {
			writeFailure(w)
			return
		}
		e.notifyToken(n)
		faults := e.CurrentFaults()
		if faults.CrashOn != "" && strings.Contains(g.prompt, faults.CrashOn) {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		if faults.Stall {
			// A stalled stream never resumes, even after the fault is cleared.
			<-r.Context().Done()
			return
		}
		if faults.TruncateAfter > 0 && sent >= faults.TruncateAfter {
			return
		}
		copies := 1
		if faults.Duplicate {
			copies = 2
		}
		for range copies {
			writeToken(w, g, n, faults.Crossed, token == tokenPreempted)
		}
		_ = control.Flush()
		sent++
	}
	writeEndMarker(w)
}

func writeEndMarker(w http.ResponseWriter) {
	m := sse.Message{}
	m.AppendData(api.DoneMarker)
	_, _ = m.WriteTo(w)
}

// tokenData is the data of a token event.
type tokenData struct {
	api.Completion
	Preempted bool `json:"preempted,omitempty"`
}

// writeFailure sends the error event of a generation that exceeds the engine's memory.
func writeFailure(w http.ResponseWriter) {
	m := sse.Message{Type: sse.Type(api.EventError)}
	m.AppendData("the generation exceeds the memory of the engine")
	_, _ = m.WriteTo(w)
}

func writeToken(w http.ResponseWriter, g *generation, n int, crossed, preempted bool) {
	id := g.id
	if crossed {
		id = api.NewGenerationID("crossed", "").String()
	}
	choice := api.Choice{Text: TokenText(g.prompt, id, n)}
	if n == g.length {
		choice.FinishReason = "stop"
	}
	data, err := json.Marshal(tokenData{Completion: api.Completion{ID: id, Choices: []api.Choice{choice}}, Preempted: preempted})
	if err != nil {
		return
	}
	m := sse.Message{ID: sse.ID(api.EventID{Generation: id, Offset: n}.String())}
	m.AppendData(string(data))
	_, _ = m.WriteTo(w)
}

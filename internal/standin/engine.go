package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/vanillaarch/vanillaarch/api"
)

// orphanLifetime is how long a generation goes on without a reader.
const orphanLifetime = 30 * time.Second

// defaultTokens is the length of an answer whose prompt does not state one.
const defaultTokens = 16

// EngineOptions are the parameters of an engine.
type EngineOptions struct {
	ID string
	// TokenInterval is the time between tokens of one stream.
	TokenInterval time.Duration
}

// Engine is an inference engine that produces verifiable tokens.
type Engine struct {
	faultSwitch
	orderBook
	opts EngineOptions
	mux  *http.ServeMux

	mu          sync.Mutex
	generations map[string]*generation
	started     int
}

// generation is one run. Its tokens come from the clock, so it goes on without a reader.
type generation struct {
	id       string
	prompt   string
	length   int
	begun    time.Time
	interval time.Duration
	lastRead time.Time
	cancel   context.CancelFunc
	ctx      context.Context
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{opts: o, mux: http.NewServeMux(), generations: map[string]*generation{}}
	e.mux.HandleFunc("PUT /faults", e.serveFaults)
	e.handleOrders(e.mux, &e.faultSwitch)
	e.mux.HandleFunc("POST /v1/completions", e.start)
	e.mux.HandleFunc("GET /v1/generations/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/generations/{id}", e.cancelGeneration)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Started returns the number of generations started.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// lengthHint lets a test state the length of an answer in the prompt.
var lengthHint = regexp.MustCompile(`\[tokens=(\d+)\]`)

func answerLength(r api.CompletionRequest) int {
	n := defaultTokens
	if m := lengthHint.FindStringSubmatch(r.Prompt); m != nil {
		n, _ = strconv.Atoi(m[1])
	}
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	return n
}

// TokenText is the text of a token. It names the prompt, the generation and
// the offset, so that a test can detect lost, doubled and mixed tokens.
func TokenText(prompt, generation string, offset int) string {
	return fmt.Sprintf("%08x/%s/%d ", uint32(xxhash.Sum64String(prompt)), generation[len(generation)-8:], offset)
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	if !e.before(w, r) {
		return
	}
	var request api.CompletionRequest
	id := r.Header.Get(api.HeaderGenerationID)
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g, ok := e.generations[id]
	if !ok {
		ctx, cancel := context.WithCancel(context.Background())
		g = &generation{
			id: id, prompt: request.Prompt, length: answerLength(request), begun: time.Now(),
			interval: e.opts.TokenInterval, lastRead: time.Now(), ctx: ctx, cancel: cancel,
		}
		e.generations[id] = g
		e.started++
	}
	e.mu.Unlock()
	e.stream(w, r, g, 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	if !e.before(w, r) {
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	g, ok := e.generations[r.PathValue("id")]
	if ok && time.Since(g.lastRead) > orphanLifetime {
		g.cancel()
		delete(e.generations, g.id)
		ok = false
	}
	e.mu.Unlock()
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.stream(w, r, g, offset)
}

func (e *Engine) cancelGeneration(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[r.PathValue("id")]; ok {
		g.cancel()
		delete(e.generations, g.id)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", api.ContentTypeEventStream)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	sent := 0
	for n := offset + 1; n <= g.length; n++ {
		if !g.wait(r.Context(), n) {
			return
		}
		faults := e.Get()
		for faults.Stall {
			// A stalled stream stays silent for good, even when the fault ends.
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
			writeToken(w, g, n, faults.Crossed)
		}
		_ = control.Flush()
		sent++
		e.touch(g)
	}
	m := sse.Message{}
	m.AppendData(api.DoneMarker)
	_, _ = m.WriteTo(w)
}

func (e *Engine) touch(g *generation) {
	e.mu.Lock()
	g.lastRead = time.Now()
	e.mu.Unlock()
}

// wait blocks until token n exists.
func (g *generation) wait(ctx context.Context, n int) bool {
	timer := time.NewTimer(time.Until(g.begun.Add(time.Duration(n) * g.interval)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-g.ctx.Done():
		return false
	}
}

func writeToken(w http.ResponseWriter, g *generation, n int, crossed bool) {
	id := g.id
	if crossed {
		id = api.NewGenerationID("crossed").String()
	}
	choice := api.Choice{Text: TokenText(g.prompt, id, n)}
	if n == g.length {
		choice.FinishReason = "stop"
	}
	data, err := json.Marshal(api.Completion{ID: id, Choices: []api.Choice{choice}})
	if err != nil {
		return
	}
	m := sse.Message{ID: sse.ID(api.EventID{Generation: id, Offset: n}.String())}
	m.AppendData(string(data))
	_, _ = m.WriteTo(w)
}

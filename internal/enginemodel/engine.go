package enginemodel

import (
	"fmt"
	"slices"
	"time"
)

// Spec describes a generation.
type Spec struct {
	// ID is the generation id.
	ID string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Prefix holds the chained hashes of the prompt's blocks.
	Prefix []uint64
	// Length is the number of tokens that the generation will produce.
	Length int
	// Priority orders admission and preemption; 0 is lowest.
	Priority int
}

// EventKind is the kind of an event.
type EventKind int

// Kinds of events.
const (
	// KindToken is a new token.
	KindToken EventKind = iota
	// KindPreempted reports that a generation lost its memory. It is not sent to
	// readers, who see the Preempted flag of the next token.
	KindPreempted
	// KindFailed reports that a generation ended because it needs more memory than
	// the engine has.
	KindFailed
)

// Event reports a token, a preemption or a failure of a generation.
type Event struct {
	Kind EventKind
	At   time.Time
	ID   string
	// Offset counts tokens from 1.
	Offset int
	// Preempted says that the generation was preempted before this token.
	Preempted bool
	// Last marks the final token.
	Last bool
}

// UnknownGenerationError reports a generation that the engine does not have.
type UnknownGenerationError struct{ ID string }

func (e *UnknownGenerationError) Error() string {
	return fmt.Sprintf("generation %s is unknown", e.ID)
}

// State is the progress of a generation when a reader attaches.
type State struct {
	// Produced is the number of tokens so far.
	Produced int
	Finished bool
}

// generation is one sequence, which is waiting, running or finished.
type generation struct {
	Spec
	arrival  uint64
	produced int
	running  bool
	finished bool
	removed  bool
	// preempted is set until the next token.
	preempted bool
	// pending is the number of tokens to process before the next one is produced.
	pending int
	// chunk is the number of pending tokens that the current step processes.
	chunk int
	// blocks is the number of blocks it owns, shared those it uses in the prefix cache.
	blocks  int
	shared  []*cachedBlock
	readers int
	// idleSince is the time since which there has been no reader.
	idleSince time.Time
}

func (g *generation) contextLength() int { return g.PromptTokens + g.produced }

// Engine is the model of an engine. It is not safe for concurrent use, and the
// time must not decrease from call to call.
type Engine struct {
	settings    Settings
	generations map[string]*generation
	waiting     []*generation
	running     []*generation
	arrivals    uint64
	preemptions int64
	memory      *memory
	stepping    bool
	stepEnd     time.Time
	expiries    []expiry
	samples     []sample
	// events holds the events that Advance has not reported yet.
	events []Event
}

// expiry is the time at which a generation is removed if it has had no reader for
// the orphan lifetime.
type expiry struct {
	at time.Time
	g  *generation
}

// New returns an idle engine, or a *SettingError for a setting out of range.
func New(s Settings) (*Engine, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Engine{settings: s, generations: map[string]*generation{}, memory: newMemory(s)}, nil
}

// Start starts a generation with one reader. If the id is known, it adds a reader to
// that generation and starts no second one.
func (e *Engine) Start(now time.Time, s Spec) State {
	e.expire(now)
	if g, ok := e.generations[s.ID]; ok {
		g.readers++
		return State{Produced: g.produced, Finished: g.finished}
	}
	e.arrivals++
	s.Prefix = s.Prefix[:min(len(s.Prefix), s.PromptTokens/e.settings.BlockTokens)]
	s.Length = max(s.Length, 1)
	g := &generation{Spec: s, arrival: e.arrivals, readers: 1}
	e.generations[s.ID] = g
	e.enqueue(g)
	if !e.stepping {
		e.beginStep(now)
	}
	e.recordSample(now)
	return State{}
}

// Attach adds a reader to a generation, as a resume does.
func (e *Engine) Attach(now time.Time, id string) (State, error) {
	e.expire(now)
	g, ok := e.generations[id]
	if !ok {
		return State{}, &UnknownGenerationError{ID: id}
	}
	g.readers++
	return State{Produced: g.produced, Finished: g.finished}, nil
}

// Detach removes a reader. A generation without a reader is kept for the
// orphan lifetime.
func (e *Engine) Detach(now time.Time, id string) {
	g, ok := e.generations[id]
	if !ok {
		return
	}
	if g.readers--; g.readers == 0 {
		g.idleSince = now
		e.expiries = append(e.expiries, expiry{at: now.Add(e.settings.OrphanLifetime), g: g})
	}
}

// Cancel ends a generation. Cancelling an unknown generation has no effect.
func (e *Engine) Cancel(now time.Time, id string) {
	if g, ok := e.generations[id]; ok {
		e.remove(g)
		e.recordSample(now)
	}
}

// Due returns when Advance must be called next: the time of an unreported event or
// the end of the current step; false means that the engine is idle.
func (e *Engine) Due() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	return e.stepEnd, e.stepping
}

// Advance completes each step that ends by now and reports its events in order.
// emit may call the engine.
func (e *Engine) Advance(now time.Time, emit func(Event)) {
	e.drain(emit)
	for e.stepping && !e.stepEnd.After(now) {
		at := e.stepEnd
		e.expire(at)
		e.finishStep(at)
		e.beginStep(at)
		e.recordSample(at)
		e.drain(emit)
	}
	e.expire(now)
}

func (e *Engine) drain(emit func(Event)) {
	for i := 0; i < len(e.events); i++ {
		emit(e.events[i])
	}
	e.events = e.events[:0]
}

func (e *Engine) expire(now time.Time) {
	for len(e.expiries) > 0 && !e.expiries[0].at.After(now) {
		x := e.expiries[0]
		e.expiries = e.expiries[1:]
		if x.g.readers == 0 && !x.g.removed && !x.g.idleSince.Add(e.settings.OrphanLifetime).After(now) {
			e.remove(x.g)
		}
	}
}

// remove deletes a generation and frees its memory.
func (e *Engine) remove(g *generation) {
	e.memory.release(g)
	g.removed = true
	delete(e.generations, g.ID)
	if g.running {
		e.running = removeGeneration(e.running, g)
	} else if !g.finished {
		e.waiting = removeGeneration(e.waiting, g)
	}
	g.running = false
}

func removeGeneration(list []*generation, g *generation) []*generation {
	if i := slices.Index(list, g); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// enqueue inserts a generation into the waiting queue by priority, then arrival.
func (e *Engine) enqueue(g *generation) {
	i, _ := slices.BinarySearchFunc(e.waiting, g, func(a, b *generation) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return compare(a.arrival, b.arrival)
	})
	e.waiting = slices.Insert(e.waiting, i, g)
}

func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

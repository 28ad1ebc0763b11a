package enginemodel

import (
	"slices"
	"time"
)

// beginStep starts the next step: it grows the memory of running sequences,
// admits waiting ones and plans prefill work.
func (e *Engine) beginStep(now time.Time) {
	// Admission right after a preemption would reuse the memory that it freed.
	if preempted := e.growSequences(now); !preempted || len(e.running) == 0 {
		e.admit(now)
	}
	e.memory.publish(now)
	e.stepping = len(e.running) > 0
	if e.stepping {
		e.stepEnd = now.Add(e.planPrefill())
	}
}

// planPrefill divides the prefill budget among the running sequences and returns
// the duration of the step.
func (e *Engine) planPrefill() time.Duration {
	budget, decoding := e.settings.MaxPrefillTokens, 0
	for _, g := range e.running {
		g.chunk = min(g.pending, budget)
		budget -= g.chunk
		if g.chunk == g.pending {
			decoding++
		}
	}
	prefill := e.settings.MaxPrefillTokens - budget
	return e.settings.StepBase + time.Duration(decoding)*e.settings.StepPerSequence +
		time.Duration(prefill)*e.settings.StepPerPrefillToken
}

// finishStep ends a step: each sequence whose prefill is complete produces a token.
func (e *Engine) finishStep(at time.Time) {
	kept := e.running[:0]
	for _, g := range e.running {
		g.pending -= g.chunk
		if g.pending > 0 {
			kept = append(kept, g)
			continue
		}
		if g.chunk > 0 {
			g.chunk = 0
			e.memory.store(g)
		}
		g.produced++
		e.events = append(e.events, Event{
			Kind: KindToken, At: at, ID: g.ID, Offset: g.produced, Preempted: g.preempted, Last: g.produced >= g.Length,
		})
		g.preempted = false
		if g.produced < g.Length {
			kept = append(kept, g)
			continue
		}
		g.running, g.finished = false, true
		e.memory.release(g)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// growSequences gives each decoding sequence the block for its next token. It preempts
// sequences when memory runs out, and reports whether it did.
func (e *Engine) growSequences(now time.Time) (preempted bool) {
	for i := 0; i < len(e.running); i++ {
		g := e.running[i]
		for g.running && g.pending == 0 && e.memory.blocksFor(g.contextLength()+1) > g.blocks+len(g.shared) {
			if e.memory.allocate(g, 1) {
				continue
			}
			preempted = true
			if at := e.preempt(now, e.victim()); at <= i {
				i--
			}
		}
	}
	return preempted
}

// victim returns the sequence to preempt: the latest arrival of the lowest priority.
func (e *Engine) victim() *generation {
	var v *generation
	for _, g := range e.running {
		if v == nil || g.Priority < v.Priority || (g.Priority == v.Priority && g.arrival > v.arrival) {
			v = g
		}
	}
	return v
}

// preempt frees a sequence's memory and queues it for recomputation. It returns the
// index that the sequence had in the batch. A sequence that ran alone exceeds the
// engine's memory and fails.
func (e *Engine) preempt(now time.Time, g *generation) int {
	index := slices.Index(e.running, g)
	e.running = slices.Delete(e.running, index, index+1)
	e.memory.release(g)
	g.running, g.pending, g.chunk = false, 0, 0
	if len(e.running) == 0 {
		e.fail(now, g)
		return index
	}
	g.preempted = true
	e.preemptions++
	e.enqueue(g)
	e.events = append(e.events, Event{Kind: KindPreempted, At: now, ID: g.ID, Offset: g.produced})
	return index
}

// admit moves waiting sequences into the batch while there is memory, in order.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxSequences {
		g := e.waiting[0]
		fits, possible := e.memory.admit(g)
		if !fits && possible {
			return
		}
		e.waiting = e.waiting[1:]
		if !fits {
			e.fail(now, g)
			continue
		}
		g.running = true
		g.pending = max(g.contextLength()-len(g.shared)*e.settings.BlockTokens, 1)
		e.running = append(e.running, g)
	}
}

// fail ends a generation that needs more memory than the engine has.
func (e *Engine) fail(now time.Time, g *generation) {
	delete(e.generations, g.ID)
	g.finished, g.removed = true, true
	e.events = append(e.events, Event{Kind: KindFailed, At: now, ID: g.ID, Offset: g.produced})
}

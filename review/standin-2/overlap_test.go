package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["dropped-connection"] = droppedConnection
	cases["pause"] = pause
}

// maxOverlap is the time of rule TWICE for which a worker may still work on a request that goes on
// at another one.
const maxOverlap = 400 * time.Millisecond

// droppedConnection drains the worker of a long stream. Without trouble, kept connections stay
// usable for the time that the workers state. With trouble, the workers drop them sooner.
func droppedConnection(b *bench) (result, error) {
	for n := range 2 {
		if _, err := b.fleet.startWorker(fmt.Sprintf("i-worker%d", n), "drafter", zones[n], 24); err != nil {
			return notRun, err
		}
	}
	if err := b.start(3, 100); err != nil {
		return notRun, err
	}
	const id = "long-draft"
	got := make(chan outcome, 1)
	go func() {
		got <- send(b.record, b.vms[0].front, "/draft/1", id, "prompt", map[string]string{
			"Model": "m", "Token-Count": "3000,940", "Length-Hint": "56", "Prompt-Prefix": "a1:79,b2:2921", "Deadline-Ms": "39000",
		})
	}()
	time.Sleep(time.Second)
	b.shortChecks(12)
	from := b.workerOf(id)
	if from == nil {
		return notRun, fmt.Errorf("the long draft has not begun")
	}
	if b.trouble {
		for _, w := range b.fleet.workers {
			w.dropsIdle.Store(int64(time.Second))
		}
		b.record.add("from now on, workers drop connections that were idle for 1 s")
	}
	time.Sleep(700 * time.Millisecond)
	b.drain(from)
	out := <-got
	time.Sleep(500 * time.Millisecond)
	return b.judgeOverlap(id, out)
}

// shortChecks sends short streams at once, whose connections to the workers are kept.
func (b *bench) shortChecks(n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			send(b.record, b.vms[0].front, "/check/1", fmt.Sprintf("check-%d", i), "prompt", map[string]string{
				"Model": "m", "Token-Count": "350,12", "Length-Hint": "12", "Prompt-Prefix": fmt.Sprintf("c3:300,d%d:50", i), "Deadline-Ms": "6000",
			})
		})
	}
	all.Wait()
}

func (b *bench) workerOf(id string) *worker {
	for _, s := range b.fleet.spansOf(id) {
		for _, w := range b.fleet.workers {
			if w.id == s.worker && !s.done {
				return w
			}
		}
	}
	return nil
}

// drain makes a worker report that it leaves. It serves on for ten seconds, and then exits.
func (b *bench) drain(w *worker) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	b.store.put("servers/"+w.id, w.entry("draining", 2))
	b.record.add("%s: reports that it is draining", w.id)
	time.AfterFunc(12*time.Second, func() {
		b.store.remove("servers/" + w.id)
		b.record.add("%s: exits", w.id)
		w.exit()
	})
}

// judgeOverlap checks rule TWICE for a stream.
func (b *bench) judgeOverlap(id string, out outcome) (result, error) {
	spans := b.fleet.spansOf(id)
	for _, s := range spans {
		b.record.say("%s worked on %s from %.3f s to %.3f s (from a copy: %v)", s.worker, id, s.begun.Sub(b.record.begun).Seconds(), s.ended.Sub(b.record.begun).Seconds(), s.fromCopy)
	}
	b.record.say("the client got status %d, %d events, complete %v", out.status, out.events, out.complete)
	if len(spans) < 2 && b.trouble {
		return notRun, fmt.Errorf("the stream did not go on at another worker")
	}
	for i, later := range spans {
		for _, earlier := range spans[:i] {
			end := earlier.ended
			if !earlier.done {
				end = time.Now()
			}
			if earlier.worker != later.worker && end.Sub(later.begun) > maxOverlap {
				b.record.say("TWICE is broken: %s still worked %d ms after %s had begun", earlier.worker, end.Sub(later.begun).Milliseconds(), later.worker)
				return broken, nil
			}
		}
	}
	b.record.say("TWICE held")
	return held, nil
}

// pause has the worker of a long stream turn other requests away for some seconds, as one that
// has no room does. With trouble, the answer of the long stream is lost after that: its
// connection is reset, while the worker goes on with the run.
func pause(b *bench) (result, error) {
	for n := range 3 {
		if _, err := b.fleet.startWorker(fmt.Sprintf("i-worker%d", n), "drafter", zones[n], 24); err != nil {
			return notRun, err
		}
	}
	if err := b.start(3, 100); err != nil {
		return notRun, err
	}
	const id = "long-draft"
	got := make(chan outcome, 1)
	go func() {
		got <- send(b.record, b.vms[0].front, "/draft/1", id, "prompt", map[string]string{
			"Model": "m", "Token-Count": "3000,940", "Length-Hint": "900", "Prompt-Prefix": "a1:79,b2:2921", "Deadline-Ms": "39000",
		})
	}()
	time.Sleep(2 * time.Second)
	at := b.workerOf(id)
	if at == nil {
		return notRun, fmt.Errorf("the long draft has not begun")
	}
	at.prefill.Store(int64(900 * time.Millisecond))
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			send(b.record, b.vms[0].front, "/check/1", fmt.Sprintf("check-%d", i), "prompt", map[string]string{
				"Model": "m", "Token-Count": "2200,12", "Length-Hint": "12", "Prompt-Prefix": fmt.Sprintf("c3:350,d%d:1850", i), "Deadline-Ms": "6000",
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	if at.turnAway("3") == 0 {
		return notRun, fmt.Errorf("%s has no request to turn away", at.id)
	}
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		at.loseAnswer(id)
	}
	all.Wait()
	out := <-got
	time.Sleep(500 * time.Millisecond)
	return b.judgeOverlap(id, out)
}

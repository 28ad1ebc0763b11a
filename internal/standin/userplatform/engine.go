package userplatform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
)

// engineRun is a run that an engine works on.
type engineRun struct {
	request string
	// events is the number of events made so far, by the engines before as well.
	events atomic.Int64
	// stop ends the work, ended is closed once it has ended.
	stop  context.CancelFunc
	ended chan struct{}
	// moving is set while a POST /kv-move is in progress. handles holds the handle of the
	// latest copy by the address of its engine. Server.mu guards both.
	moving  bool
	handles map[string]string
}

// beginRun registers a run. The returned context ends with the run, and with parent.
func (s *Server) beginRun(parent context.Context, request string, last int) (context.Context, *engineRun) {
	ctx, stop := context.WithCancel(parent)
	run := &engineRun{request: request, stop: stop, ended: make(chan struct{}), handles: map[string]string{}}
	run.events.Store(int64(last))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[request] = run
	return ctx, run
}

func (s *Server) endRun(run *engineRun) {
	run.stop()
	close(run.ended)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run.request] == run {
		delete(s.runs, run.request)
	}
}

// stream sends the events of a run, starting after the last one that the client
// received. crash is the crash that the run leads to, or nil.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, f ServerFaults, crash *RequestCrashes) {
	request, from := r.Header.Get("Request-Id"), r.Header.Get("Kv-From")
	elsewhere := !strings.HasPrefix(from, copyName(s.Address(), ""))
	if from != "" && (f.RefuseCopies && elsewhere || !s.fleet.useCopy(from, s.Address(), request)) {
		refuse(w, r, f)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0, the start, if absent
	parent := r.Context()                                  // It ends with the client's connection.
	if f.KeepsRuns {
		parent = context.WithoutCancel(parent)
	}
	ctx, run := s.beginRun(parent, request, last)
	defer s.endRun(run)
	defer s.fleet.beginExecution(r, s.ID(), from != "")()
	if f.EndlessHead || f.EndlessBody {
		s.endless(w, r, f)
		return
	}
	if f.HeadOnly {
		s.sendHeadOnly(w, r)
		return
	}
	backup := r.Header.Get("Kv-Backup")
	if backup != "" {
		s.fleet.removeCopy(copyName(backup, request))
		go s.replicate(ctx, run, backup, f.BackupDelay)
	}
	if !wait.Sleep(ctx, f.HeadDelay) {
		return
	}
	if !s.sendHead(ctx, w, from != "") {
		drop(w)
		return
	}
	if crash != nil {
		s.crashBy(r, crash)
		return
	}
	held, complete := s.sendEvents(ctx, w, r, f, run)
	if complete && backup != "" {
		run.stop()
		s.fleet.removeCopy(copyName(backup, request))
	}
	_, _ = io.WriteString(w, held)
}

// sendEvents sends the remaining events of a run, but for those that f holds back, which
// it returns. complete is false if the run ends before its last event.
func (s *Server) sendEvents(
	ctx context.Context, w http.ResponseWriter, r *http.Request, f ServerFaults, run *engineRun,
) (held string, complete bool) {
	crashes := s.fleet.crashesEngines(r.Header.Get("Prompt-Prefix"))
	last := s.opts.Events
	if f.EndAfter > 0 {
		last = f.EndAfter
	}
	for n := int(run.events.Load()) + 1; n <= last; n++ {
		if !wait.Sleep(ctx, s.opts.EventInterval) {
			// A run that a move has stopped ends without the end of its stream.
			drop(w)
			return "", false
		}
		if crashes {
			s.crashAndRestart(run.request)
			return "", false
		}
		if f.HoldAfter > 0 && n > f.HoldAfter {
			held += s.eventOf(r, n)
		} else if !s.sendEvent(w, r, f, n) {
			if f.KeepsRuns {
				wait.Sleep(ctx, time.Duration(s.opts.Events-n)*s.opts.EventInterval)
			}
			return "", false
		}
		run.events.Store(int64(n))
	}
	return held, true
}

// promptTime is the time for which engines process a prompt before the first event.
type promptTime struct {
	duration time.Duration
	// lateHead makes engines send the head of the response after that time, not before.
	lateHead bool
}

// SetPromptTime sets the time for which engines process the prompt of a run that does
// not continue from a copy, and whether they send the head of the response after it.
func (f *Fleet) SetPromptTime(d time.Duration, lateHead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prompts = promptTime{duration: d, lateHead: lateHead}
}

// sendHead processes the prompt and sends the head of the response. It returns false if
// the run ends first.
func (s *Server) sendHead(ctx context.Context, w http.ResponseWriter, fromCopy bool) bool {
	s.fleet.mu.Lock()
	prompt := s.fleet.prompts
	s.fleet.mu.Unlock()
	if fromCopy {
		prompt = promptTime{}
	}
	if prompt.lateHead && !wait.Sleep(ctx, prompt.duration) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	return prompt.lateHead || wait.Sleep(ctx, prompt.duration)
}

// eventOf returns event n of a run.
func (s *Server) eventOf(r *http.Request, n int) string {
	data := fmt.Sprintf("%s %d", r.Header.Get("Request-Id"), n)
	if version := s.softwareVersion(); version != "" {
		data += " " + version
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
}

// sendEvent sends event n. It returns false if the stream was broken by a fault.
func (s *Server) sendEvent(w http.ResponseWriter, r *http.Request, f ServerFaults, n int) bool {
	if f.TrickleAfter > 0 && n > f.TrickleAfter {
		trickle(w, r)
		return false
	}
	event := s.eventOf(r, n)
	broken := f.BreakAfter > 0 && n > f.BreakAfter
	if broken {
		event = event[:len(event)/2]
	}
	_, _ = io.WriteString(w, event)
	_ = http.NewResponseController(w).Flush()
	if broken {
		drop(w)
	}
	return !broken
}

// trickleInterval is the time between the bytes that trickle sends.
const trickleInterval = 50 * time.Millisecond

// trickle sends a comment byte by byte until the client disconnects.
func trickle(w http.ResponseWriter, r *http.Request) {
	for wait.Sleep(r.Context(), trickleInterval) {
		_, _ = io.WriteString(w, ":")
		_ = http.NewResponseController(w).Flush()
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const memoryTokens = 1 << 20
	used := 0
	if s.faults.Full {
		used = memoryTokens
	}
	writeJSON(w, map[string]any{
		"born": s.startTime(), "stage": "both", "waiting": 0, "running": s.running, "kvUsed": used, "kvTotal": memoryTokens, "runs": []any{},
	})
}

package telemetry

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	mu      sync.Mutex
	written strings.Builder
	release chan struct{}
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against requests that block on a stalled consumer of the log, unbounded
// memory growth, and lines that are dropped without being counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * queuedLines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	if n := w.Dropped(); n < queuedLines {
		t.Errorf("%d lines dropped", n)
	}
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.written.String(); !strings.Contains(got, "event=log_lines_dropped count=") || strings.Count(got, "line\n") > queuedLines+2 {
		t.Errorf("%d lines, %.200s", strings.Count(got, "\n"), got)
	}
}

// Guards against warnings that are lost because routine lines have filled the queue.
func TestWarningsHaveRoomOfTheirOwn(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	log := NewLogger(w, "info", "vm-0")
	for range 3 * queuedLines {
		log.Info("routine")
	}
	log.Warn("request_sent_again")
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.written.String(); strings.Count(got, "event=request_sent_again vm=vm-0") != 1 || strings.Count(got, "event=routine") > queuedLines+2 {
		t.Errorf("%d warnings and %d routine lines", strings.Count(got, "request_sent_again"), strings.Count(got, "event=routine"))
	}
}

// Guards against warnings that are lost because those of another event, of which overload
// causes one for each request, have filled the part of the queue for warnings.
func TestFloodOfOneWarningLeavesRoomForOthers(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	log := NewLogger(w, "info", "vm-0")
	for range 2 * (queuedLines + reservedLines) {
		log.Info("routine")
		log.Warn("retry_budget_exhausted")
	}
	log.Warn("request_sent_again")
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.written.String(), "event=request_sent_again vm=vm-0"); n != 1 {
		t.Errorf("%d lines of the rare warning, want 1", n)
	}
	if len(w.reserved) != 0 {
		t.Errorf("lines that were written still take room: %v", w.reserved)
	}
}

// Guards against loss of queued lines at Close, and against a panic when a line is
// written after Close.
func TestBoundedWriterClose(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	w := NewBoundedWriter(out)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close(5 * time.Second)
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.written.String(), "line\n"); n != 100 {
		t.Errorf("%d of 100 lines written", n)
	}
}

// Guards against dropped lines that the log does not mention, since they were dropped shortly
// before the end of the process or after another report.
func TestAllDroppedLinesAreReported(t *testing.T) {
	const lines = 3 * queuedLines
	out := &blockingWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	w.dropped.Store(1)
	_, _ = w.Write([]byte("line\n"))
	for begin := time.Now(); len(w.lines) > 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the line is not being written")
		}
	}
	out.release <- struct{}{} // The line and the first report.
	out.release <- struct{}{}
	for range lines {
		_, _ = w.Write([]byte("line\n"))
	}
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	got := out.written.String()
	reported := 0
	for _, report := range strings.Split(got, "event=log_lines_dropped count=")[1:] {
		n, err := strconv.Atoi(strings.Fields(report)[0])
		if err != nil {
			t.Fatal(err)
		}
		reported += n
	}
	if written := strings.Count(got, "line\n"); written+reported != lines+2 {
		t.Errorf("%d lines written, %d reported as dropped, want %d in all", written, reported, lines+2)
	}
}

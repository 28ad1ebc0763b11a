package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a BoundedWriter.
const (
	// queuedLines is the number of lines that wait to be written.
	queuedLines = 1024
	// dropReportInterval is the least time between two notes about dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter writes log lines on a goroutine of its own. A line for which
// there is no room is dropped and counted, so that a reader of the log that
// stalls never holds up a request. It implements zapcore.WriteSyncer.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter starts a writer to out. Close must be called.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out: out, lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks, and never fails.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *BoundedWriter) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last note about them.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for at most the given time. Later lines are lost.
func (w *BoundedWriter) Close(limit time.Duration) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	var noted time.Time
	for {
		select {
		case line := <-w.lines:
			noted = w.write(line, noted)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			noted = w.write(line, noted)
		case <-w.stop:
			return
		}
	}
}

// write writes a line, and a note about dropped ones if it is time for one. It
// returns the time of the last note.
func (w *BoundedWriter) write(line []byte, noted time.Time) time.Time {
	// A failed write leaves nothing to report it to.
	_, _ = w.out.Write(line)
	if w.dropped.Load() == 0 || time.Since(noted) < dropReportInterval {
		return noted
	}
	now := time.Now()
	_, _ = fmt.Fprintf(w.out, "time=%s level=warn event=log_lines_dropped count=%d\n",
		now.UTC().Format(timeLayout), w.dropped.Swap(0))
	return now
}

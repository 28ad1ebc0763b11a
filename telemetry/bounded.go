package telemetry

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a BoundedWriter.
const (
	// queuedLines bounds the lines that are queued for writing.
	queuedLines = 1024
	// reservedLines is the further room for warnings and errors, reservedPerEvent the part
	// of it that one event may take. Overload causes a warning for each request, among
	// which the rare one that explains a fault must not be lost.
	reservedLines    = 256
	reservedPerEvent = reservedLines / 4
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter queues log lines and writes them from its own goroutine. When the
// queue is full, lines are dropped and counted, so that a stalled consumer of the
// log never blocks a request. A part of the queue is reserved for warnings and errors,
// which explain a fault when the lines of its time are incomplete, and no event takes all
// of it. It implements zapcore.WriteSyncer.
type BoundedWriter struct {
	out     io.Writer
	lines   chan queuedLine
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// reserved counts the queued lines in the reserved part by event.
	reserved map[string]int
}

// queuedLine is a line with its event if it takes room in the reserved part.
type queuedLine struct {
	text  []byte
	event string
}

// NewBoundedWriter starts the goroutine that writes to out. The caller must call
// Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out: out, lines: make(chan queuedLine, queuedLines+reservedLines), stop: make(chan struct{}), done: make(chan struct{}),
		reserved: map[string]int{},
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and always returns a nil error.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	if len(w.lines) >= queuedLines {
		w.dropped.Add(1)
		return len(p), nil
	}
	w.enqueue(p, "")
	return len(p), nil
}

// WriteReserved is Write for a line that may use the reserved part of the queue.
func (w *BoundedWriter) WriteReserved(p []byte) (int, error) {
	if len(w.lines) < queuedLines {
		w.enqueue(p, "")
		return len(p), nil
	}
	event := eventOf(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserved[event] >= reservedPerEvent {
		w.dropped.Add(1)
	} else if w.enqueue(p, event) {
		w.reserved[event]++
	}
	return len(p), nil
}

// enqueue queues a line. It returns false if the queue is full.
func (w *BoundedWriter) enqueue(p []byte, event string) bool {
	select {
	case w.lines <- queuedLine{append([]byte(nil), p...), event}:
		return true
	default:
		w.dropped.Add(1)
		return false
	}
}

// noEvent stands for the event of lines that name none.
const noEvent = "none"

// eventOf returns the event that a logfmt line names.
func eventOf(line []byte) string {
	_, rest, _ := bytes.Cut(line, []byte(" event="))
	event, _, _ := bytes.Cut(rest, []byte(" "))
	return cmp.Or(string(event), noEvent)
}

// leaveReserved records that a line has left the queue.
func (w *BoundedWriter) leaveReserved(event string) {
	if event == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserved[event]--; w.reserved[event] == 0 {
		delete(w.reserved, event)
	}
}

// Sync implements zapcore.WriteSyncer.
func (w *BoundedWriter) Sync() error { return nil }

// Dropped returns the number of lines dropped since they were last reported in the log.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close waits up to limit for the queued lines to be written. Lines written later
// are discarded.
func (w *BoundedWriter) Close(limit time.Duration) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	var lastReport time.Time
	for {
		select {
		case line := <-w.lines:
			lastReport = w.write(line, lastReport)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			lastReport = w.write(line, lastReport)
		case <-w.stop:
			w.reportDropped()
			return
		}
	}
}

// write writes a line and, at most once per dropReportInterval, the number of
// dropped lines. lastReport is the time of the last such report; write
// returns the updated time.
func (w *BoundedWriter) write(line queuedLine, lastReport time.Time) time.Time {
	w.leaveReserved(line.event)
	// There is nowhere to report a failed write of the log.
	_, _ = w.out.Write(line.text)
	if w.dropped.Load() == 0 || time.Since(lastReport) < dropReportInterval {
		return lastReport
	}
	return w.reportDropped()
}

// reportDropped writes the number of lines that were dropped since the last report, if any was. It
// returns the time of the report.
func (w *BoundedWriter) reportDropped() time.Time {
	now := time.Now()
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn event=log_lines_dropped count=%d\n", now.UTC().Format(timeLayout), dropped)
	}
	return now
}

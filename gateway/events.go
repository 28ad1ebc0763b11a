package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/membudget"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream of server-sent events into complete events, so that
// a caller never receives a partial one. The bytes of events are not modified.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start and end delimit the unread bytes. The first scanned bytes of them
	// contain no end of an event.
	start, end, scanned int
	err                 error
	// memory accounts for the memory of the buffer.
	memory *membudget.Reservation
}

// eventBufferBytes is the initial size of the buffer.
const eventBufferBytes = 4 << 10

func newEventReader(source io.Reader, memory *membudget.Reservation) *eventReader {
	return &eventReader{source: source, memory: memory, buffer: make([]byte, eventBufferBytes)}
}

// PartialEventError reports a stream that ended in the middle of an event.
type PartialEventError struct{ Bytes int }

func (e *PartialEventError) Error() string {
	return fmt.Sprintf("the stream ended %d bytes into an event", e.Bytes)
}

// EventTooLargeError reports an event of more than maxEventBytes.
type EventTooLargeError struct{}

func (e *EventTooLargeError) Error() string {
	return "an event exceeds " + strconv.Itoa(maxEventBytes) + " bytes"
}

// next returns the next complete event with its terminating blank line. The bytes
// are valid until the next call. It returns io.EOF if the stream ended after a
// complete event.
func (r *eventReader) next() ([]byte, error) {
	for {
		if n := eventLength(r.buffer[r.start:r.end], &r.scanned); n > 0 {
			event := r.buffer[r.start : r.start+n]
			r.start += n
			r.scanned = 0
			if r.isLarge() {
				if err := r.memory.Keep(); err != nil { // The caller may be slow to read it.
					return nil, err
				}
			}
			return event, nil
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// buffered reports whether next can return an event without reading from the source.
func (r *eventReader) buffered() bool {
	scanned := r.scanned
	return eventLength(r.buffer[r.start:r.end], &scanned) > 0
}

// endError returns the error that ended the stream: a *PartialEventError if it
// ended within an event.
func (r *eventReader) endError() error {
	if errors.Is(r.err, io.EOF) && r.end > r.start {
		return &PartialEventError{Bytes: r.end - r.start}
	}
	return r.err
}

// fill reads once from the source. It grows the buffer if it is full.
func (r *eventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.isLarge() {
		r.memory.Allow()
	}
	if r.end == 0 && r.isLarge() {
		// A stream with one large event does not hold its memory to the end.
		r.buffer = make([]byte, eventBufferBytes)
		r.memory.LowerBody(0)
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return &EventTooLargeError{}
		}
		if err := r.memory.RaiseBody(int64(3 * len(r.buffer))); err != nil { // The old and the new buffer exist together.
			return err
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
	return nil
}

// isLarge reports whether the buffer is larger than events usually need, so that its memory may
// count against the budget.
func (r *eventReader) isLarge() bool { return len(r.buffer) > 2*eventBufferBytes }

// eventLength returns the length of the first event with its blank line, 0 if it
// is incomplete. The search starts at scanned, less the length of a line end that
// may span two reads, and sets scanned to len(b).
func eventLength(b []byte, scanned *int) int {
	from := max(*scanned-3, 0)
	*scanned = len(b)
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i + 2
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i + 3
		}
	}
	return 0
}

// eventID returns the value of the event's id field, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

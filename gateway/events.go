package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader cuts a stream into whole events, so that a caller never gets a
// part of one. The bytes of events are passed on as they are.
type eventReader struct {
	source io.Reader
	buffer []byte
	// start and end delimit what is buffered, scanned is how far it has been
	// searched for the end of an event.
	start, end, scanned int
	err                 error
	// reservation is the memory of the buffer.
	reservation *bufferReservation
}

// eventBufferBytes is the initial size of the buffer.
const eventBufferBytes = 4 << 10

func newEventReader(source io.Reader, h *bufferReservation) *eventReader {
	return &eventReader{source: source, reservation: h, buffer: make([]byte, eventBufferBytes)}
}

// PartialEventError reports a stream that ended in the middle of an event.
type PartialEventError struct{ Bytes int }

func (e *PartialEventError) Error() string {
	return fmt.Sprintf("the stream ended %d bytes into an event", e.Bytes)
}

// EventTooLargeError reports an event above the limit.
type EventTooLargeError struct{}

func (e *EventTooLargeError) Error() string {
	return "an event exceeds " + strconv.Itoa(maxEventBytes) + " bytes"
}

// next returns the next whole event with its terminating blank line. The bytes
// are valid until the next call. It returns io.EOF after the last event of a
// complete stream.
func (r *eventReader) next() ([]byte, error) {
	for {
		if n := eventLength(r.buffer[r.start:r.end], &r.scanned); n > 0 {
			event := r.buffer[r.start : r.start+n]
			r.start += n
			r.scanned = 0
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

// buffered reports whether another whole event may be returned without reading.
func (r *eventReader) buffered() bool {
	scanned := r.scanned
	return eventLength(r.buffer[r.start:r.end], &scanned) > 0
}

func (r *eventReader) endError() error {
	if errors.Is(r.err, io.EOF) && r.end > r.start {
		return &PartialEventError{Bytes: r.end - r.start}
	}
	return r.err
}

func (r *eventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventBytes {
			return &EventTooLargeError{}
		}
		if err := r.reservation.reserve(3 * len(r.buffer)); err != nil { // The old and the new buffer.
			return err
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
	return nil
}

// eventLength returns the length of the first event with its blank line, 0 if
// there is none yet. scanned is where the search may begin.
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

// eventID returns the id of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

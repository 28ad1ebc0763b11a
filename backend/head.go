package backend

import (
	"fmt"
	"net"
)

// maxHeaderBytes bounds the head of an answer, interim answers included. A server
// in trouble may send a head without end.
const maxHeaderBytes = 64 << 10

// HeaderTooLargeError reports a head that is longer than maxHeadBytes.
type HeaderTooLargeError struct{}

func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer exceeds %d bytes", maxHeaderBytes)
}

// headerLimitReader reads from a connection, and no more than maxHeadBytes between begin
// and end.
type headerLimitReader struct {
	conn      net.Conn
	limited   bool
	remaining int
}

func (l *headerLimitReader) begin() { l.limited, l.remaining = true, maxHeaderBytes }

func (l *headerLimitReader) end() { l.limited = false }

// Read implements io.Reader.
func (l *headerLimitReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.remaining == 0 {
		return 0, &HeaderTooLargeError{}
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

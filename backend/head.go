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
	conn    net.Conn
	limited bool
	left    int
}

func (l *headerLimitReader) begin() { l.limited, l.left = true, maxHeaderBytes }

func (l *headerLimitReader) end() { l.limited = false }

// Read implements io.Reader.
func (l *headerLimitReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left == 0 {
		return 0, &HeaderTooLargeError{}
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

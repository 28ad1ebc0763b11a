package backend

import (
	"fmt"
	"net"
)

// maxHeaderBytes bounds the header of a response, interim responses included. A
// faulty server may send an endless header.
const maxHeaderBytes = 64 << 10

// HeaderTooLargeError reports a response header larger than maxHeaderBytes.
type HeaderTooLargeError struct{}

func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("response header exceeds %d bytes", maxHeaderBytes)
}

// headerLimitReader reads from a connection. Between begin and end it returns at
// most maxHeaderBytes and then a *HeaderTooLargeError.
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

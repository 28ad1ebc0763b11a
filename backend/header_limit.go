package backend

import (
	"fmt"
	"net"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/membudget"
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
// most maxHeaderBytes and then a *HeaderTooLargeError, and it accounts for the memory of the
// headers that it returns.
type headerLimitReader struct {
	conn      net.Conn
	limited   bool
	remaining int
	memory    *membudget.Reservation
	scanner   httphead.Scanner
	// full is the error of the reservation. Every later Read returns it, since net/textproto
	// drops the error of a read ahead and would go on behind the bytes that are missing.
	full error
}

// begin limits and accounts for the headers of a response, interim responses included.
func (l *headerLimitReader) begin(memory *membudget.Reservation) {
	l.limited, l.remaining, l.memory, l.full = true, maxHeaderBytes, memory, nil
}

// beginHead accounts for the next header. buffered holds the bytes that were read and not used
// yet.
func (l *headerLimitReader) beginHead(buffered []byte) error {
	l.scanner = httphead.Scanner{}
	return l.account(buffered)
}

func (l *headerLimitReader) end() { l.limited, l.memory = false, nil }

// Read implements io.Reader.
func (l *headerLimitReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.full != nil {
		return 0, l.full
	}
	if l.remaining == 0 {
		return 0, &HeaderTooLargeError{}
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if l.full = l.account(p[:n]); l.full != nil {
		return 0, l.full
	}
	return n, err
}

// account reserves the memory of the part of b that belongs to the current header.
func (l *headerLimitReader) account(b []byte) error {
	bytes, lines := l.scanner.Scan(b)
	return l.memory.AddHead(int64(bytes + lines*httphead.LineBytes))
}

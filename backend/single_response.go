package backend

import (
	"net"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// FoldedLineError reports a head with a line that begins with white space. net/http joins it with
// the field before, which would be passed on with a value that is not the server's. RFC 9112, section
// 5.2, lets a gateway reject such a response.
type FoldedLineError struct{}

func (e *FoldedLineError) Error() string { return "head has a line that begins with white space" }

// singleResponseConn is a connection over which one response arrives, with interim responses before
// it. It returns a *FoldedLineError for a folded line in a head, which http.Transport does not show.
// http.Transport may report a malformed line instead.
type singleResponseConn struct {
	net.Conn
	scanner httphead.Scanner
	// folded is set once a folded line was read. Every later Read fails, since net/textproto drops the
	// error of a read ahead and would go on behind the bytes that are missing.
	folded bool
}

// Read implements net.Conn.
func (c *singleResponseConn) Read(p []byte) (int, error) {
	if c.folded {
		return 0, &FoldedLineError{}
	}
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		head, _ := c.scanner.Scan(rest)
		if c.folded = c.scanner.Folded(); c.folded {
			return 0, &FoldedLineError{}
		}
		rest = rest[head:]
		if len(rest) == 0 || !c.scanner.Interim() {
			break
		}
		c.scanner = httphead.Scanner{} // For the head after an interim one.
	}
	return n, err
}

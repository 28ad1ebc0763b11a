package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

const (
	// maxHandshakeBytes bounds what a connection sends before its peer is identified. The chain
	// of certificates is the largest part.
	maxHandshakeBytes = 64 << 10
	// maxHelloFrameBytes bounds a data frame before the peer is identified. A Hello is sent as
	// one frame.
	maxHelloFrameBytes = 2 * maxHelloBytes
	// frameHeaderBytes is the length of the header of a yamux frame. Its second byte is the type,
	// its last four are the length of the data.
	frameHeaderBytes  = 12
	frameLengthOffset = 8
	frameTypeData     = 0
)

// byteGuard is a connection that fails after maxHandshakeBytes until its peer is identified.
type byteGuard struct {
	net.Conn
	identified *atomic.Bool
	received   int
}

// Read implements net.Conn.
func (g *byteGuard) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if g.identified.Load() {
		return n, err
	}
	if g.received += n; g.received > maxHandshakeBytes {
		return 0, &ProtocolError{Reason: "too many bytes before hello"}
	}
	return n, err
}

// frameGuard is a connection that fails at a data frame of more than maxHelloFrameBytes until its
// peer is identified. yamux allocates memory for a whole frame, up to 256 KiB, when it has read
// the header.
type frameGuard struct {
	net.Conn
	identified *atomic.Bool
	header     [frameHeaderBytes]byte
	// headerBytes is the number of bytes in header, dataBytes how many of the frame follow.
	headerBytes, dataBytes int
}

// Read implements net.Conn. A peer sends nothing but its Hello until it gets one, which is sent
// after it was identified.
func (g *frameGuard) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if g.identified.Load() {
		return n, err
	}
	if tooLong := g.check(p[:n]); tooLong != nil {
		return 0, tooLong
	}
	return n, err
}

func (g *frameGuard) check(b []byte) error {
	for len(b) > 0 {
		if g.dataBytes > 0 {
			skip := min(g.dataBytes, len(b))
			g.dataBytes -= skip
			b = b[skip:]
			continue
		}
		n := copy(g.header[g.headerBytes:], b)
		g.headerBytes += n
		b = b[n:]
		if g.headerBytes < frameHeaderBytes {
			return nil
		}
		g.headerBytes = 0
		if g.header[1] != frameTypeData {
			continue
		}
		length := binary.BigEndian.Uint32(g.header[frameLengthOffset:])
		if length > maxHelloFrameBytes {
			return &ProtocolError{Reason: "too long a frame before hello"}
		}
		g.dataBytes = int(length)
	}
	return nil
}

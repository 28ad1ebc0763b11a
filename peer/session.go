package peer

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Limits of a session.
const (
	// queueMessages bounds the send queue. It holds about 1 s of grants and progress
	// batches.
	queueMessages = 512
	// maxMessageBytes bounds a message. A VM list of 13,000 entries takes about 4 MB.
	maxMessageBytes = 16 << 20
	// maxHelloBytes bounds the first message, which arrives before the peer is
	// identified.
	maxHelloBytes = 1 << 10
	// handshakeTimeout bounds the time to connect and exchange Hello messages.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is the time without messages after which a session is closed.
	idleTimeout = time.Minute
	// bufferBytes is the size of the read and write buffers.
	bufferBytes = 16 << 10
)

// session is an authenticated connection with its message stream.
type session struct {
	peer string
	// dialled is true if this VM opened the connection.
	dialled bool
	raw     net.Conn
	mux     *yamux.Session
	stream  *yamux.Stream
	reader  *bufio.Reader
	queue   chan *peerpb.Envelope
	done    chan struct{}
	once    sync.Once

	liveness liveness
}

// countingConn counts bytes on the wire, including TLS and yamux framing.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// muxConfig disables yamux's keep-alive, since heartbeats already detect dead
// sessions and two detectors could disagree.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.LogOutput = io.Discard
	c.AcceptBacklog = 1
	c.StreamOpenTimeout = handshakeTimeout
	return c
}

// newSession opens the message stream if this VM dialled, or accepts it otherwise.
func newSession(raw, conn net.Conn, dialled bool) (*session, error) {
	s := &session{raw: raw, dialled: dialled, queue: make(chan *peerpb.Envelope, queueMessages), done: make(chan struct{})}
	s.liveness.lastActivity = time.Now()
	var err error
	if dialled {
		if s.mux, err = yamux.Client(conn, muxConfig()); err == nil {
			s.stream, err = s.mux.OpenStream()
		}
	} else {
		if s.mux, err = yamux.Server(conn, muxConfig()); err == nil {
			s.stream, err = s.acceptStream()
		}
	}
	if err != nil {
		s.close()
		return nil, errors.Wrap(err, "open peer stream")
	}
	s.reader = bufio.NewReaderSize(s.stream, bufferBytes)
	return s, nil
}

func (s *session) acceptStream() (*yamux.Stream, error) {
	timer := time.AfterFunc(handshakeTimeout, s.close)
	defer timer.Stop()
	return s.mux.AcceptStream()
}

// close closes the session. The raw connection is closed first, since closing TLS
// writes an alert, which blocks on a dead connection.
func (s *session) close() {
	s.once.Do(func() {
		close(s.done)
		_ = s.raw.Close()
		if s.mux != nil {
			_ = s.mux.Close()
		}
	})
}

func (s *session) sendHello(id string) error {
	hello := &peerpb.Membership{Message: &peerpb.Membership_Hello{Hello: &peerpb.Hello{VmId: id}}}
	if _, err := protodelim.MarshalTo(s.stream, membershipEnvelope(hello)); err != nil {
		return errors.Wrap(err, "send hello")
	}
	return nil
}

func (s *session) readHello() (string, error) {
	if err := s.stream.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", errors.Wrap(err, "read hello")
	}
	var m peerpb.Envelope
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}).UnmarshalFrom(s.reader, &m); err != nil {
		return "", errors.Wrap(err, "read hello")
	}
	hello := m.GetMembership().GetHello()
	if hello == nil {
		return "", &ProtocolError{Reason: "first message is not hello"}
	}
	if err := s.stream.SetReadDeadline(time.Time{}); err != nil {
		return "", errors.Wrap(err, "read hello")
	}
	return hello.GetVmId(), nil
}

// enqueue returns false when the queue is full.
func (s *session) enqueue(m *peerpb.Envelope) bool {
	select {
	case s.queue <- m:
		return true
	default:
		return false
	}
}

// write sends queued messages until the session is closed.
func (s *session) write() {
	defer s.close()
	// Buffering coalesces the length prefix, the message and further queued messages
	// into one frame.
	w := bufio.NewWriterSize(s.stream, bufferBytes)
	for {
		select {
		case <-s.done:
			return
		case m := <-s.queue:
			s.liveness.sent(time.Now(), m.GetMembership())
			if _, err := protodelim.MarshalTo(w, m); err != nil {
				return
			}
			if len(s.queue) == 0 && w.Flush() != nil {
				return
			}
		}
	}
}

// read passes received messages to deliver until the session is closed.
func (s *session) read(deliver func(*session, *peerpb.Envelope)) {
	defer s.close()
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	for {
		m := &peerpb.Envelope{}
		if options.UnmarshalFrom(s.reader, m) != nil {
			return
		}
		s.liveness.received(time.Now(), m.GetMembership().GetHeartbeatAck() != nil)
		deliver(s, m)
	}
}

func membershipEnvelope(m *peerpb.Membership) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Membership{Membership: m}}
}

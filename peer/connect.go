package peer

import (
	"context"
	"crypto/x509"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// dial opens a session to a peer once the backoff has passed. If the attempt fails,
// pending messages are dropped, since they would be stale by the next one; the next
// Send dials again.
func (s *Sessions) dial(l *link) {
	s.mu.Lock()
	wait, address := time.Until(l.notBefore), l.address
	s.mu.Unlock()
	if wait > 0 {
		select {
		case <-s.ctx.Done():
		case <-time.After(wait):
		}
	}
	var err error
	if s.needsDial(l) {
		err = s.connect(l, address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.dialling = false
	if err == nil {
		return
	}
	l.notBefore = time.Now().Add(backoff(l.failures))
	l.failures++
	l.pending = nil
	s.opts.Log.Debug("peer_dial_failed", zap.String("peer", l.id), zap.Int("failures", l.failures), zap.Error(err))
}

// needsDial returns false if the peer has dialled this VM in the meantime or has
// left the VM list.
func (s *Sessions) needsDial(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && s.links[l.id] == l && l.current == nil
}

func (s *Sessions) connect(l *link, address string) error {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	// Aborts the handshake on timeout or when the transport is closed.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	x, err := s.openDialled(ctx, l.id, raw)
	if !stop() && err == nil {
		x.close()
		return ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return err
	}
	if !s.add(l, x) {
		x.close()
		return &UnknownPeerError{Peer: l.id}
	}
	return nil
}

func (s *Sessions) openDialled(ctx context.Context, id string, raw net.Conn) (*session, error) {
	var conn net.Conn = &countingConn{Conn: raw, sent: &s.sent, received: &s.received}
	if s.credentials != nil {
		var err error
		if conn, err = s.credentials.client(ctx, conn, id); err != nil {
			return nil, errors.Wrap(err, "peer handshake")
		}
	}
	x, err := newSession(raw, conn, true)
	if err != nil {
		return nil, err
	}
	if err := exchangeHello(x, s.opts.VM, id); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// exchangeHello sends this VM's ID and verifies the ID of the peer, since the address
// may have been reassigned to another VM.
func exchangeHello(x *session, self, want string) error {
	if err := x.sendHello(self); err != nil {
		return err
	}
	got, err := x.readHello()
	if err != nil {
		return err
	}
	if got != want {
		return &IdentityError{Want: want, Got: got}
	}
	x.peer = want
	return nil
}

// accept accepts connections until the transport is closed.
func (s *Sessions) accept() {
	for {
		raw, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			// The process may be out of file descriptors. Wait before retrying to avoid
			// a busy loop.
			time.Sleep(backoffBase)
			continue
		}
		select {
		case s.handshakes <- struct{}{}:
			s.wg.Go(func() {
				defer func() { <-s.handshakes }()
				s.handshake(raw)
			})
		default:
			_ = raw.Close()
		}
	}
}

// handshake authenticates an accepted connection and adds its session. The
// connection of a VM that is not listed is closed without a reply.
func (s *Sessions) handshake(raw net.Conn) {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	l, x, err := s.openAccepted(ctx, raw)
	if err == nil && stop() && s.add(l, x) {
		return
	}
	_ = raw.Close()
	if x != nil {
		x.close()
	}
	if s.ctx.Err() == nil {
		s.refused.Add(1)
		s.opts.Log.Debug("peer_refused", zap.String("address", raw.RemoteAddr().String()), zap.Error(err))
	}
}

func (s *Sessions) openAccepted(ctx context.Context, raw net.Conn) (*link, *session, error) {
	identified := &atomic.Bool{}
	var conn net.Conn = &countingConn{Conn: raw, sent: &s.sent, received: &s.received}
	conn = &byteGuard{Conn: conn, identified: identified}
	var cert *x509.Certificate
	if s.credentials != nil {
		var err error
		conn, err = s.credentials.server(ctx, conn, func(c *x509.Certificate) error {
			cert = c
			return s.verifyListed(c)
		})
		if err != nil {
			return nil, nil, errors.Wrap(err, "peer handshake")
		}
	}
	x, err := newSession(raw, &frameGuard{Conn: conn, identified: identified}, false)
	if err != nil {
		return nil, nil, err
	}
	id, err := x.readHello()
	if err != nil {
		return nil, x, err
	}
	if cert != nil {
		if err := verifyName(cert, id); err != nil {
			return nil, x, err
		}
	}
	l := s.link(id)
	if l == nil {
		return nil, x, &UnknownPeerError{Peer: id}
	}
	x.peer = id
	identified.Store(true)
	return l, x, x.sendHello(s.opts.VM)
}

func (s *Sessions) link(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[id]
}

// verifyListed rejects a valid certificate that names no listed VM. It runs during
// the TLS handshake, before any message is sent.
func (s *Sessions) verifyListed(cert *x509.Certificate) error {
	for _, name := range certificateNames(cert) {
		if s.link(name) != nil {
			return nil
		}
	}
	return &UnknownPeerError{Peer: cert.Subject.CommonName}
}

package peer

import (
	"context"
	"crypto/x509"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// dial opens one session to a peer after the backoff. Messages that waited for
// a failed attempt are dropped, since they are stale; the next Send tries again.
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

// needsDial is false when the peer has dialled in the meantime or has left.
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
	// Ends the handshake when the transport closes.
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

// exchangeHello introduces this VM and checks that the right one answers: an address
// may have been given to another VM.
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

// accept takes connections until the listener closes.
func (s *Sessions) accept() {
	for {
		raw, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			// Out of file descriptors, for example. Retry without spinning.
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

// handshake authenticates a connection. A VM that is not listed gets no answer.
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
	var conn net.Conn = &countingConn{Conn: raw, sent: &s.sent, received: &s.received}
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
	x, err := newSession(raw, conn, false)
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
	return l, x, x.sendHello(s.opts.VM)
}

func (s *Sessions) link(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[id]
}

// verifyListed refuses a valid certificate that names no listed VM, before
// anything is sent over the session.
func (s *Sessions) verifyListed(cert *x509.Certificate) error {
	for _, name := range certificateNames(cert) {
		if s.link(name) != nil {
			return nil
		}
	}
	return &UnknownPeerError{Peer: cert.Subject.CommonName}
}

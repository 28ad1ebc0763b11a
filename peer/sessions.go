package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Limits of the transport.
const (
	// pendingMessages bounds messages queued while a session to a peer is opened.
	pendingMessages = 64
	// maxHandshakes bounds accepted connections that are not authenticated yet.
	maxHandshakes = 64
)

// Options configure Sessions.
type Options struct {
	// VM is the ID of this VM.
	VM string
	// Listen is the address to listen on, as IP:port.
	Listen string
	// TLS enables mutual authentication if CAFile is set.
	TLS config.TLS
	// HeartbeatInterval is the interval between liveness checks of the sessions.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without acknowledgement after which a session is replaced.
	SuspectAfter time.Duration
	// Handler receives all messages except Hello.
	Handler Handler
	// Probe returns the heartbeat that is sent to check a session on which other
	// messages were sent.
	Probe func() *peerpb.Heartbeat
	// Ack returns the acknowledgement of a heartbeat.
	Ack func(from string, h *peerpb.Heartbeat) *peerpb.HeartbeatAck
	Log *zap.Logger
}

// Stats holds the counters of the transport.
type Stats struct {
	// BytesSent and BytesReceived count bytes on the wire.
	BytesSent, BytesReceived int64
	// Opened counts opened sessions. Replaced counts sessions closed for lack of
	// acknowledgements.
	Opened, Replaced int64
	// Refused counts rejected connections, whose VM is unlisted or not authenticated.
	Refused int64
}

// Sessions implements Transport over yamux sessions.
type Sessions struct {
	opts        Options
	credentials *credentials
	listener    net.Listener
	handshakes  chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	sent, received, opened, replaced, refused atomic.Int64

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// link holds the sessions and the dial state of a listed peer. It is guarded by
// Sessions.mu.
type link struct {
	id, address string
	// current is the session that Send uses, or nil.
	current  *session
	sessions []*session
	pending  []*peerpb.Envelope
	dialling bool
	// failures counts consecutive failed dials; no dial starts before notBefore.
	failures  int
	notBefore time.Time
}

// Listen loads the certificates and opens the listener. It returns a
// *CertificateError if a certificate file cannot be loaded.
func Listen(o Options) (*Sessions, error) {
	cred, err := loadCredentials(o.TLS)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Sessions{
		opts: o, credentials: cred, listener: l, handshakes: make(chan struct{}, maxHandshakes),
		ctx: ctx, cancel: cancel, links: map[string]*link{},
	}, nil
}

// Addr returns the listen address, as IP:port.
func (s *Sessions) Addr() string { return s.listener.Addr().String() }

// Stats returns the counters.
func (s *Sessions) Stats() Stats {
	return Stats{
		BytesSent: s.sent.Load(), BytesReceived: s.received.Load(),
		Opened: s.opened.Load(), Replaced: s.replaced.Load(), Refused: s.refused.Load(),
	}
}

// Run accepts and checks sessions until ctx is cancelled, then calls Close.
func (s *Sessions) Run(ctx context.Context) {
	s.wg.Go(s.accept)
	s.wg.Go(s.checkSessions)
	<-ctx.Done()
	s.Close()
}

// Close closes the listener and all sessions and waits for their goroutines.
func (s *Sessions) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, l := range s.links {
		closeAll(l.sessions)
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func closeAll(sessions []*session) {
	for _, x := range sessions {
		x.close()
	}
}

// SetVMs replaces the VMs that may exchange messages with this one. It closes the
// sessions of VMs that are no longer listed or whose address has changed.
func (s *Sessions) SetVMs(vms []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != vmlist.RoleEntry || vm.ID == s.opts.VM || vm.PeerAddress == "" {
			continue
		}
		listed[vm.ID] = true
		l := s.links[vm.ID]
		if l != nil && l.address == vm.PeerAddress {
			continue
		}
		if l != nil {
			closeAll(l.sessions)
		}
		s.links[vm.ID] = &link{id: vm.ID, address: vm.PeerAddress}
	}
	for id, l := range s.links {
		if !listed[id] {
			closeAll(l.sessions)
			delete(s.links, id)
		}
	}
}

// Send implements Transport. If there is no session to the peer, it queues the
// message and dials.
func (s *Sessions) Send(to string, m *peerpb.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[to]
	if l == nil || s.closed {
		return &UnknownPeerError{Peer: to}
	}
	if l.current != nil {
		if !l.current.enqueue(m) {
			return &QueueFullError{Peer: to}
		}
		return nil
	}
	if len(l.pending) >= pendingMessages {
		return &QueueFullError{Peer: to}
	}
	l.pending = append(l.pending, m)
	if !l.dialling {
		l.dialling = true
		s.wg.Go(func() { s.dial(l) })
	}
	return nil
}

// add adds a new session and starts its goroutines. It returns false if the transport
// is closed, or if the peer has left the list or changed its address in the meantime.
func (s *Sessions) add(l *link, x *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.links[l.id] != l {
		return false
	}
	// A VM dials only if it has no working session. An older session dialled by the
	// same side is therefore dead, even if this side has not detected it yet.
	for _, y := range l.sessions {
		if y.dialled == x.dialled {
			y.close()
			if l.current == y {
				l.current = nil
			}
		}
	}
	l.sessions = append(l.sessions, x)
	l.failures, l.notBefore = 0, time.Time{}
	if l.current == nil {
		l.setCurrent(x)
	}
	s.opened.Add(1)
	s.wg.Go(x.write)
	s.wg.Go(func() {
		x.read(s.deliver)
		s.remove(l, x)
	})
	return true
}

// setCurrent makes a session the current one and queues the pending messages on it.
func (l *link) setCurrent(x *session) {
	l.current = x
	for _, m := range l.pending {
		x.enqueue(m)
	}
	l.pending = nil
}

func (s *Sessions) remove(l *link, x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.sessions = slices.DeleteFunc(l.sessions, func(y *session) bool { return y == x })
	if l.current != x {
		return
	}
	l.current = nil
	if n := len(l.sessions); n > 0 { // The last one is the newest.
		l.setCurrent(l.sessions[n-1])
	}
}

// deliver acknowledges heartbeats on the session on which they arrived and passes
// messages to the handler.
func (s *Sessions) deliver(x *session, m *peerpb.Envelope) {
	if h := m.GetMembership().GetHeartbeat(); h != nil {
		ack := s.opts.Ack(x.peer, h)
		ack.Sequence = h.GetSequence()
		x.enqueue(membershipEnvelope(&peerpb.Membership{Message: &peerpb.Membership_HeartbeatAck{HeartbeatAck: ack}}))
	}
	if m.GetBody() != nil && m.GetMembership().GetHello() == nil {
		s.opts.Handler(x.peer, m)
	}
}

// checkSessions periodically probes sessions and closes dead and idle ones.
func (s *Sessions) checkSessions() {
	ticker := time.NewTicker(s.opts.HeartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		paused := max(0, now.Sub(last)-2*s.opts.HeartbeatInterval)
		last = now
		for _, x := range s.allSessions() {
			s.check(x, now, paused)
		}
	}
}

func (s *Sessions) check(x *session, now time.Time, paused time.Duration) {
	switch x.liveness.check(now, s.opts.SuspectAfter, paused) {
	case checkDead:
		s.replaced.Add(1)
		s.opts.Log.Warn("peer_session_dead", zap.String("peer", x.peer))
		x.close()
	case checkIdle:
		x.close()
	case checkProbe:
		x.enqueue(membershipEnvelope(&peerpb.Membership{Message: &peerpb.Membership_Heartbeat{Heartbeat: s.opts.Probe()}}))
	case checkOK:
	}
}

func (s *Sessions) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*session
	for _, l := range s.links {
		all = append(all, l.sessions...)
	}
	return all
}

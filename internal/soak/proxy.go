package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/freeport"
)

// linkFault is a network fault that a proxy applies to its connections.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkDelayed delays each chunk by linkDelay.
	linkDelayed
	// linkReset closes open connections and rejects new ones.
	linkReset
	// linkSilent discards bytes in both directions.
	linkSilent
	// linkOneWay forwards requests and discards responses.
	linkOneWay
	linkFaultCount
)

func (f linkFault) String() string {
	return [linkFaultCount]string{"sound", "delayed", "reset", "silent", "one-way"}[f]
}

// linkDelay is the delay per chunk of linkDelayed.
const linkDelay = 120 * time.Millisecond

// chunkBytes is the maximum size of a forwarded chunk.
const chunkBytes = 16 << 10

// closeLog records when clients closed their connections, by the address from which their
// proxy forwarded them. It is safe for concurrent use.
type closeLog struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// record records that the connection from an address was closed. A nil log records
// nothing.
func (l *closeLog) record(address string) {
	if l == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string][]time.Time{}
	}
	l.at[address] = append(l.at[address], now)
}

// firstAfter returns the first time after begin at which the connection from an address
// was closed, or the zero time.
func (l *closeLog) firstAfter(address string, begin time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.at[address] {
		if at.After(begin) {
			return at
		}
	}
	return time.Time{}
}

// proxy forwards loopback connections to one target and injects network faults.
type proxy struct {
	listens, target string
	// closes records when the clients close their connections, if it is not nil.
	closes *closeLog

	mu       sync.Mutex
	listener net.Listener
	fault    linkFault
	conns    map[net.Conn]struct{}
}

func newProxy(target string, closes *closeLog) (*proxy, error) {
	l, err := freeport.Listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listens: l.Addr().String(), target: target, closes: closes, listener: l, conns: map[net.Conn]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listens }

// listen listens again after refuse.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.listens)
	if err != nil {
		return errors.Wrap(err, "listen as proxy")
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// refuse closes all connections, and refuses new ones until listen is called, as a host
// does whose process has crashed.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.closeAll()
}

// setFault activates a fault. A silent or one-way link has lost bytes, so its
// connections are closed when the fault ends.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lossy := p.fault == linkSilent || p.fault == linkOneWay
	p.fault = f
	if f == linkReset || lossy {
		p.closeAll()
	}
}

// closeAll closes all open connections. The caller must hold p.mu.
func (p *proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.refuse()
	freeport.Release(p.listens)
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(from net.Conn) {
	if !p.track(from) {
		return
	}
	defer p.untrack(from)
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.track(to) {
		return
	}
	defer p.untrack(to)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if p.relay(to, from, true) {
			p.closes.record(to.LocalAddr().String())
		}
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	p.relay(from, to, false)
	_ = from.Close()
	<-done
}

// track registers a connection, or closes it and returns false if the link is
// reset.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == linkReset {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *proxy) untrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// relay forwards bytes until either side fails or closes. It returns true if that was the
// side from which it reads.
func (p *proxy) relay(to io.Writer, from io.Reader, request bool) (closed bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forwardChunk(to, buffer[:n], request) {
			return false
		}
		if err != nil {
			return true
		}
	}
}

// forwardChunk forwards one chunk subject to the active fault. It returns false
// if the write fails.
func (p *proxy) forwardChunk(to io.Writer, chunk []byte, request bool) bool {
	switch p.currentFault() {
	case linkSilent:
		return true
	case linkOneWay:
		if !request {
			return true
		}
	case linkDelayed:
		time.Sleep(linkDelay)
	case linkHealthy, linkReset, linkFaultCount:
	}
	_, err := to.Write(chunk)
	return err == nil
}

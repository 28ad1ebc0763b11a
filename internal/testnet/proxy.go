// Package testnet provides network faults and certificates for tests.
package testnet

import (
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Proxy forwards TCP connections to a target. It can stop forwarding without
// closing them, as a network that drops packets does.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
	stall chan struct{}
	wg    sync.WaitGroup
}

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, listener: l, stall: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address of the proxy as IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Stall stops forwarding on all open connections. New connections are forwarded.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stall)
	p.stall = make(chan struct{})
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		stall := p.stall
		p.mu.Unlock()
		p.wg.Go(func() { forward(out, in, stall) })
		p.wg.Go(func() { forward(in, out, stall) })
	}
}

// forward copies bytes until an error occurs. After a stall it reads and discards
// them, so that the sender sees no error.
func forward(dst, src net.Conn, stall chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-stall:
			_, _ = io.Copy(io.Discard, src)
			return
		default:
		}
		if err != nil {
			_ = dst.Close()
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			_ = src.Close()
			return
		}
	}
}

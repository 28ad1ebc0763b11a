package testnet

import "net"

// HeldListener delays reads of its connections until Held is closed, as on a machine on which the
// goroutine of a connection does not run.
type HeldListener struct {
	net.Listener
	Held chan struct{}
}

// Accept implements net.Listener.
func (l HeldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{c, l.Held}, nil
}

type heldConn struct {
	net.Conn
	held chan struct{}
}

// Read implements net.Conn.
func (c heldConn) Read(p []byte) (int, error) {
	<-c.held
	return c.Conn.Read(p)
}

// NetConn returns the connection that c wraps.
func (c heldConn) NetConn() net.Conn { return c.Conn }

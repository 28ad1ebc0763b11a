// Package peer transports messages between entry VMs over yamux sessions.
//
// Each session has one long-lived stream of length-delimited protobuf messages. A
// VM sends to a peer on one session at a time, so messages arrive in order while
// that session lasts. Sessions are bidirectional, whichever side dialled: when two
// VMs dial each other simultaneously, both sessions stay open and each VM sends on
// the one that it established first.
package peer

import (
	"fmt"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Handler handles a received message. It is called from a session's goroutine and
// must not block; it changes control state by posting to the control loop.
type Handler func(from string, m *peerpb.Envelope)

// Transport sends one-way messages to other entry VMs. Delivery is best effort, and
// in order per peer as long as its session lasts.
type Transport interface {
	// Send queues a message, which must not be modified afterwards. It returns an
	// *UnknownPeerError or a *QueueFullError.
	Send(to string, m *peerpb.Envelope) error
}

// UnknownPeerError reports a VM that is not in the VM list.
type UnknownPeerError struct{ Peer string }

func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("peer %s is not in the VM list", e.Peer)
}

// QueueFullError reports a peer whose send queue is full.
type QueueFullError struct{ Peer string }

func (e *QueueFullError) Error() string { return fmt.Sprintf("send queue of peer %s is full", e.Peer) }

// IdentityError reports a peer whose ID is not the expected one.
type IdentityError struct{ Want, Got string }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer identifies as %q, want %q", e.Got, e.Want)
}

// ProtocolError reports a peer that violates the session protocol.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "peer protocol: " + e.Reason }

// CertificateError reports a certificate file that cannot be loaded.
type CertificateError struct {
	File  string
	Cause error
}

func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.File, e.Cause)
}

func (e *CertificateError) Unwrap() error { return e.Cause }

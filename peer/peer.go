// Package peer carries messages between entry VMs over yamux sessions.
//
// Each session has one long-lived stream with length-delimited protobuf
// messages. A VM sends to a peer on one session at a time, so messages arrive
// in order while that session lasts. Either side may use a session, whoever
// dialled it: when two VMs dial each other at once, both sessions stay open
// and each VM keeps to the one that it had first.
package peer

import (
	"fmt"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Handler receives a message. It runs on a session's goroutine and must not
// block; control state is changed by posting to the control loop.
type Handler func(from string, m *peerpb.Envelope)

// Transport sends one-way messages to other entry VMs. Delivery is best effort
// and in order for each peer while its session lasts.
type Transport interface {
	// Send queues a message, which must not be changed afterwards. Errors are
	// *UnknownPeerError, *QueueFullError.
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

// IdentityError reports a peer that is not the VM that it should be.
type IdentityError struct{ Want, Got string }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer identifies as %q, want %q", e.Got, e.Want)
}

// ProtocolError reports a session that does not follow the protocol.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "peer protocol: " + e.Reason }

// CertificateError reports certificate files that cannot be used.
type CertificateError struct {
	File  string
	Cause error
}

func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.File, e.Cause)
}

func (e *CertificateError) Unwrap() error { return e.Cause }

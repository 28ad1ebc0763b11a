// Package peer carries messages between entry VMs over yamux sessions.
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
	// Send queues a message. Errors are *UnknownPeerError, *QueueFullError.
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

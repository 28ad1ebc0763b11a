// Package streamorigin keeps, in the platform's store, the software version at which each
// resumable stream began, so that any VM that a caller takes the stream up at finds it, also
// after all VMs were killed at once.
//
// A record is written in the background from the moment at which the request is sent to a server,
// and is removed by the end of its lease. Without a record the version is unknown, unless the registry
// of versions tells it (see Tracker). An unknown version is not the same as any version: the stream must
// not go on then.
//
// # Why a record is never wrong
//
// A write without an answer may be executed seconds later, and the store may come back from a copy
// without the latest writes. So:
//
//   - Writes only add keys. Each origin that a request had before its first event has a key of its
//     own, with a number that rises. The latest counts, so writes may be executed in any order. An
//     earlier key is not deleted: when a request goes from one version to another and back, a late
//     delete would remove the origin that counts.
//   - Once a write of an origin was begun, another version may pass events on only after its own
//     record is acknowledged (Record.Settled). Else all VMs may be killed while the store holds the
//     earlier one alone.
//   - A record names the era of the store in which it was written, and whether the stream's first
//     event was passed on. Before that it counts in its era only: in a later one the record of the
//     next origin may be lost. Records of streams in progress are written again when the era rises.
//
// This holds as long as the id of a request is used once. Records of two requests with the same id
// and different versions are an *AmbiguousError if both were stored.
//
// # Copies at other VMs
//
// Two other VMs keep a copy in memory, by rendezvous of the request id, so that streams are taken up
// while the store is away. A copy is sent once the first event was passed on, when the origin is
// final, so a late or repeated message is never wrong. VMs are asked when the store is silent, fails
// or knows nothing.
//
// # Memory
//
// Records holds at most maxRecords records, of which at most maxWaiting wait for their first write,
// and maxCopies copies for other VMs. Both together take less than 16 MiB.
package streamorigin

import (
	"fmt"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Origin is where a stream began.
type Origin struct {
	// Version is the software version of the server, "" if it is not known.
	Version vmlist.SoftwareVersion
	// Server is the id of the server, and Incarnation that of its start, 0 if it is not known.
	Server      string
	Incarnation int64
}

// UnknownError reports that no record tells at which version a stream began.
type UnknownError struct {
	Request string
	// Recorded is set if the stream has records, none of which counts. The registry of versions says
	// nothing of it then.
	Recorded bool
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("streamorigin: the version at which request %q began is not known", e.Request)
}

// AmbiguousError reports that the records of a stream contradict each other or can't be read. The
// stream may go on at no version.
type AmbiguousError struct {
	Request string
	// Reason says what is wrong with the records.
	Reason string
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("streamorigin: the version at which request %q began is ambiguous: %s", e.Request, e.Reason)
}

// UnavailableError reports that the store could not be read.
type UnavailableError struct {
	Request string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("streamorigin: the version at which request %q began could not be read: %v", e.Request, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

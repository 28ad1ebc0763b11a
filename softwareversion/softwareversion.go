// Package softwareversion decides at which backend servers a stream may go on.
//
// Servers of several software versions may serve side by side. What two versions write does not fit
// together, and servers do not check it, so a stream goes on only at the version that began it. A
// stream begins with its first event that the caller gets: an attempt before that binds nothing.
// Where the version is not known, no server may go on with the stream.
package softwareversion

import (
	"fmt"
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// MismatchError reports that a server has another software version than the one that must go on.
type MismatchError struct {
	Backend string
	Want    vmlist.SoftwareVersion
	// Got is "" if the version of the server is not known.
	Got vmlist.SoftwareVersion
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("backend %s has software version %q, the stream began at %q", e.Backend, e.Got, e.Want)
}

// UnknownError reports that the software version that began a stream is not known.
type UnknownError struct{}

func (e *UnknownError) Error() string {
	return "the software version that began the stream is not known"
}

// NotInServiceError reports that no live server has the software version that began a stream.
type NotInServiceError struct{ Version vmlist.SoftwareVersion }

func (e *NotInServiceError) Error() string {
	return fmt.Sprintf("no server of software version %q, which began the stream, is in service", e.Version)
}

// Binding is the software version that a stream is bound to. The zero value is that of a stream
// that has not begun. It is safe for concurrent use.
type Binding struct {
	version atomic.Pointer[vmlist.SoftwareVersion]
}

// Begin binds a stream that has not begun to a version, "" if it is not known.
func (b *Binding) Begin(v vmlist.SoftwareVersion) { b.version.CompareAndSwap(nil, &v) }

// Version returns the version that began the stream. begun is false if none has.
func (b *Binding) Version() (v vmlist.SoftwareVersion, begun bool) {
	if p := b.version.Load(); p != nil {
		return *p, true
	}
	return "", false
}

// Check returns nil if a server may run the rest of the stream, and an *UnknownError or a
// *MismatchError otherwise.
func (b *Binding) Check(server vmlist.VM) error {
	version, begun := b.Version()
	if !begun {
		return nil
	}
	return check(server, version)
}

// CheckCopy returns nil if a server may hold a copy of a run at another server, from which the run
// is to go on, and an *UnknownError or a *MismatchError otherwise.
func CheckCopy(source, server vmlist.VM) error { return check(server, source.SoftwareVersion) }

func check(server vmlist.VM, want vmlist.SoftwareVersion) error {
	if want == "" {
		return &UnknownError{}
	}
	if !server.SoftwareVersion.Is(want) {
		return &MismatchError{Backend: server.ID, Want: want, Got: server.SoftwareVersion}
	}
	return nil
}

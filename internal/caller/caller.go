// Package caller ties attempts of a request to its caller. A caller that has disconnected
// waits for no answer, so nothing is sent for it any more. A request that must not be
// repeated goes on without its caller, but only once it is sent.
package caller

import (
	"context"

	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// LeftError reports that a request was not sent since its caller has disconnected.
type LeftError struct{}

func (e *LeftError) Error() string { return "the caller has disconnected" }

// FollowUntilSent returns a context for one attempt. It ends with ctx, and when the caller
// disconnects before sent is called. sent must be called right before the first byte is sent. It
// returns a *LeftError if the caller has disconnected. request is the context of the request
// of the caller.
//
// The connection itself is checked as well. A VM that is short of processor time may read a
// request after the caller has closed the connection, and then sends it without a wait in
// which http.Server would notice.
func FollowUntilSent(ctx, request context.Context) (attempt context.Context, sent func() error) {
	attempt, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(request, func() { cancel(&LeftError{}) })
	return attempt, func() error {
		if !stop() || listen.PeerClosed(request) {
			return &LeftError{}
		}
		return nil
	}
}

package hedge

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// LostError is the cause by which the context of an attempt ends after the other one was
// answered.
type LostError struct{}

func (e *LostError) Error() string { return "another attempt at the request was answered first" }

// Lost reports whether the attempt with the given context was ended since the other one was
// answered.
func Lost(ctx context.Context) bool {
	_, lost := errors.Into[*LostError](context.Cause(ctx))
	return lost
}

// Attempt sends a request to one server. answered is set if the result needs no other attempt.
type Attempt[T any] func(ctx context.Context) (result T, answered bool)

// Outcome holds the results of the attempts at a request.
type Outcome[T any] struct {
	First, Second T
	// Hedged is set if there was a second attempt, SecondWon if it was answered first.
	Hedged, SecondWon bool
}

// Race makes the first attempt. If it has not ended after the delay, Race calls next, and makes
// the attempt that next returns as well, unless that is nil. The attempt that is answered first
// ends the other one. Race returns when both have ended.
func Race[T any](ctx context.Context, delay time.Duration, first Attempt[T], next func() Attempt[T]) Outcome[T] {
	var out Outcome[T]
	a := start(ctx, first)
	defer a.cancel(nil)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-a.ended:
		out.First = a.result
		return out
	case <-timer.C:
	}
	second := next()
	if second == nil {
		<-a.ended
		out.First = a.result
		return out
	}
	b := start(ctx, second)
	defer b.cancel(nil)
	select {
	case <-a.ended:
		a.supersede(b)
	case <-b.ended:
		out.SecondWon = b.answered
		b.supersede(a)
	}
	<-a.ended
	<-b.ended
	if !a.answered && b.answered {
		out.SecondWon = true
	}
	out.First, out.Second, out.Hedged = a.result, b.result, true
	return out
}

// running is an attempt in progress. result and answered are set once ended is closed.
type running[T any] struct {
	cancel   context.CancelCauseFunc
	ended    chan struct{}
	result   T
	answered bool
}

func start[T any](ctx context.Context, attempt Attempt[T]) *running[T] {
	r := &running[T]{ended: make(chan struct{})}
	ctx, r.cancel = context.WithCancelCause(ctx)
	go func() {
		defer close(r.ended)
		r.result, r.answered = attempt(ctx)
	}()
	return r
}

// supersede ends another attempt if this one was answered.
func (r *running[T]) supersede(other *running[T]) {
	if r.answered {
		other.cancel(&LostError{})
	}
}

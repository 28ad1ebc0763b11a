// Package order gives orders to backend servers: load a model, an adapter or a
// version, change the role.
//
// An order is given under a lease, order/lease/<backend>, with a fencing token
// from the counter order/fence/<backend>. The counter is not attached to the
// lease, so it rises for ever. Orders are idempotent by id.
//
// A backend server that checks fencing tokens refuses an order with a token
// below the highest one it has seen, so a holder that wakes up after its lease
// lapsed has no effect once its successor has given an order.
//
// A backend server that ignores tokens is protected by time alone. A holder
// counts its lease from a clock read before the lease call, sends nothing when
// too little of the lease remains, and ends each call with the lease. A new
// holder waits for the previous lease time plus the maximum in-flight time,
// unless its predecessor recorded that all of its orders were answered.
//
// Remaining risk for a backend server that ignores tokens: the check of the
// lease and the arrival of the order are two moments. An order takes effect
// late, possibly after one of the next holder, if its sender is paused between
// the two, or if the network holds it back, for longer than the lease time plus
// the maximum in-flight time. The same holds if the clock of the sender stands
// still while its VM is suspended; the wall clock is read as well, which covers
// a suspension after which the wall clock is corrected at once.
//
// Loads draw on a weight store with a limited rate. Each holds one of the slots
// order/slots/<n>, attached to the lease of its holder, so the slot of a dead
// operator becomes free with the lease. A load counts until its backend server
// answers the order, so it must end within the lease time. If the result is
// unknown, the slot stays taken for the lease time and the maximum in-flight
// time; a load that runs for longer is no longer counted.
package order

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Kind says what an order makes a backend server do.
type Kind string

// Kinds of orders.
const (
	KindLoadModel   Kind = "load_model"
	KindLoadAdapter Kind = "load_adapter"
	KindLoadVersion Kind = "load_version"
	KindChangeRole  Kind = "change_role"
)

// Order is the body of POST /orders.
type Order struct {
	// ID makes the order idempotent: a backend server applies each id once.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Model names the model of the three load orders.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// NewID returns the id of a new order.
func NewID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "order id")
	}
	return id.String(), nil
}

// Validate returns an *InvalidError if a field is missing.
func (o Order) Validate() error {
	required := map[Kind][]string{
		KindLoadModel: {o.Model}, KindLoadAdapter: {o.Model, o.Adapter},
		KindLoadVersion: {o.Model, o.Version}, KindChangeRole: {o.Role},
	}
	fields, ok := required[o.Kind]
	if !ok || o.ID == "" || slices.Contains(fields, "") {
		return &InvalidError{Order: o}
	}
	return nil
}

// InvalidError reports an order without a field that its kind requires.
type InvalidError struct{ Order Order }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("order %q of kind %q lacks a field or has an unknown kind", e.Order.ID, e.Order.Kind)
}

// LeaseHeldError reports that another operator holds the lease of a backend server.
type LeaseHeldError struct {
	Backend  string
	Operator string
}

func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("orders to %s are in the hands of %q", e.Backend, e.Operator)
}

// UnavailableError reports that no lease could be established. No order was sent.
type UnavailableError struct {
	Backend string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("lease of %s not established: %v", e.Backend, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// LeaseExpiringError reports that too little of the lease remained. The order was not sent.
type LeaseExpiringError struct {
	Backend   string
	Remaining time.Duration
}

func (e *LeaseExpiringError) Error() string {
	return fmt.Sprintf("order not sent to %s: %s of the lease remain", e.Backend, e.Remaining)
}

// StaleTokenError reports that a backend server refused an order because it
// has seen a higher fencing token. The order had no effect.
type StaleTokenError struct {
	Backend string
	Token   int64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("%s refused fencing token %d as old", e.Backend, e.Token)
}

// RejectedError reports that a backend server refused an order, which had no effect.
type RejectedError struct {
	Backend string
	Status  int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s refused the order with status %d", e.Backend, e.Status)
}

// NotSentError reports that no byte of the order left for the backend server.
type NotSentError struct {
	Backend string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("order not sent to %s: %v", e.Backend, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// UncertainError reports an order that may have taken effect. It can be
// repeated under the same id.
type UncertainError struct {
	Backend string
	Order   string
	Cause   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("order %s to %s has an unknown result: %v", e.Order, e.Backend, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

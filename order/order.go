// Package order sends orders to backend servers: load a model, an adapter or a
// version, or change the role.
//
// An order is sent under a lease, order/lease/<backend>, with a fencing token
// from the counter order/fence/<backend>. The counter is not attached to the
// lease, so it only ever increases. Orders are idempotent by id.
//
// A backend server that checks fencing tokens rejects an order whose token is
// below the highest one it has seen. A holder that resumes after its lease
// expired therefore has no effect once its successor has sent an order.
//
// For a backend server that ignores tokens, only timing separates the holders.
// A holder measures its lease from a clock reading taken before the lease call,
// sends nothing when too little of the lease remains, and limits each call to
// the remaining lease. A new holder waits for the previous lease time plus the
// maximum in-flight time, unless its predecessor recorded that all of its
// orders were answered.
//
// Remaining risk for a backend server that ignores tokens: the lease check and
// the arrival of the order are not atomic. An order takes effect late, possibly
// after one from the next holder, if its sender is paused between the two or
// the network delays it for longer than the lease time plus the maximum
// in-flight time. The same happens if the sender's clock stops while its VM is
// suspended. The wall clock is read as well, which covers a suspension after
// which the wall clock is corrected immediately.
//
// Loads read from a weight store with limited bandwidth. Each load holds one of
// the slots order/slots/<n>, attached to the lease of its holder, so the slot of
// a crashed operator is freed when the lease expires. A load is counted until
// its backend server responds to the order, so it must finish within the lease
// time. If the result is unknown, the slot stays taken for the lease time plus
// the maximum in-flight time; a load that runs longer is no longer counted.
package order

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Kind is the operation that an order requests.
type Kind string

// Supported kinds of orders.
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

// Validate returns an *InvalidError if the kind is unknown or a required field
// is missing.
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

// InvalidError reports an order of an unknown kind or without a required field.
type InvalidError struct{ Order Order }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("order %q of kind %q: unknown kind or missing field", e.Order.ID, e.Order.Kind)
}

// LeaseHeldError reports that another operator holds the lease of a backend server.
type LeaseHeldError struct {
	Backend  string
	Operator string
}

func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease for orders to %s is held by %q", e.Backend, e.Operator)
}

// UnavailableError reports that the lease could not be acquired. No order was sent.
type UnavailableError struct {
	Backend string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("acquire lease for orders to %s: %v", e.Backend, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// LeaseExpiringError reports that the remaining lease time was too short. The
// order was not sent.
type LeaseExpiringError struct {
	Backend   string
	Remaining time.Duration
}

func (e *LeaseExpiringError) Error() string {
	return fmt.Sprintf("order not sent to %s: only %s of the lease left", e.Backend, e.Remaining)
}

// StaleTokenError reports that a backend server rejected an order because it
// has seen a higher fencing token. The order had no effect.
type StaleTokenError struct {
	Backend string
	Token   int64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("%s rejected fencing token %d as stale", e.Backend, e.Token)
}

// RejectedError reports that a backend server rejected an order, which had no effect.
type RejectedError struct {
	Backend string
	Status  int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s rejected the order with status %d", e.Backend, e.Status)
}

// NotSentError reports that the request failed before a connection was
// established, so no byte of the order was sent.
type NotSentError struct {
	Backend string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("order not sent to %s: %v", e.Backend, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// UncertainError reports an order that may have taken effect. It is safe to
// retry it with the same id.
type UncertainError struct {
	Backend string
	Order   string
	Cause   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("order %s to %s has an unknown result: %v", e.Order, e.Backend, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// Package claim makes non-repeatable calls run at most once. A claim is
// created in the key-value service before a call is sent, and is never taken
// over while its holder may have sent the call.
package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// State of a claim.
type State string

// States of claims.
const (
	// StateStarted means that the call may have been sent.
	StateStarted State = "started"
	// StateCompleted means that the result is recorded.
	StateCompleted State = "completed"
	// StateAbandoned means that the holder is certain that it sent nothing and
	// never will. A retry may replace the claim.
	StateAbandoned State = "abandoned"
)

// MaxRecordedBody bounds the recorded body of a result in bytes. A larger body
// is dropped and only the status is kept, since values are at most 1 MB.
const MaxRecordedBody = 256 << 10

// Result is the recorded answer of a completed call.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped says that the body was too large to record.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is the value of a claim.
type Record struct {
	// Operation identifies the attempt that holds the claim.
	Operation string `json:"operation"`
	VM        string `json:"vm"`
	State     State  `json:"state"`
	// Fingerprint is the digest of route and body. A key reused for another
	// request does not match.
	Fingerprint string    `json:"fingerprint"`
	Created     time.Time `json:"created"`
	Result      *Result   `json:"result,omitempty"`
}

func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return value, nil
}

func decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode claim")
	}
	return r, nil
}

// InvalidKeyError reports an idempotency key that is not a version 7 UUID, or
// one whose time lies too far in the future.
type InvalidKeyError struct{ Reason string }

func (e *InvalidKeyError) Error() string { return "invalid idempotency key: " + e.Reason }

// ExpiredKeyError reports a key older than the retention time. The call may
// have run under a claim that is gone.
type ExpiredKeyError struct{ Age time.Duration }

func (e *ExpiredKeyError) Error() string {
	return fmt.Sprintf("idempotency key is %s old, past the retention time", e.Age.Round(time.Second))
}

// UnavailableError reports that no claim could be established. The call was
// not sent and will not be sent under this attempt.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("claim not established: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// ExistsError reports a claim of an earlier attempt.
type ExistsError struct{ Record Record }

func (e *ExistsError) Error() string {
	return fmt.Sprintf("claim is %s by %s", e.Record.State, e.Record.VM)
}

func (e *ExistsError) replaceableBy(c *Claim) bool {
	return e.Record.State == StateAbandoned && e.Record.Fingerprint == c.record.Fingerprint
}

// ContendedError reports an abandoned claim that could not be replaced.
type ContendedError struct{ Holder string }

func (e *ContendedError) Error() string {
	return fmt.Sprintf("claim abandoned by %s could not be replaced", e.Holder)
}

// MismatchError reports a key that was used for another request.
type MismatchError struct{}

func (e *MismatchError) Error() string { return "idempotency key was used for another request" }

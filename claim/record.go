// Package claim makes non-repeatable calls run at most once. A claim is created in
// the key-value service before a call is sent. It is never replaced while its holder
// may have sent the call.
//
// # Removal
//
// A claim is attached to a lease that is never renewed. A VM attaches its new claims
// to one lease for a rotation period P, then requests another. With retention R and
// clock tolerance T, the TTL of a lease is R + P + T from its grant. Removal must
// never allow a second run. For a key created at time K by its caller:
//
//   - Key check. Begin checks the key at c, when K <= c + T holds on the clock
//     of the VM, and chooses the lease after that. The VM requested the lease at
//     g >= c - P, and the service granted it at g or later. The claim therefore
//     exists until at least g + R + P + T >= c + R + T, whenever the write takes effect.
//   - Last use. After the write, Begin checks the key again. A claim is used only
//     if its write took effect while the key was accepted, so not after K + R - T
//     on the clock of that VM. This is at most c + R on the clock of the first VM,
//     and at most c + R + T there if the clocks of two VMs differ by up to T.
//
// So while any VM can still obtain a usable claim on a key, each earlier claim
// on it exists, and the creation fails with a conflict.
//
//   - VM paused between check and write. The lease does not depend on the time
//     of the write, and the second check rejects the key after a long pause.
//     Without it the write could succeed: the claim of an earlier run, on a lease
//     up to P older, would have expired, and the lease of the paused VM would not. A
//     pause after the second check is harmless, since the claim already exists.
//   - Lost response to a lease request. The lease expires without keys. The call is
//     not sent, and the next one requests another lease.
//   - Expired lease. The write fails with kv.NotFoundError and has no effect. Nor
//     have earlier writes of the same attempt that are still pending. The call is
//     not sent, and the next one requests a new lease.
//   - Later writes. Complete and Abandon pass the lease again, because a write
//     without one would detach the claim from it. A retry that replaces an
//     abandoned claim attaches it to the lease of its own VM, to which the same
//     bounds apply.
//
// Not covered: a key-value service that loses acknowledged writes, or expires a lease
// before its TTL.
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
	// StateAbandoned means that the holder has sent no byte of the call and never
	// will. A retry may replace the claim.
	StateAbandoned State = "abandoned"
)

// MaxRecordedBody bounds the recorded body of a result, in bytes. A larger body is
// dropped and only status and content type are recorded, since the key-value service
// accepts values of at most 1 MB.
const MaxRecordedBody = 256 << 10

// Result is the recorded response to a completed call.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped says that the body was too large to record.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is the stored value of a claim, encoded as JSON.
type Record struct {
	// Operation identifies the attempt that holds the claim.
	Operation string `json:"operation"`
	VM        string `json:"vm"`
	State     State  `json:"state"`
	// Fingerprint is the digest of route, content type and body. It does not match if
	// the key is reused for another request.
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
// one whose timestamp is too far in the future.
type InvalidKeyError struct{ Reason string }

func (e *InvalidKeyError) Error() string { return "invalid idempotency key: " + e.Reason }

// ExpiredKeyError reports a key older than the retention time. The call may have run
// under a claim that has expired.
type ExpiredKeyError struct{ Age time.Duration }

func (e *ExpiredKeyError) Error() string {
	return fmt.Sprintf("idempotency key is %s old, past the retention time", e.Age.Round(time.Second))
}

// UnavailableError reports that no claim could be created. The call was not sent, and
// this attempt will not send it.
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

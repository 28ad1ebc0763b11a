// Package dispatch decides which engine runs a request and when.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
)

// AdmissionRequest asks for the right to start a generation.
type AdmissionRequest struct {
	Tenant       string
	Organisation string
	Model        string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// PrefixHashes are the chained hashes of the prompt's blocks, used for cache
	// affinity.
	PrefixHashes []uint64
	MaxTokens    int
	// Zone is the preferred zone, or "" if there is no preference.
	Zone string
	// Spare requests capacity for a spare copy of a run's key-value memory. It is
	// granted immediately if there is ample free memory, and rejected otherwise.
	Spare bool
	// Resumed reports that the run continues from a copy, so that no prompt has to be
	// processed.
	Resumed bool
	// ExpectedTokens is the caller's estimate of the output length, or 0 if there is
	// none.
	ExpectedTokens int
	// EventGap is the longest time between two events that the route allows, or 0 if it
	// names none.
	EventGap time.Duration
	// Excluded lists the backend servers that already failed this request.
	Excluded []string
}

// Ticket is the right to run one generation on a backend server. Each ticket must be
// released once.
type Ticket interface {
	Backend() backend.Target
	Priority() int
	// Progress reports the total number of tokens produced so far.
	Progress(tokens int)
	// Preempted reports that the engine preempted the generation.
	Preempted()
	// Failed reports that the engine failed the generation while the caller was still
	// connected.
	Failed()
	// Release ends the ticket with the total number of tokens produced.
	Release(tokens int)
}

// Admission issues tickets.
type Admission interface {
	// Acquire waits for a ticket. It fails with a *QueueFullError, a
	// *QueueTimeoutError, a *PausedError or a *NoBackendError, and in each case nothing
	// has run.
	Acquire(ctx context.Context, a AdmissionRequest) (Ticket, error)
}

// QueueFullError reports that too many requests are waiting.
type QueueFullError struct{ Organisation string }

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue of organisation %s is full", e.Organisation)
}

// QueueTimeoutError reports that no engine had capacity before the timeout.
type QueueTimeoutError struct{ Model string }

func (e *QueueTimeoutError) Error() string {
	return fmt.Sprintf("timed out waiting for an engine with capacity for model %s", e.Model)
}

// PausedError reports that all engines that could run a request have asked this VM for a
// pause. It unwraps to a *NoBackendError.
type PausedError struct {
	Model string
	// ResumeAt is when this VM may use the first of them, on the clock of package boottime.
	ResumeAt time.Duration
}

func (e *PausedError) Error() string {
	return fmt.Sprintf("all engines that could serve model %s have asked for a pause", e.Model)
}

func (e *PausedError) Unwrap() error { return &NoBackendError{Model: e.Model} }

// NoBackendError reports that no live engine serves the model.
type NoBackendError struct{ Model string }

func (e *NoBackendError) Error() string {
	return fmt.Sprintf("no live engine serves model %s", e.Model)
}

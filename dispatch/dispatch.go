// Package dispatch decides which engine runs a request and when.
package dispatch

import (
	"context"
	"fmt"

	"github.com/vanillaarch/vanillaarch/backend"
)

// AdmissionRequest is a request for the right to start a generation.
type AdmissionRequest struct {
	Tenant       string
	Organisation string
	Model        string
	// PromptTokens is an estimate of the length of the prompt.
	PromptTokens int
	// PrefixHashes are chained hashes of the prompt's blocks, for cache affinity.
	PrefixHashes []uint64
	MaxTokens    int
	// Zone is preferred, "" if none is.
	Zone string
	// Spare asks for room for a copy of a run's memory. It is granted at once
	// where plenty is left, or not at all.
	Spare bool
	// Resumed says that the run goes on from a copy, so that no prompt is processed.
	Resumed bool
	// ExpectedTokens is the caller's estimate of the length of the output, 0 if
	// there is none.
	ExpectedTokens int
	// Excluded lists backend servers that failed this request before.
	Excluded []string
}

// Ticket is the right to run one generation on a backend server. Each ticket
// must be released once.
type Ticket interface {
	Backend() backend.Target
	Priority() int
	// Progress reports the total of tokens so far.
	Progress(tokens int)
	// Preempted reports that the engine pushed the generation aside.
	Preempted()
	// Failed reports that the engine failed the generation, and that the caller
	// was still there.
	Failed()
	// Release ends the ticket with the total of tokens.
	Release(tokens int)
}

// Admission hands out tickets.
type Admission interface {
	// Acquire waits for a ticket. Errors are *QueueFullError,
	// *QueueTimeoutError and *NoBackendError; nothing ran in any of these cases.
	Acquire(ctx context.Context, a AdmissionRequest) (Ticket, error)
}

// QueueFullError reports that too many requests are waiting.
type QueueFullError struct{ Organisation string }

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue of organisation %s is full", e.Organisation)
}

// QueueTimeoutError reports that no engine had room in time.
type QueueTimeoutError struct{ Model string }

func (e *QueueTimeoutError) Error() string {
	return fmt.Sprintf("no engine of model %s had room in time", e.Model)
}

// NoBackendError reports that no live engine has the model.
type NoBackendError struct{ Model string }

func (e *NoBackendError) Error() string {
	return fmt.Sprintf("no live engine has model %s", e.Model)
}

package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
)

// EngineClient makes the calls to an engine that are not requests of callers.
type EngineClient interface {
	// Report returns what the engine tells about itself. Errors are those of an exchange.
	Report(ctx context.Context, engine backend.Target) (EngineReport, error)
	// Move copies the memory of a run to another engine. A final move stops the
	// run first, and its stream ends without its end. Errors are *MoveError and
	// those of an exchange.
	Move(ctx context.Context, engine backend.Target, m MoveRequest) (MoveResult, error)
	// Discard frees a copy that is not used.
	Discard(ctx context.Context, engine backend.Target, handle string) error
}

// EngineReport is what an engine tells about itself. It lags some hundred
// milliseconds behind.
type EngineReport struct {
	Running, Waiting int
	// UsedTokens and TotalTokens are memory; used memory cannot be reclaimed.
	UsedTokens, TotalTokens int
	// LeavesIn is the time until the engine leaves, 0 if it is not known.
	LeavesIn time.Duration
	Runs     []EngineRun
}

// EngineRun is a run as its engine sees it.
type EngineRun struct {
	// ID is the id of the request.
	ID string
	// Tokens is the memory that the run holds.
	Tokens int
	// Events is the number of events made so far.
	Events int
}

// MoveRequest is the order to copy the memory of a run.
type MoveRequest struct {
	RunID string
	// To is the address of the engine that gets the copy.
	To string
	// Final stops the run.
	Final bool
}

// MoveResult is a complete copy.
type MoveResult struct {
	Handle string
	// Events is the number of events that the run had made.
	Events int64
}

// MoveError reports a copy that was not made.
type MoveError struct {
	Engine string
	Status int
	// Handle names the memory that the engine itself keeps of a run that was
	// stopped, "" if there is none.
	Handle string
}

func (e *MoveError) Error() string {
	return "engine " + e.Engine + " made no copy: status " + strconv.Itoa(e.Status)
}

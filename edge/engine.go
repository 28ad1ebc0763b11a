package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
)

// EngineClient calls the management API of an engine, and checks the health of backend
// servers of any kind. The results hold what the engine
// announces about itself also if an error is returned, provided that it answered.
type EngineClient interface {
	// Report returns the state that the engine reports. Errors are those of an
	// HTTP exchange.
	Report(ctx context.Context, engine backend.Target) (EngineReport, error)
	// Move copies the memory of a run to another engine. A final move stops the
	// run first, and its stream then breaks off without a final event. Errors are
	// *MoveError and those of an HTTP exchange.
	Move(ctx context.Context, engine backend.Target, m MoveRequest) (MoveResult, error)
	// Health asks a server for its health at the health path of its service. It returns an
	// error unless a server with the id of the target answered, whatever its status.
	Health(ctx context.Context, server backend.Target, path string) (HealthReport, error)
	// Discard frees an unused copy.
	Discard(ctx context.Context, engine backend.Target, handle string) (backend.ServerNotice, error)
}

// HealthReport is what a server tells in the answer to a health check.
type HealthReport struct {
	Notice backend.ServerNotice
	// Load and InvalidLoad are as in ResponseInfo.
	Load        *Load
	InvalidLoad string
}

// EngineReport is the state that an engine reports. It is some hundred
// milliseconds old.
type EngineReport struct {
	Running, Waiting int
	// UsedTokens and TotalTokens measure the memory of the engine. Used memory
	// cannot be reclaimed.
	UsedTokens, TotalTokens int
	// LeavesIn is the time until the engine leaves, 0 if unknown.
	LeavesIn time.Duration
	Runs     []EngineRun
	// Incarnation is that of the engine that answered, 0 if unknown. It differs from
	// the expected one if the address belongs to another start or another server.
	Incarnation int64
	Notice      backend.ServerNotice
}

// EngineRun is a run in the report of its engine.
type EngineRun struct {
	// ID is the id of the request.
	ID string
	// Tokens is the memory that the run holds.
	Tokens int
	// Events is the number of events that the run has generated so far.
	Events int
}

// MoveRequest asks an engine to copy the memory of a run.
type MoveRequest struct {
	RunID string
	// To is the address of the engine that receives the copy.
	To string
	// Final stops the run before the copy.
	Final bool
	// Connection is the connection over which the call is made. Nil is an idle one, or else a new
	// one.
	Connection *backend.Connection
}

// MoveResult describes a complete copy.
type MoveResult struct {
	Handle string
	// Events is the number of events that the run had generated when it was copied.
	Events int64
	Notice backend.ServerNotice
}

// MoveError reports that an engine did not copy a run.
type MoveError struct {
	Engine string
	Status int
	// Handle identifies the memory of a stopped run that the engine itself still
	// keeps, "" if there is none.
	Handle string
}

func (e *MoveError) Error() string {
	return "engine " + e.Engine + " did not copy the run: status " + strconv.Itoa(e.Status)
}

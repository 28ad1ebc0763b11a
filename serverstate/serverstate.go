// Package serverstate holds what this VM knows of backend servers from their own
// answers: which of them leave, and which have asked this VM for a pause.
//
// A leaving server stays leaving for its whole lifetime, whatever later answers or the
// store say. A pause concerns this VM alone and is never shortened. When a pause ends,
// the VMs return spread over a window, each with few requests at first, so that the
// server is not overloaded again by all of them at once.
//
// The package does no network I/O, and the current time is always an argument, on the
// clock of package boottime.
package serverstate

import (
	"fmt"
	"time"
)

// Server identifies one lifetime of a backend server. An address is no part of it, so a
// server does not inherit the state of an earlier one at its address.
//
// An answer tells the id of the server, not its start: a server may have started again
// under its id before this VM lists the new start. What an answer says so counts for the
// start that was listed when the request was sent, and may have been said by any other
// start of the id. A start that is listed after another one left is not used until
// Table.Verify records that it has been asked and does not leave. A pause holds for other
// starts for maxOtherStartPause at most, with few requests in flight afterwards.
//
// Incarnation 0 means that the lifetime is not known. It is taken to be any lifetime of
// the same id that is listed, or that was until less than unknownLifetimeHold ago: a
// server that leaves is not used while it may still be the same one, and one that was
// started anew without a known lifetime is used again after that time.
type Server struct {
	ID          string
	Incarnation int64
}

// Limits and defaults of Config.
const (
	// MaxPauseDefault is longer than any pause for overload, yet a server that asks for an
	// absurd one by mistake is tried again the same hour.
	MaxPauseDefault = 10 * time.Minute
	MaxPauseMin     = time.Second
	MaxPauseMax     = time.Hour
	// MaxServersDefault is what a fleet of 12,000 servers that are all replaced in a day
	// leaves in eight hours. Each change of the list looks at all entries.
	MaxServersDefault = 4096
	MaxServersMin     = 16
	MaxServersMax     = 1 << 20
)

// Config are the settings of a Table. A value of 0 stands for the default.
type Config struct {
	// VM is the id of this VM. It makes VMs return at different times after a pause.
	VM string
	// MaxPause bounds each pause.
	MaxPause time.Duration
	// MaxServers bounds the entries of servers that are not listed. The entries of listed
	// servers are bounded by the list.
	MaxServers int
}

// ConfigError reports a setting that is out of its limits.
type ConfigError struct{ Setting, Value, Min, Max string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %s, must be from %s to %s", e.Setting, e.Value, e.Min, e.Max)
}

// Validate returns a *ConfigError if a setting is neither 0 nor within its limits.
func (c Config) Validate() error {
	if c.MaxPause != 0 && (c.MaxPause < MaxPauseMin || c.MaxPause > MaxPauseMax) {
		return &ConfigError{"MaxPause", c.MaxPause.String(), MaxPauseMin.String(), MaxPauseMax.String()}
	}
	if c.MaxServers != 0 && (c.MaxServers < MaxServersMin || c.MaxServers > MaxServersMax) {
		return &ConfigError{"MaxServers", fmt.Sprint(c.MaxServers), fmt.Sprint(MaxServersMin), fmt.Sprint(MaxServersMax)}
	}
	return nil
}

// withDefaults replaces zero values by the defaults and moves others into their limits.
func (c Config) withDefaults() Config {
	if c.MaxPause == 0 {
		c.MaxPause = MaxPauseDefault
	}
	if c.MaxServers == 0 {
		c.MaxServers = MaxServersDefault
	}
	c.MaxPause = min(max(c.MaxPause, MaxPauseMin), MaxPauseMax)
	c.MaxServers = min(max(c.MaxServers, MaxServersMin), MaxServersMax)
	return c
}

// Observation is what an answer of a server says about the server.
type Observation struct {
	// Leaving is set if the answer says that the server leaves.
	Leaving bool
	// Pause is the result of ParsePause for a refusal, zero for other answers.
	Pause Pause
	// Slots is the number of requests that the server runs concurrently, 0 if unknown. It
	// determines how the end of a pause is spread.
	Slots int
}

// Change is what an observation or an announcement has changed, the zero Change if
// nothing.
type Change struct {
	Server Server
	// Leaving is set if the server was not known to leave before.
	Leaving bool
	// AnnouncedBy is the VM that announced it, empty if it comes from an answer.
	AnnouncedBy string
	// Paused is set if a pause began, Extended if one was made longer.
	Paused, Extended bool
	// Pause is the pause that was asked for, ResumeAt when this VM may send again.
	Pause    Pause
	ResumeAt time.Duration
	// Log is set if the change is to be logged: each that makes a server leaving, and one
	// a minute of each server for pauses and for retry delays that cannot be used.
	Log bool
}

// Zero reports whether nothing changed.
func (c Change) Zero() bool { return c == Change{} }

// LeavingError reports that a request must not be sent since the server leaves.
type LeavingError struct {
	Server Server
	// Since is when this VM learned it.
	Since time.Duration
	// AnnouncedBy is the VM that announced it, empty if it comes from an answer.
	AnnouncedBy string
}

func (e *LeavingError) Error() string {
	if e.AnnouncedBy != "" {
		return fmt.Sprintf("backend server %s is leaving, announced by %s", e.Server.ID, e.AnnouncedBy)
	}
	return fmt.Sprintf("backend server %s is leaving", e.Server.ID)
}

// PausedError reports that a request must not be sent before Until.
type PausedError struct {
	Server Server
	// Until is when this VM may send again. It is later than the end of the pause that the
	// server asked for by the spread of this VM.
	Until time.Duration
	// Resuming is set if the pause has ended and the requests that may be in flight until
	// the server has answered some of them are.
	Resuming bool
	// Unverified is set if an answer said that another start of the server leaves, and it
	// may have come from this one. Until is when it is checked again.
	Unverified bool
}

func (e *PausedError) Error() string {
	if e.Unverified {
		return fmt.Sprintf("backend server %s may be the start that has said that it leaves", e.Server.ID)
	}
	if e.Resuming {
		return fmt.Sprintf("backend server %s gets few requests after its pause", e.Server.ID)
	}
	return fmt.Sprintf("backend server %s has asked for a pause", e.Server.ID)
}

// State is what the table holds of one server.
type State struct {
	Server  Server
	Leaving bool
	// LeavingSince is when this VM learned it, AnnouncedBy the VM that announced it, empty
	// if it comes from an answer.
	LeavingSince time.Duration
	AnnouncedBy  string
	// PausedUntil is the end of the pause that the server asked for, ResumeAt when this VM
	// may send again. Both are 0 if there is no pause.
	PausedUntil, ResumeAt time.Duration
	// InFlightLimit is the number of requests that may be in flight while this VM resumes
	// after a pause, 0 if there is no limit.
	InFlightLimit int
	// Unverified is set if the server must be asked whether it leaves before it is used.
	Unverified bool
	// Listed is false for a server that is not in the list of live servers.
	Listed bool
}

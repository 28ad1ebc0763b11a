// Package ratelimit keeps the requests that all entry VMs together send to a backend
// server within the rate that the server names in its answers, and shares them.
//
// One VM, the owner, grants permits for all servers of a service. A VM needs a permit for
// each request to a limited server. The owner keeps a token bucket for each server and one
// queue for the requests that can wait. A VM that gets no answer from the owner uses its
// equal part of half of the rate instead.
//
// The package does no network I/O, and the current time is always an argument, on the
// clock of package boottime.
package ratelimit

import (
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// PermitLifetime is the time within which a permit must be used. It adds to the window
// over which a server sees the permits of a period.
const PermitLifetime = time.Second

// Request asks for a permit for one request to one of several limited servers.
type Request struct {
	// Sequence identifies the request among those of a VM. A VM that restarts must not use
	// the sequences of its earlier start again.
	Sequence uint64
	Service  string
	// Servers are the candidates, in the order of preference.
	Servers []serverstate.Server
	// Priority is the urgency, 0 being the most urgent.
	Priority     int
	Organisation string
	// AimWait is the longest time that the request waits behind others, MaxWait the longest
	// time that it waits alone. A request whose MaxWait is 0 does not wait at all.
	AimWait, MaxWait time.Duration
	// Urgent is set for requests on which earlier work depends. They may take permits in
	// advance.
	Urgent bool
}

// Decision is the result of a request.
type Decision struct {
	Sequence uint64
	// Granted is set if a request may be sent to Server within ExpiresIn.
	Granted   bool
	Service   string
	Server    serverstate.Server
	ExpiresIn time.Duration
	// RetryAfter is the expected time until the request could be served, if it is denied.
	// It contains a random part.
	RetryAfter time.Duration
	// AskAgain tells for each candidate of a denied request how long this VM should use
	// other servers.
	AskAgain []Avoid
	// Reason tells why the request is denied.
	Reason Reason
	// Floor is set if the VM decided without the owner.
	Floor bool
}

// Avoid is a server that is not to be asked for during a time.
type Avoid struct {
	Server serverstate.Server
	For    time.Duration
}

// Reason is why a request is denied.
type Reason int

// Reasons of denials.
const (
	// ReasonNone is the reason of granted requests.
	ReasonNone Reason = iota
	// ReasonNoPermit means that no permit is free and the request does not wait.
	ReasonNoPermit
	// ReasonQueue means that the expected wait is longer than the request may wait.
	ReasonQueue
	// ReasonDisplaced means that more urgent requests came while the request waited.
	ReasonDisplaced
	// ReasonTimeout means that the request has waited as long as it may.
	ReasonTimeout
	// ReasonOwner means that the owner does not answer.
	ReasonOwner
	// ReasonFull means that the limit on the number of waiting requests is reached.
	ReasonFull
)

// Ask is a request that is sent to the owner.
type Ask struct {
	Request Request
	// Attempt counts the messages with this request from 1.
	Attempt uint32
	// Limits are the records of the asking VM for the candidates.
	Limits []Limit
}

// Reply is the decision of an owner.
type Reply struct {
	Decision Decision
	// Attempt is the last one that the owner has received, and Held the time from then to
	// the decision, which is negative if the decision is repeated. The VM derives the end of
	// a permit from the time at which it sent this attempt, so that delayed messages do not
	// extend it.
	Attempt uint32
	Held    time.Duration
}

// Message is a message between two VMs. Exactly one field is set, except that Complete
// belongs to Limits.
type Message struct {
	// Limits are records of limits that are new to the sender. If Complete is set they are
	// the last of all records of the sender, possibly none.
	Limits   []Limit
	Complete bool
	// Pull asks for all records. A VM that has just started answers it by the same.
	Pull bool
	Ask  *Ask
	// Waiting repeats the asks that the owner has confirmed by Queued.
	Waiting []uint64
	// Withdraw names requests that no longer wait, Return permits that are not used.
	Withdraw, Return []uint64
	Reply            *Reply
	// Queued confirms requests that wait at the sender.
	Queued []uint64
	// Unknown names asks that the sender does not hold: it is not the owner, or has
	// forgotten them.
	Unknown []uint64
}

// Outgoing is a message to a VM.
type Outgoing struct {
	To      string
	Message Message
}

// Effects are the results of an event.
type Effects struct {
	Send []Outgoing
	// Decisions are those for requests of this VM.
	Decisions []Decision
	// Changed are the records that a message has changed, for the log.
	Changed []Limit
	// Cold are the servers that count as cold since another VM asked for them as such, for
	// the log.
	Cold []ColdPeriod
}

// View is what a node knows of the fleet.
type View struct {
	// EntryVMs are the entry VMs that are reachable and live, including this one.
	EntryVMs []vmlist.VM
	// Listed is the number of entry VMs of the list, reachable or not.
	Listed int
	// Peers are the VMs to which news are sent, which forward them to theirs.
	Peers []string
	// Tenants are the shares of organisations. Requests of others count as those of
	// route.Anonymous.
	Tenants []flowcontrol.Tenant
	// ColdRates holds the rates of the cold servers of services that have one.
	ColdRates map[string]Rate
}

// ServerStats is the state of a limited server at its owner.
type ServerStats struct {
	Server  serverstate.Server
	Service string
	// Rate is the rate at which permits are granted, Tokens the number of free ones.
	Rate, Tokens float64
	// Waiting is the number of requests that wait for the server, perhaps among others.
	Waiting int
	// Granted counts permits, less those that were returned.
	Granted uint64
}

// Stats is the state of a node, for metrics and queries.
type Stats struct {
	// Servers are the servers for which this VM has granted permits, by id.
	Servers []ServerStats
	// Pending is the number of requests of this VM without a decision.
	Pending int
	// Granted, Denied and Floor count the decisions for requests of this VM. Floor are the
	// permits that it took without the owner.
	Granted, Denied, Floor uint64
}

package userplatform

import (
	"sync"
	"time"
)

// Fleet is the set of backend servers of a deployment. It holds the copies of runs
// that the servers exchange.
type Fleet struct {
	mu      sync.Mutex
	store   *Store
	servers map[string]*Server
	copies  map[string]runCopy
	runs    map[string][]string
	// executions holds the executions of a request, executionOrder its requests from the
	// oldest to the newest, openExecutions those that have not ended.
	executions     map[string][]*Execution
	executionOrder []string
	openExecutions map[*Execution]struct{}
	// crashingParts are the prompt parts that crash engines, crashDowntime is the time
	// until such an engine starts again.
	crashingParts []string
	crashDowntime time.Duration
	engineCrashes []EngineCrash
	prompts       promptTime
	// crashingArrivals holds the arrivals of requests with one of crashingParts.
	crashingArrivals []Arrival
	requestCrashes   requestCrashes
	exchanges        exchangeLog
}

// NewFleet returns a fleet whose servers register in a store.
func NewFleet(store *Store) *Fleet {
	return &Fleet{
		store: store, servers: map[string]*Server{}, copies: map[string]runCopy{}, runs: map[string][]string{},
		executions: map[string][]*Execution{}, openExecutions: map[*Execution]struct{}{},
	}
}

// Runs returns the ids of the servers that started to execute a request, first to
// last. Continuing from a copy is not a start.
func (f *Fleet) Runs(request string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs[request]...)
}

package vanillaarch

import (
	"math"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/listen"
)

const (
	// connectionMemoryDivisor is the divisor of the VM's memory that gives the budget for
	// connections that wait for a request and for incomplete heads: 10 MB of 120 MB, which is
	// 512 connections or 70 heads just under 64 KiB. The budgets for requests and answers leave
	// 43 MB, and the process takes 19 MB at rest.
	connectionMemoryDivisor = 12
	// minConnectionBudgetBytes is the lower bound of the budget.
	minConnectionBudgetBytes = 4 << 20
	// callerFileFraction is the fraction of the VM's descriptors that connections of callers may
	// take. Each request in progress needs another one for a backend server.
	callerFileFraction = 0.4
	// tlsConnectionBytes is the memory of a TLS connection with HTTP/2 beside its requests: the
	// buffers for records and frames, and bodies that have arrived and were not read. 200 of them
	// took 114 KB each.
	tlsConnectionBytes = 128 << 10
	// tlsMemoryDivisor is the divisor of the VM's memory that gives what TLS connections may take
	// together.
	tlsMemoryDivisor = 8
	// probeFileFraction is the fraction for readiness probes, and that for metrics.
	probeFileFraction = 0.04
)

// connectionLimits bound the connections of the listeners of a VM.
type connectionLimits struct {
	budget *listen.Budget
	// callers and probes are the limits on open connections of callers, and of probes or
	// requests for metrics. They are 0 if the descriptors of the VM are unknown.
	callers, probes int
}

// newConnectionLimits returns the limits of a VM. isTLS is set if callers connect over TLS.
func newConnectionLimits(vm config.VMLimits, isTLS bool, log *zap.Logger, registry metrics.Registry) connectionLimits {
	budget := newConnectionBudget(vm.MemoryBytes, log, registry)
	return connectionLimits{
		budget:  budget,
		callers: maxCallerConnections(vm, isTLS), probes: int(probeFileFraction * float64(vm.Files)),
	}
}

// maxCallerConnections returns the limit on open connections of callers, which also limits their
// requests over HTTP/2. It is 0, no limit, if neither the descriptors of the VM nor, for TLS, its
// memory are known.
func maxCallerConnections(vm config.VMLimits, isTLS bool) int {
	byFiles, byMemory := int(callerFileFraction*float64(vm.Files)), int(vm.MemoryBytes/tlsMemoryDivisor/tlsConnectionBytes)
	if !isTLS || byMemory == 0 {
		return byFiles
	}
	if byFiles == 0 {
		return byMemory
	}
	return min(byFiles, byMemory)
}

// newConnectionBudget returns the budget for connections that wait for a request. It has no
// limit if the memory of the VM is unknown.
func newConnectionBudget(vmBytes int64, log *zap.Logger, registry metrics.Registry) *listen.Budget {
	limit := max(vmBytes/connectionMemoryDivisor, minConnectionBudgetBytes)
	if vmBytes == 0 {
		limit = math.MaxInt64
	}
	closed := map[listen.Reason]metrics.Counter{
		listen.ReasonMemory:      metrics.GetOrRegisterCounter("connections.closed_for_memory", registry),
		listen.ReasonConnections: metrics.GetOrRegisterCounter("connections.closed_for_number", registry),
	}
	budget := listen.NewBudget(limit, func(c listen.Closed) {
		closed[c.Reason].Inc(1)
		log.Warn("connection_closed", zap.String("reason", string(c.Reason)), zap.String("remote", c.Remote),
			zap.String("local", c.Local), zap.Bool("between_requests", c.State == http.StateIdle),
			zap.Duration("waited", time.Since(c.Since)), zap.Int64("bytes", c.Bytes), zap.Int64("used", c.Used))
	})
	metrics.NewRegisteredFunctionalGauge("connections.waiting_bytes", registry, budget.Used)
	return budget
}

// reportUndelivered returns the function that counts and logs answers that their callers have not
// received when the connection is closed.
func reportUndelivered(log *zap.Logger, registry metrics.Registry) func(listen.Undelivered) {
	counter := metrics.GetOrRegisterCounter("connections.closed_with_answer_in_flight", registry)
	return func(u listen.Undelivered) {
		counter.Inc(1)
		log.Warn("answer_not_received", zap.String("remote", u.Remote), zap.Int("bytes", u.Bytes), zap.Duration("lingered", u.Lingered))
	}
}

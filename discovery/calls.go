package discovery

import (
	"context"
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
)

// callReportInterval is the time between log lines that count calls to the store.
const callReportInterval = 5 * time.Second

// callCounters counts this VM's calls to the store, by kind, and the failed ones.
type callCounters struct {
	made   map[kv.CallKind]metrics.Counter
	failed metrics.Counter
}

// newCallCounters registers the counters as store.calls.KIND and store.calls_failed.
func newCallCounters(registry metrics.Registry) *callCounters {
	c := &callCounters{made: map[kv.CallKind]metrics.Counter{}, failed: metrics.NewRegisteredCounter("store.calls_failed", registry)}
	for _, kind := range kv.CallKinds() {
		c.made[kind] = metrics.NewRegisteredCounter("store.calls."+string(kind), registry)
	}
	return c
}

func (c *callCounters) observe(kind kv.CallKind, err error) {
	c.made[kind].Inc(1)
	if err != nil {
		c.failed.Inc(1)
	}
}

func (c *callCounters) counts() map[string]int64 {
	out := map[string]int64{"failed": c.failed.Count()}
	for kind, n := range c.made {
		out[string(kind)] = n.Count()
	}
	return out
}

// report periodically logs the number of calls since the start of this VM, if it
// has changed since the last log line.
func (c *callCounters) report(ctx context.Context, log *zap.Logger) {
	var last map[string]int64
	for wait.Sleep(ctx, callReportInterval) {
		now := c.counts()
		if maps.Equal(now, last) {
			continue
		}
		last = now
		fields := make([]zap.Field, 0, len(now))
		for _, kind := range kv.CallKinds() {
			fields = append(fields, zap.Int64(string(kind), now[string(kind)]))
		}
		log.Info("store_calls", append(fields, zap.Int64("failed", now["failed"]))...)
	}
}

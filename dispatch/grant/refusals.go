package grant

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/admission"
	"github.com/vanillaarch/vanillaarch/dispatch"
)

// refusals logs and counts the requests that policies refuse because they would wait too long.
type refusals struct {
	counters map[admission.Reason]metrics.Counter
}

func newRefusals(r metrics.Registry) refusals {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counters := map[admission.Reason]metrics.Counter{}
	for _, reason := range []admission.Reason{
		admission.ReasonWait, admission.ReasonTarget, admission.ReasonDeadline, admission.ReasonLength,
	} {
		counters[reason] = metrics.GetOrRegisterCounter("dispatch.refused_"+string(reason), r)
	}
	return refusals{counters}
}

// record records the refusal of a request of a VM.
func (r refusals) record(log *zap.Logger, vm string, sequence uint64, e *dispatch.QueueFullError) {
	if counter := r.counters[e.Reason]; counter != nil {
		counter.Inc(1)
	}
	log.Info("run_refused", zap.String("peer", vm), zap.Uint64("sequence", sequence), zap.String("organisation", e.Organisation),
		zap.String("reason", string(e.Reason)), zap.Duration("retry_after", e.RetryAfter))
}

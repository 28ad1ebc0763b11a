package vanillaarch

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/readmission"
)

// logReturn returns a function that logs and counts the callers that return after a refusal, for
// dispatch.FairOptions.
func logReturn(log *zap.Logger, registry metrics.Registry) func(readmission.Kind) {
	returned := metrics.GetOrRegisterCounter("dispatch.callers_returned", registry)
	early := metrics.GetOrRegisterCounter("dispatch.callers_early", registry)
	return func(k readmission.Kind) {
		if k == readmission.KindEarly {
			early.Inc(1)
		} else {
			returned.Inc(1)
		}
		log.Debug("caller_returned", zap.Stringer("kind", k))
	}
}

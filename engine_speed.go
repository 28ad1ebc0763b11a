package vanillaarch

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// logSpeed returns a function that logs and counts changes of the learned time per token of
// an engine, relative to the mean of its pool.
func logSpeed(log *zap.Logger, r metrics.Registry) func(engine string, relativeTime float64) {
	changes := metrics.GetOrRegisterCounter("dispatch.engine_speed_changes", r)
	return func(engine string, relativeTime float64) {
		changes.Inc(1)
		log.Info("engine_speed", zap.String("backend", engine), zap.Float64("relative_time", relativeTime))
	}
}

package discovery

import (
	"time"

	"github.com/vanillaarch/vanillaarch/telemetry"
	"go.uber.org/zap"
)

// dependency logs when a dependency becomes unavailable and when it recovers.
type dependency struct {
	log    *zap.Logger
	name   string
	lost   bool
	lostAt time.Time
}

func newDependency(log *zap.Logger, name string) *dependency {
	return &dependency{log: log, name: name}
}

// record updates the state with the result of a call.
func (d *dependency) record(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost, d.lostAt = true, time.Now()
		d.log.Warn("dependency_lost", zap.String("dependency", d.name), telemetry.Error(err))
	case err == nil && d.lost:
		d.lost = false
		d.log.Info("dependency_back", zap.String("dependency", d.name), zap.Duration("after", time.Since(d.lostAt)))
	}
}

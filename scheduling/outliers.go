package scheduling

import (
	"slices"
	"time"
)

// Parameters of OutlierDetector.
const (
	// minFailures is the number of consecutive failures that suspend an engine.
	minFailures = 2
	// minReporters is the number of different VMs that must have reported them, since
	// the connections of a single VM may be at fault.
	minReporters = 2
	// failureLifetime is how long a failure is taken into account.
	failureLifetime = 10 * time.Second
	// minSuspension and maxSuspension bound the duration of a suspension. Each failed
	// probe doubles it, since a probe costs a caller its run.
	minSuspension = time.Second
	maxSuspension = 16 * time.Second
	// probeTimeout is the maximum wait for the outcome of a probe.
	probeTimeout = 3 * time.Second
	// maxSuspendedFraction is the fraction of engines that may be suspended at once.
	// If more of them fail, a common cause such as the network is more likely.
	maxSuspendedFraction = 1.0 / 3
)

// OutlierDetector suspends engines that fail runs before their first token. Such an
// engine is always empty, so selection by free memory sends it more and more runs (a
// black hole), regardless of its own load reports and health status. After the
// suspension it is probed with one run at a time. It is not safe for concurrent use.
type OutlierDetector struct {
	engines map[string]*outlier
}

// outlier is the state of an engine whose last outcome was a failure.
type outlier struct {
	failures      int
	reporters     map[string]bool
	lastFailureAt time.Time
	// suspendedUntil is the end of the suspension, zero if there was none.
	suspendedUntil time.Time
	suspension     time.Duration
	// probeStartedAt is the start of the probe whose outcome is pending, or zero.
	probeStartedAt time.Time
}

// NewOutlierDetector returns a detector that suspends no engine.
func NewOutlierDetector() *OutlierDetector { return &OutlierDetector{engines: map[string]*outlier{}} }

// RecordFailure records that an engine failed a run of a VM before its first token,
// and reports whether that suspends the engine. live is the number of live engines.
func (o *OutlierDetector) RecordFailure(now time.Time, engine, vm string, live int) bool {
	x := o.engines[engine]
	if x == nil || now.Sub(x.lastFailureAt) > failureLifetime+x.suspension {
		x = &outlier{reporters: map[string]bool{}}
		o.engines[engine] = x
	}
	x.failures++
	x.reporters[vm] = true
	x.lastFailureAt = now
	switch {
	case now.Before(x.suspendedUntil):
		return false // the run was granted before the suspension
	case x.suspension > 0: // a failed probe
		x.suspension = min(2*x.suspension, maxSuspension)
	case x.failures < minFailures || len(x.reporters) < minReporters || !o.maySuspendAnother(now, live):
		return false
	default:
		x.suspension = minSuspension
	}
	x.probeStartedAt = time.Time{}
	x.suspendedUntil = now.Add(x.suspension)
	return true
}

// maySuspendAnother reports whether one more engine may be suspended.
func (o *OutlierDetector) maySuspendAnother(now time.Time, live int) bool {
	suspended := 1
	for engine := range o.engines {
		if o.Suspended(now, engine) {
			suspended++
		}
	}
	return live > 1 && float64(suspended) <= max(1, maxSuspendedFraction*float64(live))
}

// RecordSuccess records a first token of an engine, and reports whether that ends a
// suspension.
func (o *OutlierDetector) RecordSuccess(engine string) bool {
	x := o.engines[engine]
	delete(o.engines, engine)
	return x != nil && x.suspension > 0
}

// RecordGrant records that an engine was granted a run. If the engine was suspended,
// the run is a probe.
func (o *OutlierDetector) RecordGrant(now time.Time, engine string) {
	if x := o.engines[engine]; x != nil && x.suspension > 0 {
		x.probeStartedAt = now
	}
}

// Suspended reports whether an engine must not be granted a run now.
func (o *OutlierDetector) Suspended(now time.Time, engine string) bool {
	x := o.engines[engine]
	if x == nil || x.suspension == 0 {
		return false
	}
	return now.Before(x.suspendedUntil) || !x.probeStartedAt.IsZero() && now.Sub(x.probeStartedAt) < probeTimeout
}

// Failing reports whether the last outcome of an engine is a failure, which was reported not long
// ago. It need not be suspended.
func (o *OutlierDetector) Failing(now time.Time, engine string) bool {
	x := o.engines[engine]
	return x != nil && now.Sub(x.lastFailureAt) <= failureLifetime+x.suspension
}

// CountFailing returns the number of engines that are Failing and not excluded.
func (o *OutlierDetector) CountFailing(now time.Time, excluded []string) int {
	n := 0
	for engine := range o.engines {
		if o.Failing(now, engine) && !slices.Contains(excluded, engine) {
			n++
		}
	}
	return n
}

// Remove removes the state of an engine.
func (o *OutlierDetector) Remove(engine string) { delete(o.engines, engine) }

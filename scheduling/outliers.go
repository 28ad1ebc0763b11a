package scheduling

import "time"

// Times and limits of Outliers.
const (
	// minFailures is the number of failures in a row that suspend an engine.
	minFailures = 2
	// minReporters is the number of VMs that must have seen them. The
	// connections of a single VM may be at fault.
	minReporters = 2
	// failureLifetime is how long a failure counts.
	failureLifetime = 10 * time.Second
	// minSuspension and maxSuspension bound the time without work. Each trial
	// that fails doubles it, since a trial costs a caller its run.
	minSuspension = time.Second
	maxSuspension = 16 * time.Second
	// probeTimeout bounds the wait for the outcome of a trial.
	probeTimeout = 3 * time.Second
	// maxSuspendedFraction is the part of the engines that may be suspended at once.
	// Beyond it a common cause is more likely, such as the network.
	maxSuspendedFraction = 1.0 / 3
)

// OutlierDetector suspends engines that fail runs before their first token. Such an
// engine is always empty, so that a choice by free memory sends it more and more
// runs (the black-hole pattern), whatever its own reports and health say. After a
// pause it is tried with one run at a time. It is not safe for concurrent use.
type OutlierDetector struct {
	engines map[string]*outlier
}

// outlier is what is known of an engine whose last outcome was a failure.
type outlier struct {
	failures      int
	reporters     map[string]bool
	lastFailureAt time.Time
	// suspendedUntil is the end of the suspension, zero if there was none.
	suspendedUntil time.Time
	suspension     time.Duration
	// probeStartedAt is the start of the trial whose outcome is awaited.
	probeStartedAt time.Time
}

// NewOutlierDetector returns an Outliers that suspends no engine.
func NewOutlierDetector() *OutlierDetector { return &OutlierDetector{engines: map[string]*outlier{}} }

// RecordFailure notes that an engine failed a run of a VM before its first token, and
// reports whether that suspends the engine. live is the number of live engines.
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
		return false // a run from before the suspension
	case x.suspension > 0: // a trial
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

// RecordSuccess notes a first token of an engine. It reports whether that ends a suspension.
func (o *OutlierDetector) RecordSuccess(engine string) bool {
	x := o.engines[engine]
	delete(o.engines, engine)
	return x != nil && x.suspension > 0
}

// RecordGrant notes that an engine was given a run, which is a trial if the engine
// was suspended.
func (o *OutlierDetector) RecordGrant(now time.Time, engine string) {
	if x := o.engines[engine]; x != nil && x.suspension > 0 {
		x.probeStartedAt = now
	}
}

// Suspended reports whether an engine gets no run now.
func (o *OutlierDetector) Suspended(now time.Time, engine string) bool {
	x := o.engines[engine]
	if x == nil || x.suspension == 0 {
		return false
	}
	return now.Before(x.suspendedUntil) || !x.probeStartedAt.IsZero() && now.Sub(x.probeStartedAt) < probeTimeout
}

// Remove drops what is known of an engine.
func (o *OutlierDetector) Remove(engine string) { delete(o.engines, engine) }

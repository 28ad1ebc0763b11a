package config

import "time"

// Defaults of fields that are absent or zero.
const (
	defaultKVTimeout         = Duration(2 * time.Second)
	defaultVMListInterval    = Duration(time.Second)
	defaultVMListCallLimit   = Duration(700 * time.Millisecond)
	defaultFallbackInterval  = Duration(30 * time.Second)
	defaultBodyBytes         = 1 << 20
	defaultHeaderBytes       = 32 << 10
	defaultAnswerBytes       = 8 << 20
	defaultQueuedPerOrg      = 256
	defaultQueued            = 4096
	defaultRetryRatio        = 0.1
	defaultQueueTimeout      = Duration(30 * time.Second)
	defaultFirstToken        = Duration(20 * time.Second)
	defaultStreamIdle        = Duration(3 * time.Second)
	defaultBody              = Duration(30 * time.Second)
	defaultDrainNotice       = Duration(5 * time.Second)
	defaultDrain             = Duration(20 * time.Minute)
	defaultRetention         = Duration(24 * time.Hour)
	defaultClockTolerance    = Duration(5 * time.Minute)
	defaultFanout            = 4
	defaultHeartbeatInterval = Duration(500 * time.Millisecond)
	defaultSuspectAfter      = Duration(2 * time.Second)
	defaultBypassAfter       = Duration(250 * time.Millisecond)
	defaultLocalStreams      = 2
	defaultEngineStreams     = 256
	defaultGroupSize         = 32
	defaultLogLevel          = "info"
	defaultTraceRatio        = 1.0
)

// ApplyDefaults fills fields that are zero.
func (c *Config) ApplyDefaults() {
	set(&c.Platform.KVTimeout, defaultKVTimeout)
	set(&c.Platform.VMListInterval, defaultVMListInterval)
	set(&c.Platform.VMListCallLimit, defaultVMListCallLimit)
	set(&c.Bundle.FallbackInterval, defaultFallbackInterval)
	set(&c.Limits.BodyBytes, defaultBodyBytes)
	set(&c.Limits.HeaderBytes, defaultHeaderBytes)
	set(&c.Limits.AnswerBytes, defaultAnswerBytes)
	set(&c.Limits.QueuedPerOrganisation, defaultQueuedPerOrg)
	set(&c.Limits.Queued, defaultQueued)
	set(&c.Limits.RetryRatio, defaultRetryRatio)
	set(&c.Timeouts.Queue, defaultQueueTimeout)
	set(&c.Timeouts.FirstToken, defaultFirstToken)
	set(&c.Timeouts.StreamIdle, defaultStreamIdle)
	set(&c.Timeouts.Body, defaultBody)
	set(&c.Timeouts.DrainNotice, defaultDrainNotice)
	set(&c.Timeouts.Drain, defaultDrain)
	set(&c.Claims.Retention, defaultRetention)
	set(&c.Claims.ClockTolerance, defaultClockTolerance)
	set(&c.Peers.Fanout, defaultFanout)
	set(&c.Peers.HeartbeatInterval, defaultHeartbeatInterval)
	set(&c.Peers.SuspectAfter, defaultSuspectAfter)
	set(&c.Dispatch.BypassAfter, defaultBypassAfter)
	set(&c.Dispatch.LocalStreams, defaultLocalStreams)
	set(&c.Dispatch.EngineStreams, defaultEngineStreams)
	set(&c.Dispatch.GroupSize, defaultGroupSize)
	set(&c.Log.Level, defaultLogLevel)
	set(&c.Trace.Ratio, defaultTraceRatio)
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

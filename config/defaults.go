package config

import (
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Default values of fields that are absent or zero.
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
	defaultServerPause       = Duration(serverstate.MaxPauseDefault)
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

// ApplyDefaults sets fields that are zero to their defaults.
func (c *Config) ApplyDefaults() {
	setDefault(&c.Platform.KVTimeout, defaultKVTimeout)
	setDefault(&c.Platform.VMListInterval, defaultVMListInterval)
	setDefault(&c.Platform.VMListCallLimit, defaultVMListCallLimit)
	setDefault(&c.Bundle.FallbackInterval, defaultFallbackInterval)
	setDefault(&c.Limits.BodyBytes, defaultBodyBytes)
	setDefault(&c.Limits.HeaderBytes, defaultHeaderBytes)
	setDefault(&c.Limits.AnswerBytes, defaultAnswerBytes)
	setDefault(&c.Limits.QueuedPerOrganisation, defaultQueuedPerOrg)
	setDefault(&c.Limits.Queued, defaultQueued)
	setDefault(&c.Limits.RetryRatio, defaultRetryRatio)
	setDefault(&c.Timeouts.Queue, defaultQueueTimeout)
	setDefault(&c.Timeouts.FirstToken, defaultFirstToken)
	setDefault(&c.Timeouts.StreamIdle, defaultStreamIdle)
	setDefault(&c.Timeouts.Body, defaultBody)
	setDefault(&c.Timeouts.ServerPause, defaultServerPause)
	setDefault(&c.Timeouts.DrainNotice, defaultDrainNotice)
	setDefault(&c.Timeouts.Drain, defaultDrain)
	setDefault(&c.Claims.Retention, defaultRetention)
	setDefault(&c.Claims.ClockTolerance, defaultClockTolerance)
	setDefault(&c.Peers.Fanout, defaultFanout)
	setDefault(&c.Peers.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.Peers.SuspectAfter, defaultSuspectAfter)
	setDefault(&c.Dispatch.BypassAfter, defaultBypassAfter)
	setDefault(&c.Dispatch.LocalStreams, defaultLocalStreams)
	setDefault(&c.Dispatch.EngineStreams, defaultEngineStreams)
	setDefault(&c.Dispatch.GroupSize, defaultGroupSize)
	setDefault(&c.Log.Level, defaultLogLevel)
	setDefault(&c.Trace.Ratio, defaultTraceRatio)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

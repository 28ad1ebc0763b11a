package gateway

import (
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// inBackground calls f in a goroutine that may outlive its request. A panic ends f and not the
// process, which would cut all requests of the VM: f serves one request or asks one server.
func (g *Gateway) inBackground(f func()) {
	g.background.Go(func() { g.protect(f) })
}

// protect calls f, and logs and counts a panic.
func (g *Gateway) protect(f func()) {
	err := recovery.Run(f)
	if err == nil {
		return
	}
	g.Metrics.backgroundPanics.Inc(1)
	g.Log.Error("background_panicked", telemetry.Error(err), zap.ByteString("stack", err.Stack))
}

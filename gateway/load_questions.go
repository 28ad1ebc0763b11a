package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	// loadQuestionTimeout bounds a health request that asks for a load. A load that arrives
	// later has faded.
	loadQuestionTimeout = 200 * time.Millisecond
	// maxLoggedLoad is the number of bytes of an invalid report that are logged.
	maxLoggedLoad = 64
)

// askForLoad asks a server of a service for its load if its last report is old and the budget
// allows it. A server that limits the rate of requests is not asked.
func (g *Gateway) askForLoad(service, healthPath string) {
	if !g.services.speeds.Load() {
		return
	}
	g.questions.Request()
	if healthPath == "" || g.drain.stopping() {
		return
	}
	vm, ok := g.services.stale(g.Snapshot(), service)
	if !ok || g.checkServer(vm) != nil || g.Permits.Limited(vm) || !g.questions.Take(boottime.Now(), vm.ID) {
		return
	}
	g.Metrics.loadQuestions.Inc(1)
	g.inBackground(func() { g.ask(vm, healthPath) })
}

// ask sends one health request and records the load and the notice in the answer.
func (g *Gateway) ask(vm vmlist.VM, healthPath string) {
	ctx, cancel := context.WithTimeout(context.Background(), loadQuestionTimeout)
	defer cancel()
	var sentAt time.Duration
	ctx, end := backend.WithBeforeSend(ctx, func() error {
		sentAt = boottime.Now()
		return g.checkServer(vm)
	})
	defer end()
	report, err := g.Engines.Health(ctx, backend.TargetOf(vm), healthPath)
	if err != nil {
		g.Log.Debug("load_question_failed", zap.String("backend", vm.ID), telemetry.Error(err))
		return
	}
	g.Servers.Observe(tracker.Answer{Server: tracker.ServerOf(vm), Call: "load", Notice: report.Notice})
	g.Permits.Observe(permit.Answer{Server: tracker.ServerOf(vm), Call: "load", SentAt: sentAt, Notice: report.Notice})
	g.services.report(vm, report.Load)
	g.recordInvalidLoad(vm, report.InvalidLoad)
}

// recordInvalidLoad counts a report with an invalid figure, and logs the first of each start of a
// server.
func (g *Gateway) recordInvalidLoad(vm vmlist.VM, report string) {
	if report == "" {
		return
	}
	g.Metrics.invalidLoads.Inc(1)
	if g.services.isFirstInvalidLoad(vm) {
		g.Log.Warn("server_load_invalid", zap.String("backend", vm.ID), zap.String("report", report[:min(len(report), maxLoggedLoad)]))
	}
}

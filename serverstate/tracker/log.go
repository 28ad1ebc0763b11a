package tracker

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// maxLoggedValueBytes bounds the header values in a log line.
const maxLoggedValueBytes = 64

// logAnswer writes a line for what an answer has changed.
func (t *Tracker) logAnswer(now time.Duration, c serverstate.Change, a Answer) {
	if !c.Log {
		return
	}
	evidence := []zap.Field{
		zap.String("backend", a.Server.ID), zap.Int64("incarnation", a.Server.Incarnation),
		zap.String("call", a.Call), zap.String("request", a.Request), zap.Int("status", a.Status),
	}
	if c.Leaving {
		t.opts.Log.Info("server_leaving", append(evidence, zap.String("learned_from", "answer"))...)
	}
	if !c.Paused && !c.Extended && !c.Pause.Invalid && !c.Pause.Limited {
		return
	}
	values := strings.Join(a.Notice.RetryAfter, ", ")
	t.opts.Log.Info("server_paused", append(evidence,
		zap.String("retry_after", values[:min(len(values), maxLoggedValueBytes)]),
		zap.Duration("pause", c.Pause.Delay), zap.Duration("resume_in", max(c.ResumeAt-now, 0)),
		zap.Bool("invalid", c.Pause.Invalid), zap.Bool("limited", c.Pause.Limited))...)
}

// logAnnouncement writes a line for a departure that a peer announced.
func (t *Tracker) logAnnouncement(c serverstate.Change) {
	if c.Log {
		t.opts.Log.Info("server_leaving", zap.String("backend", c.Server.ID), zap.Int64("incarnation", c.Server.Incarnation),
			zap.String("learned_from", c.AnnouncedBy))
	}
}

// counters holds the metrics of a tracker.
type counters struct {
	// answered and announced count departures by how this VM learned them.
	answered, announced metrics.Counter
	pauses              metrics.Counter
	// sent counts messages to peers, syncs those because of a digest.
	sent, syncs metrics.Counter
	// verifications counts questions to servers whose start may have said that it leaves.
	verifications metrics.Counter
}

func newCounters(r metrics.Registry, states func(now time.Duration) []serverstate.State) counters {
	gauge := func(name string, matches func(serverstate.State) bool) {
		metrics.NewRegisteredFunctionalGauge(name, r, func() int64 {
			n := int64(0)
			for _, s := range states(boottime.Now()) {
				if matches(s) {
					n++
				}
			}
			return n
		})
	}
	gauge("servers.leaving", func(s serverstate.State) bool { return s.Leaving })
	gauge("servers.unverified", func(s serverstate.State) bool { return s.Unverified })
	gauge("servers.paused", func(s serverstate.State) bool { return s.ResumeAt != 0 })
	return counters{
		answered: metrics.GetOrRegisterCounter("servers.departures_answered", r), announced: metrics.GetOrRegisterCounter("servers.departures_announced", r),
		pauses: metrics.GetOrRegisterCounter("servers.pauses", r),
		sent:   metrics.GetOrRegisterCounter("servers.departure_messages", r), syncs: metrics.GetOrRegisterCounter("servers.departure_syncs", r),
		verifications: metrics.GetOrRegisterCounter("servers.verifications", r),
	}
}

func (c counters) count(change serverstate.Change) {
	switch {
	case change.Leaving && change.AnnouncedBy != "":
		c.announced.Inc(1)
	case change.Leaving:
		c.answered.Inc(1)
	}
	if change.Paused {
		c.pauses.Inc(1)
	}
}

package permit

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// maxLoggedValueBytes bounds the header values in a log line.
const maxLoggedValueBytes = 64

// limitLogInterval is the minimum time between two lines at level info for the rate of one
// server, which may name another one in each answer.
const limitLogInterval = time.Second

// limitLog holds what was last logged of each server.
type limitLog struct {
	mu   sync.Mutex
	last map[serverstate.Server]loggedLimit
}

type loggedLimit struct {
	at    time.Duration
	named bool
}

// level returns the level of a line for a limit: debug if a line for the server was written
// shortly before and the limit has neither begun nor ended since.
func (l *limitLog) level(now time.Duration, limit ratelimit.Limit) zapcore.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, logged := l.last[limit.Server]
	if logged && last.named == limit.Named && now-last.at < limitLogInterval {
		return zapcore.DebugLevel
	}
	if l.last == nil || len(l.last) >= maxLoggedServers {
		l.last = map[serverstate.Server]loggedLimit{}
	}
	l.last[limit.Server] = loggedLimit{now, limit.Named}
	return zapcore.InfoLevel
}

// maxLoggedServers bounds the servers of which the last line is remembered.
const maxLoggedServers = 4096

// logLimit writes a line for a limit that has begun, changed or ended, and records its
// source.
func (m *Manager) logLimit(l ratelimit.Limit, source string, a Answer) {
	m.sources.set(l, source)
	m.opts.Log.Log(m.limitLog.level(boottime.Now(), l), "server_limit", zap.String("backend", l.Server.ID), zap.Int64("incarnation", l.Server.Incarnation),
		zap.Bool("named", l.Named), zap.Float64("rate", float64(l.Rate)), zap.Uint64("version", l.Version),
		zap.String("learned_from", source), zap.String("call", a.Call), zap.String("request", a.Request))
}

func (m *Manager) logInvalid(a Answer) {
	values := strings.Join(a.Notice.Limit, ", ")
	m.opts.Log.Info("server_limit_invalid", zap.String("backend", a.Server.ID), zap.String("call", a.Call),
		zap.String("request", a.Request), zap.String("values", values[:min(len(values), maxLoggedValueBytes)]))
}

// counters holds the metrics of a Manager.
type counters struct {
	// granted, denied and floor count the decisions for requests of this VM; floor are
	// those that it made itself, without the owner.
	granted, denied, floor metrics.Counter
	// coldPeriods counts the times at which a server has become cold, coldDenied the denials of
	// requests with a cold candidate.
	coldPeriods, coldDenied metrics.Counter
	// sent counts messages to peers.
	sent metrics.Counter
}

func newCounters(r metrics.Registry, table *ratelimit.Table) counters {
	metrics.NewRegisteredFunctionalGauge("ratelimit.limited_servers", r, func() int64 {
		n := int64(0)
		for _, l := range table.Limits() {
			if l.Named {
				n++
			}
		}
		return n
	})
	metrics.NewRegisteredFunctionalGauge("ratelimit.cold_servers", r, func() int64 { return int64(table.ColdServers(boottime.Now())) })
	return counters{
		coldPeriods: metrics.GetOrRegisterCounter("ratelimit.cold_periods", r), coldDenied: metrics.GetOrRegisterCounter("ratelimit.permits_denied_cold", r),
		granted: metrics.GetOrRegisterCounter("ratelimit.permits_granted", r), denied: metrics.GetOrRegisterCounter("ratelimit.permits_denied", r),
		floor: metrics.GetOrRegisterCounter("ratelimit.decisions_without_owner", r), sent: metrics.GetOrRegisterCounter("ratelimit.messages", r),
	}
}

func (c counters) count(d ratelimit.Decision) {
	if d.Floor {
		c.floor.Inc(1)
	}
	if d.Granted {
		c.granted.Inc(1)
		return
	}
	c.denied.Inc(1)
}

package vanillaarch

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/gateway"
	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// listen opens the listeners and creates the HTTP servers for callers, for readiness
// probes and for metrics.
func (e *Entry) listen() error {
	// Without it, errors go to standard error, where a write may block the server.
	errorLog := zap.NewStdLog(e.log)
	e.probes = newProbeServer(http.HandlerFunc(e.serveReady), errorLog)
	e.admin = newProbeServer(e.adminHandler(), errorLog)
	addresses := []string{e.opts.Deployment.Listen.Callers, e.opts.Deployment.Listen.Ready}
	if metrics := e.opts.Deployment.Listen.Metrics; metrics != "" {
		addresses = append(addresses, metrics)
	}
	limits := newConnectionLimits(e.opts.Deployment.Limits, false, e.log, e.metrics)
	for i, address := range addresses {
		l, err := listen.Listen(address)
		if err != nil {
			return err
		}
		e.listeners = append(e.listeners, l)
		switch i {
		case 0:
			e.callerListener = l
			l.LimitWith(limits.budget, limits.callers)
			l.ReportUndelivered(reportUndelivered(e.log, e.metrics))
			l.GiveWayWith(func() bool { return e.gateway.EvictStalledBody() })
		case 1:
			l.LimitWith(limits.budget, limits.probes)
			e.probes.ConnState = l.ConnState
		default:
			l.LimitWith(limits.budget, limits.probes)
			e.admin.ConnState = l.ConnState
		}
	}
	e.newCallerServer()
	return nil
}

// newProbeServer creates the HTTP server for readiness probes or for metrics.
func newProbeServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxProbeHeaderBytes,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: errorLog,
	}
}

// newCallerServer creates the HTTP server for callers and wraps its listener.
func (e *Entry) newCallerServer() {
	limiter := gateway.IdleLimit{Limit: e.idleLimit}
	e.listeners[0] = limiter.Listener(e.callerListener)
	// Heads that arrived in part or are refused by http.Server reach no handler.
	heads := metrics.GetOrRegisterCounter("connections.heads", e.metrics)
	e.callers = &http.Server{
		Handler: e.gateway, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: zap.NewStdLog(e.log),
		ConnContext: listen.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive {
				heads.Inc(1)
			}
			limiter.ConnState(c, state)
			e.callerListener.ConnState(c, state)
		},
	}
}

// idleLimit returns the current idle timeout for connections of callers.
func (e *Entry) idleLimit() time.Duration {
	if t := e.loop.Snapshot().Routes; t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return callerIdleTimeout
}

func (e *Entry) closeListeners() {
	for _, l := range e.listeners {
		_ = l.Close()
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason, ok := e.gateway.Ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(reason + "\n")) // The load balancer does not read the body.
}

func (e *Entry) adminHandler() http.Handler {
	router := echo.New()
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(e.metrics, c.Response())
		return nil
	})
	router.GET("/servers", serveServers(e.mesh.servers))
	router.GET("/limits", serveLimits(e.mesh.permits))
	return router
}

// EntryAddresses are the addresses that an Entry listens on, as IP:port. Metrics is
// empty if no address for metrics is configured.
type EntryAddresses struct{ Callers, Ready, Peers, Metrics string }

// Addresses returns the addresses of the listeners.
func (e *Entry) Addresses() EntryAddresses {
	a := EntryAddresses{
		Callers: e.listeners[0].Addr().String(), Ready: e.listeners[1].Addr().String(), Peers: e.mesh.sessions.Addr(),
	}
	if len(e.listeners) > 2 {
		a.Metrics = e.listeners[2].Addr().String()
	}
	return a
}

// Active returns the number of requests of callers in progress.
func (e *Entry) Active() int { return e.gateway.Active() }

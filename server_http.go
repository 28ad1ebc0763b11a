package vanillaarch

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/frontend"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/membership"
)

// Timeouts of the HTTP servers. There is no write timeout, since a generation can last
// twenty minutes. The time for request bodies is limited by timeouts.body.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 2 * time.Second
	// interruptedTimeout limits the wait for handlers whose connections were closed.
	interruptedTimeout = 500 * time.Millisecond
)

// httpServers are the listeners for callers and operators.
type httpServers struct {
	servers   []*http.Server
	listeners []*listen.Listener
	tls       [2]string
	errorLog  *log.Logger
	wg        sync.WaitGroup
}

func (s *Server) listen() (*httpServers, error) {
	callers := newEcho()
	s.frontend.Register(callers)
	admin := newEcho()
	admin.GET("/status", s.status)
	admin.GET("/metrics", s.writeMetrics)
	admin.GET("/queues", s.serveQueues)
	admin.GET("/servers", serveServers(s.mesh.servers))
	admin.GET("/limits", serveLimits(s.mesh.permits))
	errorLog, err := zap.NewStdLogAt(s.log.Named("http"), zap.WarnLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log of HTTP servers")
	}
	h := &httpServers{tls: [2]string{s.cfg.TLS.CertFile, s.cfg.TLS.KeyFile}, errorLog: errorLog}
	limits := newConnectionLimits(vmLimits(s.cfg.Limits), s.servesTLS(), s.log, s.metrics)
	if err := h.add(s.cfg.Listen.HTTP, callers, s.cfg.Limits.HeaderBytes); err != nil {
		return nil, err
	}
	h.listeners[0].LimitWith(limits.budget, limits.callers)
	h.listeners[0].ReportUndelivered(reportUndelivered(s.log, s.metrics))
	h.listeners[0].GiveWayWith(s.frontend.EvictStalledBody)
	if s.cfg.Listen.Admin != "" {
		if err := h.add(s.cfg.Listen.Admin, admin, s.cfg.Limits.HeaderBytes); err != nil {
			_ = h.listeners[0].Close()
			return nil, err
		}
		h.listeners[1].LimitWith(limits.budget, limits.probes)
	}
	return h, nil
}

// servesTLS reports whether callers connect over TLS.
func (s *Server) servesTLS() bool { return s.cfg.TLS.CertFile != "" }

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (h *httpServers) add(address string, handler http.Handler, headerBytes int) error {
	l, err := listen.Listen(address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	h.listeners = append(h.listeners, l)
	h.servers = append(h.servers, &http.Server{
		HTTP2:   frontend.HTTP2Config(),
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: h.errorLog, ConnState: l.ConnState,
		ConnContext: listen.ConnContext,
	})
	return nil
}

// serve starts the servers. The first one, for callers, uses TLS if it is configured.
func (h *httpServers) serve(log *zap.Logger) {
	for i, server := range h.servers {
		h.wg.Go(func() {
			var err error
			if i == 0 && h.tls[0] != "" {
				err = server.ServeTLS(h.listeners[i], h.tls[0], h.tls[1])
			} else {
				err = server.Serve(h.listeners[i])
			}
			if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				log.Error("http_server_failed", zap.Error(err))
			}
		})
	}
}

// close shuts the servers down. Requests in progress must have been drained before. Callers whose
// last answer began before the drain get the notice, from its end, to send another request, which
// is rejected. ctx ends it early.
func (h *httpServers) close(ctx context.Context, log *zap.Logger, notice time.Duration) {
	h.listeners[0].GiveNotice(listen.Notice{Period: notice, Until: time.Now().Add(notice + closeTimeout)})
	for _, l := range h.listeners {
		if err := l.DrainBacklog(settleTimeout); err != nil {
			log.Warn("listener_not_settled", zap.Error(err))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, notice+closeTimeout)
	defer cancel()
	for i, server := range h.servers {
		if err := h.listeners[i].DrainConnections(ctx); err != nil {
			log.Warn("connections_not_drained", zap.Error(err))
		}
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	h.wg.Wait()
}

// abort closes all connections.
func (h *httpServers) abort() {
	for _, server := range h.servers {
		_ = server.Close()
	}
	h.wg.Wait()
}

// Status is the response of the admin endpoint /status.
type Status struct {
	VM            string   `json:"vm"`
	BundleVersion int64    `json:"bundle_version"`
	BundleDigest  string   `json:"bundle_digest,omitempty"`
	VMListVersion int64    `json:"vm_list_version"`
	EntryVMs      []string `json:"entry_vms"`
	Active        int      `json:"active_requests"`
	// Watcher is set if the VM reads from the platform on behalf of its region.
	Watcher bool `json:"watcher"`
	// Peers holds the peers that exchange heartbeats with the VM.
	Peers    []membership.PeerView `json:"peers"`
	Suspects []string              `json:"suspects,omitempty"`
}

func (s *Server) status(c echo.Context) error {
	snap := s.loop.Snapshot()
	st := Status{VM: s.cfg.VMID, VMListVersion: snap.VMs.Revision, Active: len(s.frontend.Active()), Watcher: s.mesh.watcher.Load()}
	st.Peers, st.Suspects = s.mesh.members.View()
	if snap.Bundle != nil {
		st.BundleVersion, st.BundleDigest = snap.Bundle.Version(), snap.Bundle.Digest
	}
	for _, vm := range snap.EntryVMs {
		st.EntryVMs = append(st.EntryVMs, vm.ID)
	}
	return c.JSON(http.StatusOK, st)
}

func (s *Server) writeMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	metrics.WriteJSONOnce(s.metrics, c.Response())
	return nil
}

// Addresses are the addresses that a server listens on, as IP:port. They
// differ from the configuration where that specifies port 0.
type Addresses struct {
	HTTP  string
	Peer  string
	Admin string
}

// Addresses returns the addresses in use.
func (s *Server) Addresses() Addresses {
	a := Addresses{HTTP: s.http.listeners[0].Addr().String(), Peer: s.mesh.sessions.Addr()}
	if len(s.http.listeners) > 1 {
		a.Admin = s.http.listeners[1].Addr().String()
	}
	return a
}

// Snapshot returns the current view of the control state.
func (s *Server) Snapshot() *control.Snapshot { return s.loop.Snapshot() }

package vanillaarch

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/claim"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/dispatch/grant"
	"github.com/vanillaarch/vanillaarch/frontend"
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/replay"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Options are the dependencies of a Server that its configuration does not specify.
type Options struct {
	Log *zap.Logger
	// SpanProcessors receive spans in addition to the configured exporter.
	SpanProcessors []sdktrace.SpanProcessor
}

// Server is an entry VM that serves the completions API.
type Server struct {
	cfg      *config.Config
	log      *zap.Logger
	keys     []ed25519.PublicKey
	kv       *kv.Client
	bundles  *bundle.Store
	vms      *vmlist.Client
	loop     *control.Loop
	engines  *backend.EngineClient
	services *backend.ServiceClient
	claims   *claim.Manager
	frontend *frontend.Frontend
	tracing  *telemetry.Tracing
	metrics  metrics.Registry
	grants   *grant.Manager
	http     *httpServers
	// recorder is nil unless the configuration specifies its file.
	recorder *replay.Recorder

	mesh *mesh

	abort     chan struct{}
	abortOnce sync.Once
}

// New returns a server that listens on its addresses. It serves no requests until Run
// is called.
func New(cfg *config.Config, o Options) (*Server, error) {
	keys, err := parseKeys(cfg.Bundle.PublicKeys)
	if err != nil {
		return nil, err
	}
	tracing, err := telemetry.NewTracing(cfg.Trace.File, cfg.Trace.Ratio, o.SpanProcessors...)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, log: o.Log, keys: keys, tracing: tracing,
		kv:       kv.NewClient(cfg.Platform.KV, cfg.Platform.KVTimeout.Std()),
		vms:      vmlist.NewClient(cfg.Platform.VMList, listReads*cfg.Platform.VMListCallLimit.Std()),
		loop:     control.NewLoop(o.Log, time.Now),
		engines:  backend.NewEngineClient(),
		services: backend.NewServiceClient(cfg.Limits.AnswerBytes),
		metrics:  metrics.NewRegistry(),
		abort:    make(chan struct{}),
	}
	s.bundles = bundle.NewStore(s.kv)
	s.claims = claim.NewManager(s.kv, claim.Options{
		VM: cfg.VMID, Retention: cfg.Claims.Retention.Std(), ClockTolerance: cfg.Claims.ClockTolerance.Std(), Now: time.Now,
	})
	if err := s.open(); err != nil {
		s.release()
		return nil, err
	}
	return s, nil
}

// open opens the listeners and creates the services behind them. If it fails, release
// closes what it has opened.
func (s *Server) open() error {
	var err error
	s.mesh, err = newMesh(meshOptions{
		VM: s.cfg.VMID, Region: s.cfg.Region, Listen: s.cfg.Listen.Peer, TLS: s.cfg.TLS, Peers: s.cfg.Peers,
		MaxServerPause: s.cfg.Timeouts.ServerPause.Std(), Loop: s.loop, Sources: gossip.Sources(s.loop, s.keys),
		AskServer: s.askServer, Metrics: s.metrics, Log: s.log,
	})
	if err != nil {
		return err
	}
	s.engines.ObserveNotices(s.observeNotice)
	s.services.ObserveNotices(s.observeNotice)
	admission, err := s.withRecorder(s.admission())
	if err != nil {
		return err
	}
	vm := vmLimits(s.cfg.Limits)
	s.frontend = frontend.New(frontend.Options{
		Config: s.cfg, MemoryBytes: vm.MemoryBytes, MaxStreams: maxCallerConnections(vm, s.servesTLS()), Snapshot: s.loop.Snapshot, Admission: admission, Engines: s.engines, Services: s.services,
		Claims: s.claims, Quarantine: s.mesh.quarantine, Servers: s.mesh.servers, Log: s.log, Tracer: s.tracing.Tracer(), Metrics: s.metrics,
	})
	s.http, err = s.listen()
	return err
}

// askServer asks a backend server whether it leaves.
func (s *Server) askServer(ctx context.Context, vm vmlist.VM) (backend.ServerNotice, error) {
	return s.engines.Notice(ctx, backend.TargetOf(vm))
}

// observeNotice records what a backend server announces in an answer.
func (s *Server) observeNotice(t backend.Target, n backend.ServerNotice) {
	s.mesh.servers.Observe(tracker.Answer{
		Server: serverstate.Server{ID: t.ID, Incarnation: t.Incarnation}, Call: "answer", Notice: n,
		Slots: s.loop.Snapshot().Backends[t.ID].Slots,
	})
}

// withRecorder wraps an admission with the recorder, if one is configured.
func (s *Server) withRecorder(a dispatch.Admission) (dispatch.Admission, error) {
	if s.cfg.TraceRecorder.File == "" {
		return a, nil
	}
	recorder, err := replay.NewRecorder(replay.RecorderOptions{
		File: s.cfg.TraceRecorder.File, Model: s.cfg.TraceRecorder.Model,
		Snapshot: s.loop.Snapshot, Now: time.Now, Log: s.log,
	})
	if err != nil {
		return nil, err
	}
	s.recorder = recorder
	return recorder.Wrap(a), nil
}

func parseKeys(hexKeys []string) ([]ed25519.PublicKey, error) {
	keys := make([]ed25519.PublicKey, 0, len(hexKeys))
	for _, h := range hexKeys {
		b, err := hex.DecodeString(h)
		if err != nil || len(b) != ed25519.PublicKeySize {
			return nil, &config.InvalidError{Violations: []config.Violation{{Path: "bundle.public_keys", Message: "not an Ed25519 key in hex"}}}
		}
		keys = append(keys, b)
	}
	return keys, nil
}

// Run serves requests until ctx is cancelled, then drains: /readyz fails during the
// notice period, then new requests are rejected, and running requests continue until
// they complete or the drain timeout expires. It returns an *InterruptedError if
// requests were interrupted.
func (s *Server) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	tasks := append(append(s.mesh.tasks(), s.grantTasks()...), s.loop.Run, s.watchBundle, s.readBundleFallback, s.readVMList)
	for _, task := range tasks {
		background.Go(func() { task(work) })
	}
	s.http.serve(s.log)
	s.log.Info("vm_started", zap.String("http", s.cfg.Listen.HTTP), zap.String("zone", s.cfg.Zone))
	<-ctx.Done()
	interrupted := s.drain()
	s.closeHTTP(len(interrupted) > 0)
	stop()
	background.Wait()
	s.release()
	if len(interrupted) > 0 {
		s.log.Error("vm_stopped", zap.Int("cut", len(interrupted)), zap.Strings("requests", interrupted))
		return &InterruptedError{Requests: interrupted}
	}
	s.log.Info("vm_stopped", zap.Int("cut", 0))
	return nil
}

// InterruptedError lists the requests that were still running when the drain ended.
type InterruptedError struct{ Requests []string }

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("shutdown interrupted %d requests", len(e.Requests))
}

// Abort ends a drain immediately.
func (s *Server) Abort() { s.abortOnce.Do(func() { close(s.abort) }) }

// untilAbort returns a context that ends after limit, or when the drain is aborted.
func (s *Server) untilAbort(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		select {
		case <-s.abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (s *Server) drain() (interrupted []string) {
	s.log.Info("drain_started", zap.Int("active", len(s.frontend.Active())))
	s.frontend.BeginDrain()
	ctx, cancel := s.untilAbort(s.cfg.Timeouts.DrainNotice.Std() + s.cfg.Timeouts.Drain.Std())
	defer cancel()
	select {
	case <-time.After(s.cfg.Timeouts.DrainNotice.Std()):
	case <-ctx.Done():
	}
	return s.frontend.Drain(ctx)
}

// closeHTTP stops the HTTP servers. If requests were interrupted, it closes all
// connections immediately and gives the handlers up to interruptedTimeout to return.
func (s *Server) closeHTTP(interrupted bool) {
	if !interrupted {
		notice := s.cfg.Timeouts.DrainNotice.Std()
		ctx, cancel := s.untilAbort(settleTimeout*time.Duration(len(s.http.listeners)) + notice + closeTimeout)
		defer cancel()
		s.http.close(ctx, s.log, notice)
		return
	}
	s.http.abort()
	ctx, cancel := context.WithTimeout(context.Background(), interruptedTimeout)
	defer cancel()
	s.frontend.Drain(ctx)
}

// release closes all resources after Run, or after New has failed.
func (s *Server) release() {
	if s.mesh != nil {
		s.mesh.sessions.Close()
	}
	if s.frontend != nil {
		s.frontend.Close()
	}
	s.claims.Close()
	s.engines.Close()
	s.kv.Close()
	s.vms.Close()
	if s.recorder != nil {
		if err := s.recorder.Close(); err != nil {
			s.log.Warn("trace_record_failed", zap.Error(err))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.tracing.Close(ctx); err != nil {
		s.log.Warn("trace_close_failed", zap.Error(err))
	}
}

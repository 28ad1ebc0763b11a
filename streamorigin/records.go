package streamorigin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// dropLogInterval is the time between two log lines on dropped records.
const dropLogInterval = time.Second

// Store is the part of the platform's store that holds the records.
type Store interface {
	kv.Writer
	// GrantLease and ListPage are those of kv.Leaser and kv.Lister.
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	ListPage(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error)
}

// Options configure Records.
type Options struct {
	Store Store
	// VMs returns the number of VMs that write to the store. It must not block. Nil counts as 1.
	VMs func() int
	// WritesPerSecond is the capacity of the store, 0 if it is not known.
	WritesPerSecond int
	Log             *zap.Logger
	Metrics         metrics.Registry
	// VM is the id of this VM, Transport sends messages to others, and Members returns the VMs among
	// which copies are kept. It must not block. Without a Transport there are no copies.
	VM        string
	Transport peer.Transport
	Members   func() []vmlist.VM
	// Now is the clock, by default that of package boottime.
	Now func() time.Duration
}

// Records are the records of one VM. They are safe for concurrent use.
type Records struct {
	opts    Options
	changed chan struct{}

	written, writeFailed, dropped          metrics.Counter
	found, unknown, ambiguous, unavailable metrics.Counter

	mu      sync.Mutex
	machine *machine
	copies  *copies
	// droppedReported is the number of dropped records that the metric counts, droppedLogged that of
	// those in the log, and droppedLoggedAt the time of the last log line.
	droppedReported, droppedLogged int64
	droppedLoggedAt                time.Duration
}

// New returns the records of a VM. The caller must call Run.
func New(o Options) *Records {
	if o.VMs == nil {
		o.VMs = func() int { return 1 }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Now == nil {
		o.Now = boottime.Now
	}
	r := &Records{opts: o, changed: make(chan struct{}, 1), copies: newCopies()}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("streamorigin."+name, o.Metrics)
	}
	r.written, r.writeFailed, r.dropped = counter("written"), counter("write_failed"), counter("dropped")
	r.found, r.unknown = counter("found"), counter("unknown")
	r.ambiguous, r.unavailable = counter("ambiguous"), counter("unavailable")
	r.machine = newMachine(fmt.Sprintf("%016x", rand.Uint64()), func() time.Duration {
		return writeInterval(o.VMs(), o.WritesPerSecond)
	})
	return r
}

// Record is the record of one stream. It is safe for concurrent use.
type Record struct {
	records *Records
	entry   *entry
}

// Begin begins the record of a request that is sent to a server. It does not block. lifetime is the
// time after which nobody takes the stream up any more, of at most 9.5 minutes.
func (r *Records) Begin(request string, o Origin, lifetime time.Duration) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &Record{r, r.machine.begin(r.opts.Now(), request, o, lifetime)}
	r.wakeRun()
	return rec
}

// Stored returns a channel that is closed once the store has acknowledged the current origin.
// Replace begins a new one.
func (rec *Record) Stored() <-chan struct{} {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	return rec.entry.stored
}

// Settled returns a channel that is closed once events may be passed on without the risk that the
// store holds another version alone. It is closed from the start, unless Replace has changed the
// version after a write of the earlier one was begun, or the VM has begun the same request before.
// Then no event may be passed on before, also while the store is not available. Replace begins a
// new one.
func (rec *Record) Settled() <-chan struct{} {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	return rec.entry.settled
}

// Replace records that the request is sent to another server before any event was passed on. See
// Settled for when events may be passed on if its version is another one. A server of the same
// version takes no further write.
func (rec *Record) Replace(o Origin) {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	rec.records.machine.replace(rec.entry, o)
	rec.records.wakeRun()
}

// FirstEventPassed records that the first event was passed on, after which the origin is final. The
// store learns of it beside other writes, so that the record counts after a return from a copy too,
// and two other VMs keep a copy.
func (rec *Record) FirstEventPassed() {
	r, e := rec.records, rec.entry
	r.mu.Lock()
	first := !e.passed
	r.machine.firstEventPassed(e)
	o, remaining := e.origin, e.until-r.opts.Now()
	r.mu.Unlock()
	if first {
		r.sendCopy(e.prefix, o, remaining)
	}
}

// End records that the stream has ended: there are no further attempts to write its record. A
// stream whose caller has gone before the last event has not ended, since it may be taken up.
func (rec *Record) End() {
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	rec.records.machine.end(rec.entry)
}

// Available reports whether streams are to wait for their record: the last call to write records did
// not fail, or no record waits for another call.
func (r *Records) Available() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.available()
}

// EraChanged tells Records the era of the store, as an answer to another call has shown it. Records of
// streams in progress are written again when it rises.
func (r *Records) EraChanged(era kv.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.eraChanged(era)
	r.wakeRun()
}

// Find returns where the stream of a request began. The error is an *UnknownError, an
// *AmbiguousError or an *UnavailableError. It calls the store once, unless this VM has begun the
// stream itself or keeps a copy.
func (r *Records) Find(ctx context.Context, request string) (Origin, error) {
	o, err := r.find(ctx, request)
	switch {
	case err == nil:
		r.found.Inc(1)
		return o, nil
	case isA[*UnknownError](err):
		r.unknown.Inc(1)
	case isA[*AmbiguousError](err):
		r.ambiguous.Inc(1)
	default:
		r.unavailable.Inc(1)
	}
	r.opts.Log.Info("stream_origin_not_found", zap.String("request", shortened(request)), telemetry.Error(err))
	return Origin{}, err
}

func (r *Records) find(ctx context.Context, request string) (Origin, error) {
	r.mu.Lock()
	now := r.opts.Now()
	o, known, err := r.machine.find(now, request)
	if !known {
		o, known, err = r.copies.find(now, request, requestPrefix(request))
	}
	r.mu.Unlock()
	if known {
		return o, err
	}
	return r.findElsewhere(ctx, request)
}

func (r *Records) findInStore(ctx context.Context, request string) (Origin, error) {
	listing, err := r.opts.Store.ListPage(ctx, requestPrefix(request), kv.Linearizable)
	if err != nil {
		return Origin{}, &UnavailableError{Request: request, Cause: err}
	}
	r.EraChanged(listing.Era)
	if era := r.era(); listing.Era < era {
		return Origin{}, &UnavailableError{Request: request, Cause: &kv.EraError{Want: era, Got: listing.Era}}
	}
	return originFromRecords(request, listing)
}

func (r *Records) era() kv.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.era
}

func isA[E error](err error) bool {
	_, ok := errors.Into[E](err)
	return ok
}

// wakeRun makes Run ask for the next step. r.mu may be held.
func (r *Records) wakeRun() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run writes records until ctx ends.
func (r *Records) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s, now := r.next()
		switch s.kind {
		case stepGrant:
			id, err := r.opts.Store.GrantLease(ctx, s.ttl)
			if ctx.Err() != nil {
				return
			}
			r.granted(id, err)
		case stepWrite:
			err := r.opts.Store.Write(ctx, s.puts, nil, s.lease)
			if ctx.Err() != nil {
				return
			}
			r.wrote(len(s.puts), err)
		case stepWait:
			r.wait(ctx, s.until, now)
		}
	}
}

// next returns the next step and the time of it.
func (r *Records) next() (step, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	s := r.machine.next(now)
	dropped := r.machine.dropped
	r.dropped.Inc(dropped - r.droppedReported)
	r.droppedReported = dropped
	if dropped > r.droppedLogged && now-r.droppedLoggedAt >= dropLogInterval {
		r.opts.Log.Warn("stream_origins_dropped", zap.Int64("records", dropped-r.droppedLogged))
		r.droppedLogged, r.droppedLoggedAt = dropped, now
	}
	return s, now
}

// wait waits for a change, or until a time if it is not 0.
func (r *Records) wait(ctx context.Context, until, now time.Duration) {
	var due <-chan time.Time
	if until > 0 {
		timer := time.NewTimer(until - now)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-r.changed:
	case <-due:
	}
}

func (r *Records) granted(id kv.LeaseID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.granted(r.opts.Now(), id, err)
	if err != nil {
		r.writeFailed.Inc(1)
		r.opts.Log.Info("stream_origin_lease_not_granted", zap.Int("failures", r.machine.failures), telemetry.Error(err))
	}
}

func (r *Records) wrote(records int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := writeAcknowledged
	if err != nil {
		outcome = writeFailed
		if isA[*kv.NotFoundError](err) {
			outcome = writeLeaseMissing
		}
	}
	r.written.Inc(int64(r.machine.written(r.opts.Now(), outcome)))
	if err != nil {
		r.writeFailed.Inc(1)
		r.opts.Log.Info("stream_origins_not_written", zap.Int("records", records), zap.Int("failures", r.machine.failures),
			telemetry.Error(err))
	}
}

package streamorigin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	// updateInterval is how often the VM that keeps the registry compares it with the VM list.
	updateInterval = time.Second
	// firstStartRead is the time after the first start of the whole system at which VMs other than
	// the keeper read the registry, and readJitter the time over which their reads are spread.
	firstStartRead = 4 * time.Second
	readJitter     = 2 * time.Second
)

// TrackerOptions configure a Tracker.
type TrackerOptions struct {
	Options
	VM string
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// Loop is the control loop whose snapshots hold the backend servers and entry VMs.
	Loop *control.Loop
}

// Tracker knows where streams began: by their records, and by the registry of versions where a service
// has one version only.
//
// A stream begins without a record only at a version that is the sole one in the registry and in the
// list of its VM. Any other version is registered before one of its streams passes on an event without
// an acknowledged record, and stays so until its streams can't be taken up any more. So if a stream has
// no record and the registry holds one version, the stream began there; if it holds several, nobody
// knows where. Streams that may live longer than maxUnrecordedLifetime have a record or are unknown.
//
// This holds as long as callers take a stream up within the lifetime with which it began, and no VM list
// lags by more than forgetAge less maxUnrecordedLifetime (75 s) while its VM reaches the store.
//
// BeginIn, ReplaceIn and FindIn are for streams of services. Begin, Find and Record.Replace of the
// embedded Records know nothing of the registry.
type Tracker struct {
	*Records
	opts    TrackerOptions
	started time.Duration
	// OnSecondVersion is called when the VM list shows another version of a service that had one at
	// most, beside it or instead of it. Streams need records from then on, those in progress too. It
	// must be set before RunRegistry, and may call BeginIn.
	OnSecondVersion func(service string)

	// hasEngines is set if the list holds engines. It belongs to RunRegistry.
	hasEngines bool

	mu       sync.Mutex
	registry *registry
}

// NewTracker returns the tracker of a VM. The caller must call Run and RunRegistry.
func NewTracker(o TrackerOptions) *Tracker {
	t := &Tracker{Records: New(o.Options), opts: o, OnSecondVersion: func(string) {}}
	t.started = t.Records.opts.Now()
	delay := time.Duration(0)
	if o.FirstStart {
		delay = firstStartRead
	}
	t.registry = newRegistry(t.started + delay + rand.N(readJitter))
	t.registry.firstStart = o.FirstStart
	return t
}

// unknownVersion stands in records for the version of a server that names none.
const unknownVersion = "\x00unknown"

// NotStoredError reports that a stream can't begin at a version: the store does not take its record, and
// its version may not be in the registry.
type NotStoredError struct{ Version vmlist.SoftwareVersion }

func (e *NotStoredError) Error() string {
	return "streamorigin: the store takes no record of a stream at version " + string(e.Version)
}

// BeginIn is Records.Begin for a stream of a service. It returns nil if the stream needs no record, and a
// *NotStoredError if the stream must not begin.
func (t *Tracker) BeginIn(service, request string, o Origin, lifetime time.Duration) (*Record, error) {
	state := t.registrationState(service, o.Version, lifetime)
	if state == sole || state == registered && o.Version == "" {
		return nil, nil // What the registry says is enough.
	}
	if err := t.mayBegin(state, o.Version); err != nil {
		return nil, err
	}
	record := t.Begin(request, recorded(o), lifetime)
	record.awaitFor(state)
	return record, nil
}

// ReplaceIn is Record.Replace for a stream of a service. It returns a *NotStoredError if the stream must
// not begin at the origin; the record is unchanged then.
func (t *Tracker) ReplaceIn(service string, rec *Record, o Origin, lifetime time.Duration) error {
	state := t.registrationState(service, o.Version, lifetime)
	if err := t.mayBegin(state, o.Version); err != nil {
		return err
	}
	rec.Replace(recorded(o))
	rec.awaitFor(state)
	return nil
}

// registrationState returns what the registry knows of a version at which a stream is to begin.
func (t *Tracker) registrationState(service string, v vmlist.SoftwareVersion, lifetime time.Duration) registrationState {
	era := t.era()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.registry.readAt > 0 {
		t.registry.eraChanged(t.now(), era) // The write of a record may have shown it first.
	}
	return t.registry.registrationState(t.now(), service, v, lifetime)
}

// isKnown reports whether a version in a record is known.
func isKnown(v vmlist.SoftwareVersion) bool { return v != "" && v != unknownVersion }

// recorded returns an origin as records have it.
func recorded(o Origin) Origin {
	if o.Version == "" {
		o.Version = unknownVersion
	}
	return o
}

// mayBegin returns a *NotStoredError if a stream must not begin at a version.
func (t *Tracker) mayBegin(state registrationState, v vmlist.SoftwareVersion) error {
	if state == unregistered && !t.Available() {
		return &NotStoredError{Version: v}
	}
	return nil
}

// ReplaceByUnknown is Replace for a server whose version turns out not to be known. Events may be passed on
// only once the store says so, if it may say otherwise.
func (rec *Record) ReplaceByUnknown(o Origin) {
	o.Version = unknownVersion
	rec.Replace(o)
}

// awaitFor makes Settled wait as a version in the given state requires: until the record is stored, until it is
// stored or a call to the store has failed, or not at all.
func (rec *Record) awaitFor(state registrationState) {
	m := rec.records.machine
	rec.records.mu.Lock()
	defer rec.records.mu.Unlock()
	switch state {
	case unregistered:
		m.requireStored(rec.entry)
	case unread:
		m.preferStored(rec.entry)
	case registered, sole:
	}
}

// FindIn is Records.Find for a stream of a service, of the lifetime with which it began. It calls the store
// once more if there is no record and the registry is to answer: after longer lifetimes than
// maxUnrecordedLifetime, the version may have left it. A record that does not count is not the same as
// none: the stream did not begin at a sole version.
func (t *Tracker) FindIn(ctx context.Context, service, request string, lifetime time.Duration) (Origin, error) {
	o, err := t.Find(ctx, request)
	if err == nil && !isKnown(o.Version) { // As other VMs have it.
		return Origin{}, &UnknownError{Request: request, Recorded: true}
	}
	if unknown, ok := errors.Into[*UnknownError](err); !ok || unknown.Recorded || lifetime > maxUnrecordedLifetime {
		return o, err
	}
	l, readErr := t.opts.Store.ListPage(ctx, RegistryPrefix, kv.Linearizable)
	if readErr != nil {
		return Origin{}, &UnavailableError{Request: request, Cause: readErr}
	}
	v, ok := readRegistry(l).origin(service)
	if !ok || l.Era < t.era() {
		return Origin{}, err
	}
	return Origin{Version: v}, nil
}

func (t *Tracker) now() time.Duration { return t.Records.opts.Now() }

// RunRegistry reads the registry, and keeps it if this VM is to, until ctx ends.
func (t *Tracker) RunRegistry(ctx context.Context) {
	changed := t.opts.Loop.Subscribe()
	var last *control.Snapshot
	for {
		snap := t.opts.Loop.Snapshot()
		if last == nil || !snap.SameBackends(last) {
			t.adopt(snap)
		}
		if last == nil {
			t.EraChanged(kv.Era(snap.Era))
		} else if snap.Era > last.Era {
			t.eraRose(kv.Era(snap.Era))
		}
		last = snap
		wait := t.runDue(ctx, snap)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// adopt takes the versions of the engines from a snapshot, and reports services that have a further one.
func (t *Tracker) adopt(snap *control.Snapshot) {
	t.hasEngines = hasEngines(snap.Backends)
	listed := VersionsOf(snap.Backends)
	t.mu.Lock()
	mixed := t.registry.setListed(t.now(), listed)
	t.mu.Unlock()
	for _, service := range mixed {
		t.Records.opts.Log.Info("software_versions_mixed", zap.String("service", service), zap.Strings("versions", names(listed[service])))
		t.OnSecondVersion(service)
	}
}

func hasEngines(backends map[string]vmlist.VM) bool {
	for _, vm := range backends {
		if vm.Role == vmlist.RoleEngine {
			return true
		}
	}
	return false
}

func names(versions []vmlist.SoftwareVersion) []string {
	out := make([]string, len(versions))
	for i, v := range versions {
		out[i] = string(v)
	}
	return out
}

// eraRose is called when a snapshot shows a later era of the store.
func (t *Tracker) eraRose(era kv.Era) {
	t.EraChanged(era)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.eraChanged(t.now(), era)
}

// runDue makes the calls that are due, and returns when to look again.
func (t *Tracker) runDue(ctx context.Context, snap *control.Snapshot) time.Duration {
	keeper := rendezvous.Owner(RegistryPrefix, snap.EntryVMs) == t.opts.VM
	if !t.hasEngines {
		return updateInterval // Only engines have versions in the registry.
	}
	now := t.now()
	due, at := t.readDue(now, keeper)
	if due {
		t.readRegistry(ctx)
	}
	if keeper {
		t.updateRegistry(ctx)
		return updateInterval
	}
	return max(at-now, 10*time.Millisecond)
}

// readDue is registry.readDue. The keeper's first read does not wait for nextRead unless a read has failed,
// since the others are to read what it writes then.
func (t *Tracker) readDue(now time.Duration, keeper bool) (due bool, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due, at = t.registry.readDue(now)
	isFirst := t.registry.readAt == 0 && !t.registry.readFailed
	return due || keeper && isFirst && now >= t.started+updateInterval, at
}

func (t *Tracker) readRegistry(ctx context.Context) {
	asked := t.now()
	l, err := t.opts.Store.ListPage(ctx, RegistryPrefix, kv.Linearizable)
	if err == nil {
		t.EraChanged(l.Era)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.read(asked, t.now(), l, err)
	if err != nil {
		t.Records.opts.Log.Info("version_registry_not_read", telemetry.Error(err))
	}
}

// updateRegistry writes what is to change in the registry.
func (t *Tracker) updateRegistry(ctx context.Context) {
	t.mu.Lock()
	puts, deletes := t.registry.pendingWrites(t.now())
	t.mu.Unlock()
	if len(puts)+len(deletes) == 0 {
		return
	}
	err := t.opts.Store.Write(ctx, puts, deletes, 0)
	t.mu.Lock()
	t.registry.wrote(t.now(), err)
	t.mu.Unlock()
	t.Records.opts.Log.Info("version_registry_written", zap.Int("registered", len(puts)), zap.Int("removed", len(deletes)), telemetry.Error(err))
}

package quarantine

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// ArchiveKey is the key in the platform's store that holds the rules, for VMs that
// start while no other VM runs.
const ArchiveKey = "quarantine/rules"

// Pauses after failed writes of the archive.
const (
	archivePauseMin = 150 * time.Millisecond
	archivePauseMax = 3 * time.Second
)

// ArchiveStore is the part of the platform's store that holds the rules.
type ArchiveStore interface {
	kv.Getter
	kv.Swapper
}

// archive is what this VM knows of the rules in the store. It belongs to the
// goroutine of KeepArchive.
type archive struct {
	// digest is that of the stored rules, 0 if there are none or they are not known.
	digest   uint64
	revision int64
	// era is the era of the store in which that was known. After its return from a copy the
	// rules may be others, under the same revision.
	era int64
}

// Load adopts the rules of an entry of the store that this VM has read.
func (m *Manager) Load(e kv.Entry) {
	stored := &peerpb.StoredRules{}
	if err := proto.Unmarshal(e.Value, stored); err != nil {
		m.opts.Log.Warn("archive_rejected", zap.Int64("revision", e.Revision), telemetry.Error(err))
		return
	}
	// The age is negative if the clock of this VM is behind that of the writer.
	age := max(time.Since(time.UnixMilli(stored.GetUnixMs())), 0)
	m.post("", func(now time.Duration) Effects {
		return m.node.Receive(now, decode(now-age, &peerpb.Quarantine{Rules: stored.GetRules()}))
	})
}

// KeepArchive writes the rules to the store when they change, until ctx ends. One of
// the VMs does so for all.
func (m *Manager) KeepArchive(ctx context.Context, store ArchiveStore) {
	changed := m.opts.Loop.Subscribe()
	var known archive
	for failures := 0; ; {
		if era := m.opts.Loop.Snapshot().Era; era != known.era {
			known = archive{era: era}
		}
		if !m.mustArchive(known) {
			failures = 0
			select {
			case <-ctx.Done():
				return
			case <-m.changed:
			case <-changed:
			}
			continue
		}
		err := m.writeArchive(ctx, store, &known)
		if err == nil {
			failures = 0
			continue
		}
		m.opts.Log.Info("archive_not_written", telemetry.Error(err))
		failures++
		if !wait.Sleep(ctx, retry.Backoff(failures, archivePauseMin, archivePauseMax)) {
			return
		}
	}
}

// mustArchive reports whether the rules in the store are not those in force, and this
// VM writes them.
func (m *Manager) mustArchive(known archive) bool {
	return m.archiveDigest.Load() != known.digest && rendezvous.Owner(ArchiveKey, m.opts.Loop.Snapshot().EntryVMs) == m.opts.VM
}

// writeArchive writes the rules in force. After a conflict, which another VM caused or
// a write whose answer was lost, it adopts the stored rules and returns the conflict, so
// that the next write has them too: while the writer changes, two VMs may write.
func (m *Manager) writeArchive(ctx context.Context, store ArchiveStore, known *archive) error {
	digest := m.archiveDigest.Load()
	var rules []Rule
	for _, r := range m.view.Load().rules {
		rules = append(rules, r.Rule)
	}
	rules = archived(rules)
	stored := &peerpb.StoredRules{UnixMs: time.Now().UnixMilli()}
	now := boottime.Now()
	for _, r := range rules {
		stored.Rules = append(stored.Rules, encodeRule(now, r))
	}
	value, err := proto.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode rules")
	}
	revision, err := store.CompareAndSwap(ctx, ArchiveKey, value, known.revision, 0)
	if _, ok := errors.Into[*kv.ConflictError](err); ok {
		if readErr := m.readArchive(ctx, store, known); readErr != nil {
			return readErr
		}
	}
	if err != nil {
		return err
	}
	known.digest, known.revision = digest, revision
	m.opts.Log.Info("archive_written", zap.Int("rules", len(rules)), zap.Int64("revision", revision))
	return nil
}

// readArchive adopts the stored rules.
func (m *Manager) readArchive(ctx context.Context, store kv.Getter, known *archive) error {
	entry, err := store.Get(ctx, ArchiveKey)
	if _, removed := errors.Into[*kv.NotFoundError](err); removed {
		known.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	known.revision = entry.Revision
	m.Load(entry)
	return nil
}

package vanillaarch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
)

// Timing of the reads from the platform.
const (
	// roleCheckInterval is the interval between checks whether this VM is a watcher.
	roleCheckInterval = 200 * time.Millisecond
	watchWait         = 25 * time.Second
	watchRetryDelay   = 500 * time.Millisecond
	// listReads limits the concurrent reads of the VM list: each read times out after
	// this many call limits.
	listReads = 3
)

// watchBundle follows the head in the key-value service while this VM is a watcher.
func (s *Server) watchBundle(ctx context.Context) {
	var revision int64
	for ctx.Err() == nil {
		if !s.mesh.readsFromPlatform() {
			revision = 0 // The head may change before this VM is a watcher again.
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		entry, err := s.kv.Watch(ctx, bundle.HeadKey, revision, watchWait)
		if _, ok := errors.Into[*kv.WatchTimeoutError](err); ok {
			continue
		}
		if err == nil {
			var head bundle.Head
			if head, revision, err = bundle.DecodeHead(entry); err == nil {
				err = s.fetchBundle(ctx, head, "watch")
			}
			if err != nil {
				revision = 0 // Read the same head again after the pause.
			}
		}
		if err != nil && !wait.Sleep(ctx, watchRetryDelay) {
			return
		}
	}
}

// readBundleFallback reads the head at a jittered interval, in case neither watches
// nor peers report changes any more.
func (s *Server) readBundleFallback(ctx context.Context) {
	for {
		if !s.waitForFallback(ctx, func() bool { return false }) {
			return
		}
		head, _, err := s.bundles.Head(ctx)
		if err == nil && head.Version > 0 {
			err = s.fetchBundle(ctx, head, "fallback")
		}
		if err != nil {
			s.log.Debug("bundle_fallback_failed", zap.Error(err))
		}
	}
}

// waitForFallback waits for the fallback interval or until the condition holds.
// It returns false when ctx ends. The interval grows with the number of VMs in the
// region, so that the total rate of reads does not. A VM list that arrives during the
// wait is taken into account; otherwise all VMs would read once soon after their start.
func (s *Server) waitForFallback(ctx context.Context, until func() bool) bool {
	begin, jitter := time.Now(), 0.5+rand.Float64()
	for !until() {
		groups := float64(len(s.mesh.regionVMs(s.loop.Snapshot()))) / fallbackGroupSize
		interval := float64(s.cfg.Bundle.FallbackInterval.Std()) * max(1, groups)
		if time.Since(begin) >= time.Duration(interval*jitter) {
			break
		}
		if !wait.Sleep(ctx, roleCheckInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// fetchBundle fetches and verifies the bundle that the head refers to and posts it to
// the control loop.
func (s *Server) fetchBundle(ctx context.Context, head bundle.Head, source string) error {
	snap := s.loop.Snapshot()
	if snap.Bundle != nil && snap.Bundle.Version() >= head.Version {
		return nil
	}
	fetched, err := s.bundles.Fetch(ctx, head, snap.Signed, s.keys)
	if err != nil {
		s.logRejected(head.Version, err)
		return err
	}
	if fetched.DeltaError != nil {
		s.log.Warn("bundle_delta_unfit", zap.Int64("version", head.Version), zap.Error(fetched.DeltaError))
	}
	s.loop.Post(control.BundleReceived{Signed: fetched.Signed, Index: fetched.Index, Source: source})
	return nil
}

// logRejected logs a bundle that failed verification.
func (s *Server) logRejected(version int64, err error) {
	_, untrusted := errors.Into[*bundle.SignatureError](err)
	_, invalid := errors.Into[*bundle.InvalidError](err)
	if untrusted || invalid {
		s.log.Error("bundle_rejected", zap.Int64("version", version), zap.Error(err))
	}
}

// readVMList polls the platform's VM list while this VM is a watcher, and at
// the fallback interval otherwise. When a call exceeds its limit, another one starts,
// but the response of the slow call is still used: otherwise a VM list that always
// responds slowly would leave the VM without updates. If a call just misses a change,
// the next one starts at most one interval later and, if it hangs, another one limit
// later. A change is therefore read after at most the interval plus two limits.
func (s *Server) readVMList(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		begin, contradicts := time.Now(), make(chan bool, 1)
		calls.Go(func() { contradicts <- s.fetchVMList(ctx) })
		limit := time.NewTimer(s.cfg.Platform.VMListCallLimit.Std())
		again := false
		select {
		case <-ctx.Done():
		case <-limit.C:
			s.log.Debug("vm_list_slow", zap.Duration("limit", s.cfg.Platform.VMListCallLimit.Std()))
			continue
		case again = <-contradicts:
			limit.Stop()
		}
		if !wait.Sleep(ctx, s.cfg.Platform.VMListInterval.Std()-time.Since(begin)) {
			return
		}
		due := func() bool { return again || s.mesh.readsFromPlatform() || s.listOverdue(begin) }
		if !s.waitForFallback(ctx, due) {
			return
		}
	}
}

// fetchVMList reads the list once and reports whether the platform returned a lower
// revision than the current one.
func (s *Server) fetchVMList(ctx context.Context) (contradicts bool) {
	known := s.loop.Snapshot().VMs.Revision
	list, err := s.vms.Fetch(ctx, known)
	switch {
	case err != nil:
		s.log.Debug("vm_list_failed", zap.Error(err))
	case list != nil:
		s.loop.Post(control.VMListReceived{List: list, Source: "platform", BaseRevision: known})
		return list.Revision < known
	default:
		s.loop.Post(control.VMListConfirmed{Revision: known})
	}
	return false
}

// listOverdue makes a VM that rejects VM list revisions of peers read from the platform
// at the configured fallback interval, regardless of the size of its region.
func (s *Server) listOverdue(last time.Time) bool {
	return s.loop.Snapshot().VMListCeiling > 0 && time.Since(last) >= s.cfg.Bundle.FallbackInterval.Std()
}

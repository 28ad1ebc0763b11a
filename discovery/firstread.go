package discovery

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// allKeys is the prefix of all keys.
const allKeys = ""

// readFirstPage reads the first page of all keys, so that a starting VM makes one
// call instead of one for each prefix. With a few hundred VMs the page holds all
// keys. It retries until the store answers, and returns the start time of the
// successful read.
func (f *Follower) readFirstPage(ctx context.Context) (asked time.Duration, listing kv.Listing, err error) {
	dependency := newDependency(f.opts.Log, "store")
	var failures backoff
	for ctx.Err() == nil {
		asked = boottime.Now()
		listing, err = f.store.ListPage(ctx, allKeys, kv.Linearizable)
		dependency.record(err)
		f.unreachable.Store(err != nil && !isUnsupportedCall(err))
		if err == nil || isUnsupportedCall(err) {
			break
		}
		f.recordFailedRead(boottime.Now())
		failures.pause(ctx)
	}
	if err != nil {
		f.opts.Log.Warn("first_read_refused", telemetry.Error(err))
		f.start.recordFirstRead(firstRead{})
		return asked, listing, err
	}
	f.applyFirstPage(listing)
	return asked, listing, nil
}

// isUnsupportedCall reports whether the store rejects a call permanently, so that
// retrying it is useless.
func isUnsupportedCall(err error) bool {
	status, ok := errors.Into[*kv.StatusError](err)
	return ok && status.Status < http.StatusInternalServerError && status.Status != http.StatusTooManyRequests
}

// applyFirstPage applies the lists that are complete in the first page. The list
// of entry VMs must contain this VM, so its entry is added if it is not announced
// yet.
func (f *Follower) applyFirstPage(listing kv.Listing) {
	first := firstRead{position: listing.Position()}
	f.passOtherEntries(listing)
	first.servers = f.applySection(f.list.servers, listing)
	// The VM serves as soon as it has a configuration, which may come from a peer.
	f.applyEvacuations(listing, "read")
	vm := f.opts.Self
	vm.Era = int64(listing.Era)
	selfKey, selfValue, err := f.opts.Codec.EncodeVM(vm)
	if err != nil {
		f.opts.Log.Error("own_entry_not_encoded", telemetry.Error(err))
	}
	self := kv.Entry{Key: selfKey, Value: selfValue, Revision: listing.Revision}
	for i, e := range listing.Entries {
		if e.Key == selfKey {
			first.selfRevision = e.Revision
			listing.Entries[i].Value = selfValue
		}
	}
	if first.selfRevision == 0 && err == nil {
		listing.Entries = append(listing.Entries, self)
	}
	first.members = f.applySection(f.list.members, listing)
	f.opts.Log.Info("first_read", zap.Int("entries", len(listing.Entries)), zap.Bool("partial", listing.Partial),
		zap.Bool("servers", first.servers), zap.Bool("members", first.members), zap.Int64("revision", listing.Revision), zap.Int64("era", int64(listing.Era)))
	if first.members {
		f.start.markListed()
	}
	f.start.recordFirstRead(first)
}

// passOtherEntries passes the entries that discovery does not use itself to OnEntry.
func (f *Follower) passOtherEntries(listing kv.Listing) {
	if f.opts.OnEntry == nil {
		return
	}
	c := f.opts.Codec
	for _, e := range listing.Entries {
		used := func(prefix string) bool { return strings.HasPrefix(e.Key, prefix) }
		if !slices.ContainsFunc([]string{c.ConfigPrefix(), c.ServerPrefix(), c.VMPrefix()}, used) {
			f.opts.OnEntry(e)
		}
	}
}

// applySection applies the entries of a prefix if the listing contains all of
// them, and reports whether it does.
func (f *Follower) applySection(s *section, listing kv.Listing) bool {
	if !isComplete(listing, s.prefix) {
		return false
	}
	f.list.replace(s, kv.Listing{Revision: listing.Revision, Era: listing.Era, Entries: entriesWith(listing, s.prefix)})
	return true
}

// isComplete reports whether a listing contains all entries of a prefix.
func isComplete(listing kv.Listing, prefix string) bool {
	last := ""
	for _, e := range listing.Entries {
		last = max(last, e.Key)
	}
	return !listing.Partial || last > prefix && !strings.HasPrefix(last, prefix)
}

// entriesWith returns the entries of a listing whose keys have a prefix.
func entriesWith(listing kv.Listing, prefix string) (entries []kv.Entry) {
	for _, e := range listing.Entries {
		if strings.HasPrefix(e.Key, prefix) {
			entries = append(entries, e)
		}
	}
	return entries
}

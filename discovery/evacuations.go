package discovery

import (
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// applyEvacuations passes the evacuated zones to the control state if a listing contains all of them.
func (f *Follower) applyEvacuations(listing kv.Listing, source string) {
	prefix := f.opts.Codec.EvacuationPrefix()
	if !isComplete(listing, prefix) {
		return
	}
	var zones []evacuation.Zone
	for _, e := range entriesWith(listing, prefix) {
		if zone, ok := f.decodeEvacuation(e); ok {
			zones = append(zones, zone)
		}
	}
	at := evacuation.NewVersion(int64(listing.Era), listing.Revision)
	f.opts.Loop.Post(control.EvacuationsRead{At: at, Zones: zones, Source: source})
}

// applyEvacuationChange passes a change that the watch has reported to the control state if it is
// that of an evacuated zone.
func (f *Follower) applyEvacuationChange(c kv.Change, era kv.Era) {
	if !strings.HasPrefix(c.Key, f.opts.Codec.EvacuationPrefix()) {
		return
	}
	if zone, ok := f.decodeEvacuation(c.Entry); ok {
		at := evacuation.NewVersion(int64(era), c.Revision)
		f.opts.Loop.Post(control.EvacuationChanged{At: at, Zone: zone, Ended: c.Removed, Source: "watch"})
	}
}

// decodeEvacuation decodes an entry. It logs an invalid one once.
func (f *Follower) decodeEvacuation(e kv.Entry) (evacuation.Zone, bool) {
	zone, err := f.opts.Codec.DecodeEvacuation(e)
	if err == nil {
		return evacuation.Zone{Name: zone, Revision: e.Revision}, true
	}
	if f.rejectedEvacuations.add(e.Key) {
		f.opts.Log.Warn("evacuation_rejected", zap.String("key", e.Key), zap.Int64("revision", e.Revision), telemetry.Error(err))
	}
	return evacuation.Zone{}, false
}

// maxLoggedKeys bounds the memory of loggedKeys.
const maxLoggedKeys = 64

// loggedKeys holds the keys of invalid entries that were logged. The zero value is ready to use.
type loggedKeys struct {
	mu   sync.Mutex
	keys map[string]bool
}

// add reports whether a key is new, and adds it.
func (l *loggedKeys) add(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys[key] || len(l.keys) >= maxLoggedKeys {
		return false
	}
	if l.keys == nil {
		l.keys = map[string]bool{}
	}
	l.keys[key] = true
	return true
}

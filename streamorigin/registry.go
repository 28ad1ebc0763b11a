package streamorigin

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/hash"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// RegistryPrefix is that of the keys of the versions in service. It sorts after the other keys of the
// store and before those of records, of which there may be many.
const RegistryPrefix = "zregistry/"

// Times of the registry.
const (
	// maxKnownAge is the age of what a VM has read of the registry from which its streams need
	// records, and refreshAge the age at which it reads it again.
	maxKnownAge = 60 * time.Second
	refreshAge  = 45 * time.Second
	// maxUnrecordedLifetime bounds the lifetime of a stream that begins without a record, and of one for
	// which the registry answers.
	maxUnrecordedLifetime = 45 * time.Second
	// forgetAge is the time without a server of a version after which the version is removed. It covers
	// what another VM has read before, the lifetime of its streams, and the lag of its list.
	forgetAge = maxKnownAge + maxUnrecordedLifetime + 15*time.Second
	// settleAge is the time after a return of the store from a copy, or after the start of the VM that
	// keeps the registry, in which a service without versions in it may have lost some, and streams
	// that began at them may have no record. Another VM may learn of the return late.
	settleAge = forgetAge
	// searchInterval is the time between two reads while the registry lacks a listed version, or
	// holds one that is not listed.
	searchInterval = 15 * time.Second
	// confirmAge is the time for which a version must have been listed before a read that shows it as
	// registered. It covers a removal in progress: the lag of the keeper's list, and a write that the
	// store executes late.
	confirmAge = 10 * time.Second
	// maxUpdateGap is the time between two calls of pendingWrites after which the VM may have missed versions
	// that came and went.
	maxUpdateGap = 10 * time.Second
	// maxVersions bounds the versions of a service that are registered.
	maxVersions = 64
)

// versionSet holds versions of the servers of one service, sorted.
type versionSet []vmlist.SoftwareVersion

// VersionsOf returns the versions of the engines of each service, whatever their state, sorted. An unknown
// version counts as one, and is registered like one: a stream that began there goes on nowhere.
func VersionsOf(backends map[string]vmlist.VM) map[string][]vmlist.SoftwareVersion {
	out := map[string][]vmlist.SoftwareVersion{}
	for _, vm := range backends {
		if vm.Role != vmlist.RoleEngine {
			continue
		}
		for _, service := range vm.Services {
			if !slices.Contains(out[service], vm.SoftwareVersion) {
				out[service] = append(out[service], vm.SoftwareVersion)
			}
		}
	}
	for _, versions := range out {
		slices.Sort(versions)
	}
	return out
}

// registration is the value of a key of the registry.
type registration struct {
	Service string                 `json:"service"`
	Version vmlist.SoftwareVersion `json:"version"`
	// Era is that of the store in which the version was registered. In a later one the registry may
	// lack versions, so the registration does not count.
	Era kv.Era `json:"era,omitempty"`
}

func registryKey(service string, v vmlist.SoftwareVersion) string {
	return fmt.Sprintf("%s%016x/%016x", RegistryPrefix, hash.Pair("service", service), hash.Pair(service, string(v)))
}

// registryContents is what an answer of the store says about versions in service.
type registryContents struct {
	// versions holds the registered versions of each service, and stale those of entries of an earlier
	// era, which don't count.
	versions, stale map[string]versionSet
	// unreadable is set if there are entries that can't be read, or more than in the answer.
	unreadable bool
}

func readRegistry(l kv.Listing) registryContents {
	c := registryContents{map[string]versionSet{}, map[string]versionSet{}, l.Partial}
	for _, e := range l.Entries {
		var r registration
		switch err := json.Unmarshal(e.Value, &r); {
		case err != nil:
			c.unreadable = true
		case r.Era != l.Era:
			c.stale[r.Service] = append(c.stale[r.Service], r.Version)
		default:
			c.versions[r.Service] = append(c.versions[r.Service], r.Version)
		}
	}
	return c
}

// complete reports whether the registry lacks no version of a service that may have begun streams.
func (c registryContents) complete(service string) bool {
	return !c.unreadable && len(c.stale[service]) == 0
}

// origin returns the version at which all streams of a service began that have no record.
func (c registryContents) origin(service string) (v vmlist.SoftwareVersion, ok bool) {
	versions := c.versions[service]
	if !c.complete(service) || len(versions) != 1 {
		return "", false
	}
	return versions[0], versions[0] != ""
}

// registrationState is what a VM knows of a version of a service.
type registrationState int

const (
	// unregistered versions may be missing in the registry, now or before the stream is taken up. Their
	// streams pass on events only once their record is stored.
	unregistered registrationState = iota
	// unread versions are the only listed ones at a VM that has read nothing of the registry, or an empty
	// one. It may hold another version alone, so their streams wait for their record until a call to the
	// store fails.
	unread
	// registered versions are in the registry. Their streams need records, but do not wait for them
	// longer than for a short time: without one nobody knows where they began.
	registered
	// sole versions are the only ones, in the registry and in the list. Their streams need no record:
	// no other version may have begun a stream without one.
	sole
)

// registry is what a VM knows of the versions in service, and decides what it reads and writes. It does
// no network I/O. The current time is always an argument, on one monotonic clock.
type registry struct {
	listed map[string][]vmlist.SoftwareVersion
	// lastListed holds the last versions of each service that was ever listed, also of those without a
	// server now: streams that began before may be in progress.
	lastListed map[string][]vmlist.SoftwareVersion
	// changed holds the services that have had other versions in the list before.
	changed map[string]bool
	// listedSince holds, by key, since when a version is listed.
	listedSince map[string]time.Duration
	// missingSince holds, by key, since when a registered version is not listed while another one is
	// registered. It starts anew after a failed call or a gap: this VM may have been cut off, or may
	// not have kept the registry. missingUpdatedAt is when it was last brought up to date.
	missingSince     map[string]time.Duration
	missingUpdatedAt time.Duration

	known registryContents
	// readAt is when the last successful read began, 0 if there was none, nextRead when the next
	// one may begin.
	readAt, nextRead time.Duration
	// outdated is set if this VM has written to the registry since.
	outdated bool
	// readFailed is set once a read has failed.
	readFailed bool
	// era is that of the last read, and eraSince when this VM first saw it.
	era      kv.Era
	eraSince time.Duration
	// isFirstEra is set if the VM has seen no earlier era.
	isFirstEra bool
	// firstStart is set if the whole system has started for the first time with this VM.
	firstStart bool
}

func newRegistry(firstRead time.Duration) *registry {
	return &registry{
		lastListed: map[string][]vmlist.SoftwareVersion{}, changed: map[string]bool{}, missingSince: map[string]time.Duration{}, nextRead: firstRead, era: kv.NoEra,
	}
}

// setListed adopts the versions of the servers in the VM list. It returns the services that had one
// version at most before, and have another one now, beside it or instead of it: a list may lack the state
// between two others.
func (r *registry) setListed(now time.Duration, listed map[string][]vmlist.SoftwareVersion) (mixed []string) {
	for service, versions := range listed {
		before := r.lastListed[service]
		if len(before) == 0 && len(versions) > 1 || len(before) == 1 && !slices.Equal(versions, before) {
			mixed = append(mixed, service)
		}
		r.changed[service] = r.changed[service] || len(before) > 0 && !slices.Equal(versions, before)
		r.lastListed[service] = versions
	}
	since := map[string]time.Duration{}
	for service, versions := range listed {
		for _, v := range versions {
			key := registryKey(service, v)
			since[key] = now
			if before, ok := r.listedSince[key]; ok {
				since[key] = before
			}
		}
	}
	r.listed, r.listedSince = listed, since
	return mixed
}

// registrationState returns what is known of a version at which a stream is to begin.
func (r *registry) registrationState(now time.Duration, service string, v vmlist.SoftwareVersion, lifetime time.Duration) registrationState {
	if lifetime > maxUnrecordedLifetime {
		return registered // The registry is not asked for such a stream.
	}
	known, listed := r.known.versions[service], r.listed[service]
	if len(known) == 0 && len(listed) == 1 && listed[0] == v {
		if r.isUnchangedSinceFirstStart(service) {
			return registered // No other version can have begun a stream.
		}
		return unread
	}
	if r.readAt == 0 || !slices.Contains(known, v) {
		return unregistered
	}
	if r.known.complete(service) && now-r.readAt < maxKnownAge && len(known) == 1 && len(listed) == 1 && listed[0] == v {
		return sole
	}
	if !r.isConfirmed(service, v) {
		return unregistered
	}
	return registered
}

// isUnchangedSinceFirstStart reports whether the whole system has started for the first time with this VM,
// and the list has shown no other versions of a service since.
func (r *registry) isUnchangedSinceFirstStart(service string) bool {
	return r.firstStart && !r.changed[service]
}

// isConfirmed reports whether a registered version has been listed since confirmAge before the last read,
// or since the read if it was the only one, or is the only one in the list: others that are registered
// have no servers then. One that came back later may have been removed from the registry since.
func (r *registry) isConfirmed(service string, v vmlist.SoftwareVersion) bool {
	since, ok := r.listedSince[registryKey(service, v)]
	if !ok {
		return false
	}
	if len(r.known.versions[service]) == 1 || len(r.listed[service]) == 1 {
		return r.readAt >= since
	}
	return r.readAt-since >= confirmAge
}

// readDue reports whether to read the registry now, and otherwise when to ask again.
func (r *registry) readDue(now time.Duration) (due bool, at time.Duration) {
	next := r.nextRead
	if r.readAt > 0 {
		next = r.readAt + refreshAge
		if !r.matches() {
			next = min(next, r.readAt+searchInterval)
		}
		if r.outdated {
			next = 0
		}
		next = max(next, r.nextRead)
	}
	return now >= next, next
}

// matches reports whether the registry holds the listed versions and no others, as far as is needed.
func (r *registry) matches() bool {
	for service, listed := range r.listed {
		known := slices.Clone(r.known.versions[service])
		slices.Sort(known)
		if !slices.Equal(listed, known) || !r.known.complete(service) {
			return false
		}
		if len(listed) > 1 && slices.ContainsFunc(listed, func(v vmlist.SoftwareVersion) bool { return !r.isConfirmed(service, v) }) {
			return false
		}
	}
	return true
}

// read adopts the answer to a read that began at asked. A failed read is tried again after a pause.
func (r *registry) read(asked, now time.Duration, l kv.Listing, err error) {
	if err != nil {
		r.nextRead, r.readFailed = now+pauseMax, true
		clear(r.missingSince)
		return
	}
	if l.Era < r.era {
		return // It is older than what is known of the store.
	}
	if l.Era > r.era {
		r.isFirstEra = r.era == kv.NoEra
		r.era, r.eraSince = l.Era, asked
	}
	r.known = readRegistry(l)
	r.readAt, r.outdated = asked, false
}

// eraChanged is called when the VM learns the era of the store. What it has read in an earlier one does
// not count.
func (r *registry) eraChanged(now time.Duration, era kv.Era) {
	if era <= r.era {
		return
	}
	r.isFirstEra, r.era, r.eraSince = false, era, now
	r.known, r.readAt, r.nextRead = registryContents{}, 0, now
}

// pendingWrites returns what the VM that keeps the registry is to write: listed versions that are not
// registered, and the keys of those of which no server was listed for forgetAge.
func (r *registry) pendingWrites(now time.Duration) (puts []kv.Put, deletes []string) {
	if r.readAt == 0 || now-r.readAt >= maxKnownAge || r.outdated {
		return nil, nil
	}
	if now-r.missingUpdatedAt > maxUpdateGap {
		clear(r.missingSince)
	}
	r.missingUpdatedAt = now
	return r.unregisteredVersions(now), r.expiredKeys(now)
}

// unregisteredVersions returns the writes of listed versions that are not registered.
func (r *registry) unregisteredVersions(now time.Duration) (puts []kv.Put) {
	for service, listed := range r.listed {
		known := r.known.versions[service]
		// At the first start, streams may have begun at versions that were listed before.
		settled := r.isFirstEra && r.isUnchangedSinceFirstStart(service) || now-r.eraSince >= settleAge
		for _, v := range listed {
			if slices.Contains(known, v) || len(puts) >= batchSize || len(known) >= maxVersions {
				continue
			}
			if len(known) == 0 && !settled {
				// Streams may have begun before the registry was lost. The unknown version stands
				// for theirs, and is removed after forgetAge like any other.
				puts = r.register(puts, service, "")
			}
			puts = r.register(puts, service, v)
		}
	}
	return puts
}

// expiredKeys updates missingSince, and returns the keys of versions of which no server was listed for
// forgetAge.
func (r *registry) expiredKeys(now time.Duration) (keys []string) {
	missing := map[string]time.Duration{}
	for service, known := range r.known.versions {
		candidates := r.known.stale[service]
		if len(known) > 1 { // The last version of a service stays until another one is registered.
			candidates = slices.Concat(known, candidates)
		}
		for _, v := range candidates {
			if slices.Contains(r.listed[service], v) {
				continue
			}
			key := registryKey(service, v)
			since, ok := r.missingSince[key]
			if !ok {
				since = now
			}
			missing[key] = since
			if now-since >= forgetAge && len(keys) < batchSize {
				keys = append(keys, key)
			}
		}
	}
	r.missingSince = missing
	return keys
}

// register adds the write of a registration.
func (r *registry) register(puts []kv.Put, service string, v vmlist.SoftwareVersion) []kv.Put {
	value, err := json.Marshal(registration{Service: service, Version: v, Era: r.era})
	if err != nil {
		return puts // A registration of strings and numbers can always be encoded.
	}
	put := kv.Put{Key: registryKey(service, v), Value: value}
	if slices.ContainsFunc(puts, func(p kv.Put) bool { return p.Key == put.Key }) {
		return puts
	}
	return append(puts, put)
}

// wrote adopts the result of writing what pendingWrites has returned.
func (r *registry) wrote(now time.Duration, err error) {
	r.nextRead = now
	if err != nil {
		r.nextRead = now + pauseMax
		clear(r.missingSince)
	}
	r.outdated = true
}

package ratelimit

import (
	"math"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Rates of cold servers.
const (
	// coldHeadroom is the number of requests that a cold server may get in one second, relative
	// to its rate: those of a second, of the burst and of the lifetime of permits, and a part of
	// those that VMs send without the owner.
	coldHeadroom = 1.5
	// coldBurstTime is the time for which the bucket of a cold server collects tokens beyond
	// the first. A burst as long as burstTime takes up the margin for VMs without the owner.
	coldBurstTime = 0.05
	// coldPermitLifetime is the time within which a permit for a cold server must be used,
	// with an owner or without.
	coldPermitLifetime = 250 * time.Millisecond
)

// Times of cold servers.
const (
	// MaxCold bounds the time for which a server counts as cold.
	MaxCold = time.Hour
	// askedCold is how long an owner counts a server as cold that another VM asked for as a
	// cold one.
	askedCold = time.Second
	// listedPeakRetention is how long the shares of cold servers follow the largest number of
	// listed entry VMs. The entries of VMs that do not reach the store lapse, and the others
	// must not take over their share.
	listedPeakRetention = time.Minute
	// maxColdRecords bounds the records of cold servers.
	maxColdRecords = 1 << 14
)

// ColdRate returns the rate at which requests are sent to a cold server, 0 if there is no
// bound. All VMs together may send rate x ratio + slack requests in any second.
func ColdRate(rate, ratio, slack float64) Rate {
	if !(rate > 0) || !(ratio > 0) {
		return 0
	}
	if !(slack > 0) {
		slack = 0
	}
	allowed := min(rate*ratio+slack, float64(MaxRate))
	return Rate(max(min(rate, (allowed-1)/coldHeadroom), float64(MinRate)))
}

// ColdSource is how a VM has learned that a server is cold.
type ColdSource string

// Sources of cold periods.
const (
	ColdByEntry  ColdSource = "entry"
	ColdByHealth ColdSource = "health"
	// ColdByZone is the source for servers of a zone whose evacuation has ended.
	ColdByZone ColdSource = "zone"
	// ColdByAsk is the source for servers that another VM asked for as cold ones.
	ColdByAsk ColdSource = "ask"
)

// ColdPeriod is a period in which a server counts as cold.
type ColdPeriod struct {
	Server serverstate.Server
	// Remaining is the time until its end, 0 if it has been ended.
	Remaining time.Duration
	Rate      Rate
	Source    ColdSource
}

// coldRecord is what a Table knows of the cold periods of a server.
type coldRecord struct {
	incarnation int64
	// rate is 0 if there is no bound any more.
	rate Rate
	// since is the beginning of the latest period. It ends at the later of entryUntil, which the
	// entry of the server names, and markedUntil.
	since, entryUntil, markedUntil time.Duration
	// entry is the cold time in the entry last adopted, if seen is set. Its RemainingMS is 0 once
	// the current list has the server without a cold time.
	entry vmlist.Cold
	seen  bool
	// listedAt is when the server was last known to be listed, or the record was added.
	listedAt time.Duration
}

func (r *coldRecord) until() time.Duration { return max(r.entryUntil, r.markedUntil) }

// extend begins a period, or makes the present one end later.
func (r *coldRecord) extend(now time.Duration, until *time.Duration, d time.Duration) {
	if now >= r.until() {
		r.since = now
	}
	*until = max(*until, now+min(max(d, 0), MaxCold))
}

// coldTable holds the cold servers. Its methods need the lock of the Table.
type coldTable struct {
	records map[string]*coldRecord
}

// find returns the record of a start of a server, nil if there is none.
func (c *coldTable) find(s serverstate.Server) *coldRecord {
	r := c.records[s.ID]
	if r == nil || r.incarnation != s.Incarnation && r.incarnation != 0 && s.Incarnation != 0 {
		return nil
	}
	return r
}

// at returns the record of a server that is cold at a time, nil if it is not.
func (c *coldTable) at(now time.Duration, s serverstate.Server) *coldRecord {
	if r := c.find(s); r != nil && r.isCold(now) {
		return r
	}
	return nil
}

func (r *coldRecord) isCold(now time.Duration) bool { return r.rate > 0 && now < r.until() }

// add returns the record of a server, which it adds if there is none. It returns nil if
// there is no room, or if a later start of the server is known.
func (c *coldTable) add(now time.Duration, s serverstate.Server) *coldRecord {
	if r := c.find(s); r != nil {
		return r
	}
	other, replaces := c.records[s.ID]
	if s.ID == "" || len(s.ID) > maxIDBytes || replaces && other.incarnation > s.Incarnation || !replaces && len(c.records) >= maxColdRecords {
		return nil
	}
	r := &coldRecord{incarnation: s.Incarnation, listedAt: now}
	if c.records == nil {
		c.records = map[string]*coldRecord{}
	}
	c.records[strings.Clone(s.ID)] = r
	return r
}

// nextEnd returns the earliest end of a period after a time.
func (c *coldTable) nextEnd(now time.Duration) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range c.records {
		if until := r.until(); until > now {
			next = min(next, until)
		}
	}
	return next
}

// AdoptColdEntry adopts the cold time in the entry of a server, before the entry is used. It
// returns the new period, and false if the entry brings nothing new. rate is that of cold servers
// of the service. listed is set if the entry is that of the current list; an entry that is older
// than the list must not start a period.
func (t *Table) AdoptColdEntry(now time.Duration, s serverstate.Server, c vmlist.Cold, rate Rate, listed bool) (ColdPeriod, bool) {
	if rate <= 0 || t.knowsColdEntry(s, c) {
		return ColdPeriod{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cold.add(now, s)
	if r == nil || r.matchesEntry(c) || r.seen && !listed && c.Revision <= r.entry.Revision {
		return ColdPeriod{}, false
	}
	r.seen, r.entry, r.rate, r.entryUntil = true, c, rate, min(r.entryUntil, now)
	r.extend(now, &r.entryUntil, time.Duration(min(c.RemainingMS, MaxCold.Milliseconds()))*time.Millisecond)
	t.coldChanged(now)
	return ColdPeriod{Server: s, Remaining: r.until() - now, Rate: rate, Source: ColdByEntry}, true
}

// matchesEntry reports whether the entry last adopted has the given cold time.
func (r *coldRecord) matchesEntry(c vmlist.Cold) bool { return r.seen && r.entry == c }

// knowsColdEntry reports whether AdoptColdEntry has nothing to change. It takes a read lock only,
// since it is called for each request to a server with a cold time.
func (t *Table) knowsColdEntry(s serverstate.Server, c vmlist.Cold) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.cold.find(s)
	return r != nil && r.matchesEntry(c)
}

// EndCold adopts that the entry of a server in the current list has no cold time.
// It returns true if that ends a period.
func (t *Table) EndCold(now time.Duration, s serverstate.Server) bool {
	if t.coldSize.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cold.find(s)
	if r == nil || !r.seen || r.entry.RemainingMS == 0 {
		return false
	}
	r.entry.RemainingMS = 0
	wasCold := now < r.until()
	r.entryUntil = min(r.entryUntil, now)
	t.coldChanged(now)
	return wasCold && now >= r.until()
}

// MarkCold makes a server count as cold for a time from now on, whatever its entry says. It
// returns the period, and whether the server was not cold before.
func (t *Table) MarkCold(now time.Duration, s serverstate.Server, d time.Duration, rate Rate, source ColdSource) (ColdPeriod, bool) {
	if rate <= 0 || d <= 0 {
		return ColdPeriod{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.cold.add(now, s)
	if r == nil || now+min(d, MaxCold) <= r.until() {
		return ColdPeriod{}, false
	}
	begins := now >= r.until()
	r.rate = rate
	r.extend(now, &r.markedUntil, d)
	t.coldChanged(now)
	return ColdPeriod{Server: s, Remaining: r.until() - now, Rate: rate, Source: source}, begins
}

// SetColdRates changes the rates of the cold servers. rate returns that of a server, 0 if it
// has none any more.
func (t *Table) SetColdRates(now time.Duration, rate func(serverstate.Server) Rate) {
	if t.coldSize.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.cold.records {
		r.rate = rate(serverstate.Server{ID: id, Incarnation: r.incarnation})
	}
	t.coldChanged(now)
}

// ColdServers returns the number of servers that are cold.
func (t *Table) ColdServers(now time.Duration) int {
	if t.coldSize.Load() == 0 {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, r := range t.cold.records {
		if r.isCold(now) {
			n++
		}
	}
	return n
}

// coldChanged must be called with the lock held after a change of the cold records.
func (t *Table) coldChanged(now time.Duration) {
	t.coldEnd.Store(int64(t.cold.nextEnd(now)))
	t.coldSize.Store(int64(len(t.cold.records)))
	t.changed()
}

// expireCold processes the ends of cold periods.
func (t *Table) expireCold(now time.Duration) {
	if t.coldSize.Load() == 0 || now < time.Duration(t.coldEnd.Load()) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldChanged(now)
}

// retainCold removes the records of servers that are not cold and have not been listed for
// unlistedRetention.
func (t *Table) retainCold(now time.Duration, live []serverstate.Server) {
	for _, s := range live {
		if r := t.cold.find(s); r != nil {
			r.listedAt = now
		}
	}
	for id, r := range t.cold.records {
		if now >= r.until() && now-r.listedAt > unlistedRetention {
			delete(t.cold.records, id)
		}
	}
	t.coldChanged(now)
}

// Effective is the rate at which requests may be sent to a server.
type Effective struct {
	Rate Rate
	// Cold is set if the server is cold, since ColdSince.
	Cold      bool
	ColdSince time.Duration
}

// lifetime returns the time within which a permit must be used.
func (e Effective) lifetime() time.Duration {
	if e.Cold {
		return coldPermitLifetime
	}
	return PermitLifetime
}

// Effective returns the rate of a server: the lower one of the limit that it names and, while
// it is cold, that of cold servers. It returns false if the server has neither.
func (t *Table) Effective(now time.Duration, s serverstate.Server) (Effective, bool) {
	if t.Empty() {
		return Effective{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var e Effective
	r := t.find(s)
	limited := r != nil && r.limit.Named
	if limited {
		e.Rate = r.limit.Rate
	}
	cold := t.cold.at(now, s)
	if cold == nil {
		return e, limited
	}
	e.Cold, e.ColdSince = true, cold.since
	if !limited || cold.rate < e.Rate {
		e.Rate = cold.rate
	}
	return e, true
}

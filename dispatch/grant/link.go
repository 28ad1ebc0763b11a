package grant

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// link is the state of a frontend for one dispatcher.
type link struct {
	vm string
	// unansweredSince is when the oldest unanswered message was sent, zero if none.
	unansweredSince time.Time
	silent          bool

	keepaliveNumber uint64
	keepaliveAt     time.Time
	syncAt          time.Time
	// needsSync reports that the dispatcher may hold state of this VM. It is
	// cleared when the dispatcher acknowledges a complete keepalive without
	// entries, whose number is emptyKeepalive.
	needsSync      bool
	emptyKeepalive uint64
	// declared holds the groups for which this VM has declared its grants.
	declared map[string]bool
	finished []streamProgress
}

func (f *frontend) link(vm string) *link {
	l := f.links[vm]
	if l == nil {
		l = &link{vm: vm, declared: map[string]bool{}}
		f.links[vm] = l
	}
	return l
}

// requireSync makes complete keepalives continue until the dispatcher acknowledges
// a later one without entries.
func (l *link) requireSync() { l.needsSync, l.emptyKeepalive = true, 0 }

func (l *link) expectResponse(now time.Time) {
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
}

func (l *link) overdue(now time.Time, limit time.Duration) bool {
	return !l.silent && !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= limit
}

// settled reports whether the dispatcher needs no further message.
func (l *link) settled() bool { return !l.needsSync && len(l.finished) == 0 }

// recordContact marks a dispatcher as responsive. Any message counts as a response.
func (f *frontend) recordContact(vm string) {
	l := f.links[vm]
	if l == nil {
		return
	}
	l.unansweredSince = time.Time{}
	if l.silent {
		l.silent = false
		f.declarationDue = true
		f.m.opts.Log.Info("dispatcher_responds", zap.String("peer", vm))
	}
}

// keepalives sends keepalives to the dispatchers that need one.
func (f *frontend) keepalives() {
	hasWaiting := map[string]bool{}
	for _, r := range f.waiting {
		hasWaiting[r.dispatcherVM] = true
	}
	for vm, l := range f.links {
		// This VM needs no proof of its own liveness, but its dispatcher may hold
		// grants that have since been declared to another VM.
		self := vm == f.m.opts.VM
		if !self && !f.m.view.entryVMs[vm] && !f.owns(vm) {
			continue
		}
		complete := l.needsSync && !l.silent && f.m.now.Sub(l.syncAt) >= syncInterval
		if complete || !self && (hasWaiting[vm] || l.silent) && f.m.now.Sub(l.keepaliveAt) >= keepaliveInterval {
			f.keepalive(l, complete)
		}
	}
}

func (f *frontend) keepalive(l *link, complete bool) {
	l.keepaliveNumber++
	l.keepaliveAt = f.m.now
	k := &peerpb.Keepalive{Number: l.keepaliveNumber, Complete: complete}
	if complete {
		l.syncAt = f.m.now
		f.listEntries(l, k)
	}
	if f.m.send(l.vm, &peerpb.Dispatch{Message: &peerpb.Dispatch_Keepalive{Keepalive: k}}) == nil {
		l.expectResponse(f.m.now)
	}
}

// listEntries adds the requests and grants that the dispatcher should hold for this VM.
func (f *frontend) listEntries(l *link, k *peerpb.Keepalive) {
	k.Waiting = f.waitingSequences(func(r *request) bool { return r.dispatcherVM == l.vm })
	for s, t := range f.held {
		if t.knownBy == l.vm {
			k.Held = append(k.Held, s)
		}
	}
	slices.Sort(k.Held)
	if l.emptyKeepalive = 0; len(k.Waiting)+len(k.Held) == 0 {
		l.emptyKeepalive = l.keepaliveNumber
		return
	}
	k.Base = min(firstOrMax(k.Waiting), firstOrMax(k.Held))
	k.Waiting, k.Held = deltaEncode(k.Base, k.Waiting), deltaEncode(k.Base, k.Held)
}

// firstOrMax returns the first of sorted sequences, or the maximum value if there
// are none.
func firstOrMax(sequences []uint64) uint64 {
	if len(sequences) == 0 {
		return ^uint64(0)
	}
	return sequences[0]
}

// acknowledged handles the answer to a keepalive.
func (f *frontend) acknowledged(from string, b *peerpb.KeepaliveAck) {
	l := f.link(from)
	if l.emptyKeepalive != 0 && b.Number == l.emptyKeepalive && !b.Unlisted {
		l.emptyKeepalive, l.needsSync = 0, false
	}
	for _, s := range b.Unknown {
		if t := f.held[s]; t != nil && t.knownBy == from {
			t.knownBy = ""
			f.declarationDue = true
		}
	}
	if f.declarationDue {
		// Declarations precede requests. Otherwise the dispatcher would grant
		// capacity that is already in use.
		f.declareAll()
	}
	for _, s := range b.Unknown {
		if r := f.waiting[s]; r != nil && r.dispatcherVM == from {
			delete(f.waiting, s)
			f.route(r)
		}
	}
}

// reportFirstTokens reports streams as soon as they have their first token, which
// ends the processing of the prompt on the engine.
func (f *frontend) reportFirstTokens() {
	due := map[string]bool{}
	for _, t := range f.held {
		if t.knownBy != "" && t.reportedTokens == 0 && t.tokens.Load() > 0 {
			due[t.knownBy] = true
		}
	}
	for vm := range due {
		if l := f.link(vm); !l.silent {
			f.flush(l)
		}
	}
}

// reportProgress sends a progress batch to each dispatcher with streams that are due.
func (f *frontend) reportProgress() {
	due := map[string]bool{}
	for _, t := range f.held {
		if t.knownBy != "" && t.due() {
			due[t.knownBy] = true
		}
	}
	for vm := range due {
		if l := f.link(vm); !l.silent {
			f.flush(l)
		}
	}
}

// flush sends the progress of all due and finished streams of a dispatcher.
func (f *frontend) flush(l *link) {
	reports := l.finished
	l.finished = nil
	for _, t := range f.held {
		if t.knownBy == l.vm && t.due() {
			reports = append(reports, t.takeReport())
		}
	}
	if len(reports) == 0 {
		return
	}
	// The next complete keepalive recovers a lost release.
	_ = f.m.send(l.vm, &peerpb.Dispatch{Message: &peerpb.Dispatch_Progress{Progress: encodeProgress(reports)}})
}

// declareAll declares to each dispatcher the grants that it may not know.
func (f *frontend) declareAll() {
	f.declarationDue = false
	grants := map[*group][]*ticket{}
	missing := map[*group]bool{}
	for _, t := range f.held {
		if g := f.groupOf(t); g != nil {
			grants[g] = append(grants[g], t)
			missing[g] = missing[g] || t.knownBy != g.owner || t.group != g.name
		}
	}
	f.unreported = slices.DeleteFunc(f.unreported, func(t *ticket) bool { return f.groupOf(t) == nil })
	for _, t := range f.unreported {
		g := f.groupOf(t)
		grants[g], missing[g] = append(grants[g], t), true
	}
	for _, g := range f.m.view.groups {
		l := f.link(g.owner)
		if !missing[g] && (l.declared[g.name] || g.region != f.m.opts.Region) {
			continue
		}
		if l.silent || !f.declare(l, g, grants[g]) {
			f.declarationDue = f.declarationDue || !l.silent // recordContact sets it again
		}
	}
	f.reportReleased()
}

// groupOf returns the group of the engine of a ticket, nil if there is none any more.
func (f *frontend) groupOf(t *ticket) *group {
	if g := f.m.view.groupOf[modelEngine{t.admissionRequest.Model, t.target.ID}]; g != nil {
		return g
	}
	return f.m.view.groups[t.group] // engine is leaving
}

// reportReleased reports the released tickets of a bypass that have been declared.
func (f *frontend) reportReleased() {
	due := map[*link]bool{}
	f.unreported = slices.DeleteFunc(f.unreported, func(t *ticket) bool {
		if t.knownBy == "" {
			return false
		}
		l := f.link(t.knownBy)
		l.finished = append(l.finished, streamProgress{sequence: t.sequence, tokens: int(t.tokens.Load()), finished: true})
		due[l] = true
		return true
	})
	for l := range due {
		f.flush(l)
	}
}

func (f *frontend) declare(l *link, g *group, tickets []*ticket) bool {
	slices.SortFunc(tickets, func(a, b *ticket) int { return cmp.Compare(a.sequence, b.sequence) })
	d := &peerpb.Declare{Grants: make([]*peerpb.HeldGrant, 0, len(tickets))}
	for _, t := range tickets {
		d.Grants = append(d.Grants, encodeHeld(t))
	}
	if f.m.send(l.vm, &peerpb.Dispatch{Group: g.name, Message: &peerpb.Dispatch_Declare{Declare: d}}) != nil {
		return false
	}
	l.declared[g.name] = true
	for _, t := range tickets {
		t.knownBy, t.group = l.vm, g.name
	}
	if len(tickets) > 0 {
		l.requireSync()
	}
	return true
}

// declareRequested handles the request of a dispatcher that took over a group.
func (f *frontend) declareRequested(from, name string) {
	g := f.m.view.groups[name]
	if g == nil || g.owner != from {
		return // declared once this VM learns of the move
	}
	l := f.link(from)
	delete(l.declared, name)
	// A restarted dispatcher has lost the waiting requests too.
	l.syncAt = time.Time{}
	f.declareAll()
}

// forgetDeclarations removes the declarations to dispatchers that no longer own the
// group, so that a later return causes a new one.
func (f *frontend) forgetDeclarations() {
	for vm, l := range f.links {
		for name := range l.declared {
			if g := f.m.view.groups[name]; g == nil || g.owner != vm {
				delete(l.declared, name)
			}
		}
	}
}

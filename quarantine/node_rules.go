package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Rules returns the rules in force.
func (n *Node) Rules() []Rule {
	out := make([]Rule, 0, len(n.rules))
	for _, r := range n.rules {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rule) int { return cmp.Compare(a.id(), b.id()) })
	return out
}

// versionShift keeps versions apart from activations in the digest.
const versionShift = 16

// Digest identifies the rules in force. It is 0 if there are none.
func (n *Node) Digest() uint64 { return digestOf(n.Rules()) }

// digestOf identifies rules, in any order.
func digestOf(rules []Rule) uint64 {
	var digest uint64
	for _, r := range rules {
		digest ^= r.id() * uint64(2*(r.Activations+r.Version<<versionShift)+1)
	}
	return digest
}

// StartProbe records that a request of this VM is the probe of a rule, and tells the peers.
// It reports false if the request must not be sent, since the rule is not as it was.
func (n *Node) StartProbe(now time.Duration, p probe) (Effects, bool) {
	var e Effects
	r, held := n.rules[p.rule]
	held = held && r.Activations == p.activations && r.Version == p.version && r.hasProbe() && now >= n.probeAt(r)
	if held {
		n.change(r.probeStarted(now), &e)
	}
	n.check(now, &e)
	return e, held
}

// Refused records the last refusal of the rule with an id. It is kept as long as it refuses
// requests.
func (n *Node) Refused(rule uint64, at time.Duration) {
	if r, held := n.rules[rule]; held {
		r.Used = max(r.Used, at)
		n.rules[rule] = r
	}
}

// change stores a changed rule and sends it.
func (n *Node) change(r Rule, e *Effects) {
	n.rules[r.id()] = r
	e.Renewed = append(e.Renewed, r)
	e.Send.Rules = append(e.Send.Rules, r)
	e.Changed = true
}

// applyProbeFailure renews the rules whose probe has crashed a server.
func (n *Node) applyProbeFailure(now time.Duration, f Failure, e *Effects) {
	for _, r := range n.rules {
		ofProbe := f.At >= r.Until || r.Started != 0 && f.At >= r.Started
		if ofProbe && r.matches(f.Keys) {
			n.change(r.probeFailed(now), e)
		}
	}
}

// archived returns the rules that outlive a fleet that stops: not mere suspicions.
func archived(rules []Rule) []Rule { return slices.DeleteFunc(rules, Rule.suspects) }

// receiveRule adopts the rule of a peer if it is newer. If a part or request of the rule has
// succeeded since, it answers with the success.
func (n *Node) receiveRule(now time.Duration, r Rule, e *Effects) {
	if len(r.Keys) == 0 || len(r.Keys) > maxKeys || !slices.IsSorted(r.Keys) || now > r.expiresAt() {
		return
	}
	for _, key := range r.Keys {
		if s, _ := n.table(key).Peek(key); n.succeededAfter(key, r.Since) {
			e.Reply.Successes = append(e.Reply.Successes, Success{Key: key, At: s.at})
		}
	}
	if len(e.Reply.Successes) > 0 {
		return
	}
	known, held := n.rules[r.id()]
	if held && !r.supersedes(known) {
		n.Refused(r.id(), r.Used)
		return
	}
	if held {
		r.Spent, r.Used = max(r.Spent, known.Spent), max(r.Used, known.Used)
	}
	if held && known.suspects() == r.suspects() {
		n.change(r, e)
		return
	}
	n.addRule(r, e)
}

// addRule adds a rule and sends it.
func (n *Node) addRule(r Rule, e *Effects) {
	if !n.putRule(r) {
		return
	}
	e.Added = append(e.Added, r)
	e.Send.Rules = append(e.Send.Rules, r)
	e.Changed = true
}

// putRule stores a rule and reports whether it holds. If there are too many, one of the
// organisation with most rules makes room: a suspicion rather than a quarantine, then the
// one that has not been used for longest.
func (n *Node) putRule(r Rule) bool {
	n.invalidate()
	n.rules[r.id()] = r
	if len(n.rules) <= maxRules {
		return true
	}
	victim := n.ruleToDrop()
	delete(n.rules, victim)
	return victim != r.id()
}

// ruleToDrop returns the id of the rule that makes room for others.
func (n *Node) ruleToDrop() uint64 {
	counts := map[uint32]int{}
	for _, r := range n.rules {
		counts[r.Organisation]++
	}
	var victim uint64
	for id, r := range n.rules {
		v, some := n.rules[victim]
		before := cmp.Or(
			cmp.Compare(counts[v.Organisation], counts[r.Organisation]),
			compareBool(v.suspects(), r.suspects()),
			cmp.Compare(r.Used, v.Used),
			cmp.Compare(id, victim),
		)
		if !some || before < 0 {
			victim = id
		}
	}
	return victim
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// addDueRules adds the rules that the failures require.
func (n *Node) addDueRules(now time.Duration, e *Effects) {
	crashes := crashesOf(n.failures)
	requestsDueAt := n.addDueRequests(now, crashes, e)
	due, partsDueAt := n.diagnose(now, crashes)
	n.dueAt = earliest(requestsDueAt, partsDueAt)
	n.stale = false
	for _, d := range due {
		r := Rule{Keys: d.parts, Since: d.since, Until: now + quarantineDuration(1), Activations: 1, Organisation: d.organisation, Used: now}
		if _, held := n.rules[r.id()]; !held {
			n.addRule(r, e)
		}
	}
}

// earliest returns the earlier of two times, of which 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

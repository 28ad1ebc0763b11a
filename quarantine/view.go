package quarantine

import (
	"fmt"
	"iter"
	"slices"
	"sync/atomic"
	"time"
)

// View is an immutable copy of the rules for the request path. Only its probes are taken.
type View struct {
	rules []viewRule
	// byKey lists the rules that name a key.
	byKey map[Key][]int
	// suspects are the parts whose failed runs are not repeated, and the whole requests that
	// are refused even before there is a rule.
	suspects map[Key]bool
	// crashed lists the servers that have crashed under a whole request since its last
	// success.
	crashed map[Key][]uint32
}

type viewRule struct {
	Rule
	// probe admits one request while this VM may start the probe of the rule, nil
	// otherwise.
	probe *atomic.Bool
	// refusedAt is the time of the last refusal, nil if that is not recorded.
	refusedAt *atomic.Int64
}

// RefusedError reports a request that is not sent to a backend server, since the same
// request, or others with the same prompt parts, have crashed several.
type RefusedError struct {
	// Request is set if the rule names the whole request, not parts of its prompt.
	Request bool
	// Suspected is set if the request has crashed too few servers to be quarantined. It is
	// probed within seconds.
	Suspected bool
	// Parts is the number of parts of the prompt that the rule names, 1 for a whole request.
	Parts int
	// RetryAfter is the time until the rule is probed.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	if e.Request {
		return fmt.Sprintf("the same request has crashed backend servers; refused for %v", e.RetryAfter.Round(time.Second))
	}
	return fmt.Sprintf("requests with the same %d parts of the prompt have crashed engines; refused for %v", e.Parts, e.RetryAfter.Round(time.Second))
}

// newView returns the view of a node. probeOf returns the probe of an expired rule, nil
// if this VM may not start it now.
func newView(n *Node, now time.Duration, probeOf func(Rule) *atomic.Bool) *View {
	v := &View{byKey: map[Key][]int{}, suspects: map[Key]bool{}, crashed: map[Key][]uint32{}}
	for i, rule := range n.Rules() {
		x := viewRule{Rule: rule}
		if now >= rule.Until && rule.hasProbe() {
			x.probe = probeOf(rule)
		}
		v.rules = append(v.rules, x)
		for _, key := range rule.Keys {
			v.byKey[key] = append(v.byKey[key], i)
		}
	}
	v.addSuspects(n, now)
	return v
}

// addSuspects adds what the failures say beside the rules.
func (v *View) addSuspects(n *Node, now time.Duration) {
	crashes := crashesOf(n.failures)
	for key, s := range n.suspicions(now, crashes, nil, isPart) {
		if len(s.separateCrashes()) >= suspectCrashes {
			v.suspects[key] = true
		}
	}
	for key, s := range n.suspicions(now, crashes, nil, Key.IsWhole) {
		for c := range s.crashes {
			v.crashed[key] = append(v.crashed[key], c.server)
		}
	}
	for _, s := range n.suspectedRequests(now, crashes) {
		v.suspects[s.key] = true
	}
}

// isNamed reports whether a failure or a rule names a whole request, so that its success
// changes something.
func (v *View) isNamed(whole Key) bool { return len(v.crashed[whole]) > 0 || len(v.byKey[whole]) > 0 }

// check returns a *RefusedError if a rule matches a request, or several crashes speak
// against it. The request becomes the probe of a rule that offers one, and passes this rule
// from then on.
func (v *View) check(now time.Duration, r *Request) error {
	for rule := range v.matching(r) {
		if rule.probe == nil || !rule.probe.CompareAndSwap(false, true) {
			return rule.refusal(now)
		}
		r.probes = append(r.probes, probeOf(rule.Rule))
	}
	return v.refusalBeforeRule(r)
}

// refusal returns a *RefusedError if a rule matches a request and offers no probe.
func (v *View) refusal(now time.Duration, r *Request) error {
	for rule := range v.matching(r) {
		if rule.probe == nil {
			return rule.refusal(now)
		}
	}
	return v.refusalBeforeRule(r)
}

// refusalBeforeRule returns a *RefusedError for a request that several crashes speak against,
// and on which there is no rule yet.
func (v *View) refusalBeforeRule(r *Request) error {
	if r.Whole == 0 || !v.suspects[r.Whole] || len(v.byKey[r.Whole]) > 0 {
		return nil
	}
	return &RefusedError{Request: true, Suspected: true, Parts: 1, RetryAfter: minProbeInterval}
}

// matching returns the rules that match a request, except those that it probes.
func (v *View) matching(r *Request) iter.Seq[viewRule] {
	return func(yield func(viewRule) bool) {
		if len(v.rules) == 0 {
			return
		}
		keys := r.keys()
		for _, key := range keys {
			for _, i := range v.byKey[key] {
				rule := v.rules[i]
				if rule.matches(keys) && !r.isProbeOf(rule) && !yield(rule) {
					return
				}
			}
		}
	}
}

// refusal records a refusal by the rule and returns it.
func (r viewRule) refusal(now time.Duration) error {
	if r.refusedAt != nil {
		r.refusedAt.Store(int64(now))
	}
	retryAfter := max(r.Until-now, probeRound)
	switch {
	case r.suspects() && r.hasProbe():
		retryAfter = max(r.Until-now, minProbeInterval)
	case !r.hasProbe():
		retryAfter = maxDuration
	}
	return &RefusedError{Request: r.onRequest(), Suspected: r.suspects(), Parts: len(r.Keys), RetryAfter: retryAfter}
}

// mayRepeat reports whether a request that has failed may be sent to another server. A
// probe may not, nor a request with a part that several crashes make suspect, nor one
// that has crashed another server, in this run or another one.
func (v *View) mayRepeat(r *Request) bool {
	if len(r.probes) > 0 || slices.ContainsFunc(r.Parts, func(part Key) bool { return v.suspects[part] }) {
		return false
	}
	if r.Whole == 0 {
		return true
	}
	inOtherRun := func(server uint32) bool { return !slices.Contains(r.crashed, server) }
	return len(r.crashed) <= 1 && !slices.ContainsFunc(v.crashed[r.Whole], inOtherRun)
}

// probe identifies the probe of a rule. version is that before its start.
type probe struct {
	rule        uint64
	activations int
	version     int
	onRequest   bool
}

// isProbeOf reports whether the request is the probe of a rule, before or after the rule
// shows its start.
func (r *Request) isProbeOf(rule viewRule) bool {
	id := rule.id()
	return slices.ContainsFunc(r.probes, func(p probe) bool {
		return p.rule == id && p.activations == rule.Activations && (rule.Version == p.version || rule.Version == p.version+1)
	})
}

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
	// byPart lists the rules that name a part.
	byPart map[PartID][]int
	// suspects are the parts whose failed runs are not repeated.
	suspects map[PartID]bool
}

type viewRule struct {
	Rule
	// probe admits one request while this VM may start the probe of the rule, nil
	// otherwise.
	probe *atomic.Bool
}

// RefusedError reports a request that is not sent to an engine, since requests with the
// same prompt parts have crashed several.
type RefusedError struct {
	// Request is set if the rule names the whole request, not parts of its prompt.
	Request bool
	// Parts is the number of parts that the rule names.
	Parts int
	// RetryAfter is the time until the rule is probed.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("requests with the same %d parts of the prompt have crashed engines; refused for %v", e.Parts, e.RetryAfter.Round(time.Second))
}

// newView returns the view of a node. probeOf returns the probe of an expired rule, nil
// if this VM may not start it now.
func newView(n *Node, now time.Duration, probeOf func(Rule) *atomic.Bool) *View {
	v := &View{byPart: map[PartID][]int{}, suspects: map[PartID]bool{}}
	for i, rule := range n.Rules() {
		x := viewRule{Rule: rule}
		if now >= rule.Until {
			x.probe = probeOf(rule)
		}
		v.rules = append(v.rules, x)
		for _, part := range rule.Parts {
			v.byPart[part] = append(v.byPart[part], i)
		}
	}
	for part, s := range n.suspicions(now, crashesOf(n.failures), nil) {
		if len(s.separateCrashes()) >= suspectCrashes {
			v.suspects[part] = true
		}
	}
	return v
}

// check returns a *RefusedError if a rule matches a prompt. The request becomes the probe
// of a rule that offers one, and passes this rule from then on.
func (v *View) check(now time.Duration, p *Request) error {
	for rule := range v.matching(p) {
		if rule.probe == nil || !rule.probe.CompareAndSwap(false, true) {
			return rule.refusal(now)
		}
		p.probes = append(p.probes, probe{key: rule.key(), activations: rule.Activations})
	}
	return nil
}

// refusal returns a *RefusedError if a rule matches a prompt and offers no probe.
func (v *View) refusal(now time.Duration, p *Request) error {
	for rule := range v.matching(p) {
		if rule.probe == nil {
			return rule.refusal(now)
		}
	}
	return nil
}

// matching returns the rules that match a prompt, except those that the request probes.
func (v *View) matching(p *Request) iter.Seq[viewRule] {
	return func(yield func(viewRule) bool) {
		if len(v.rules) == 0 {
			return
		}
		for _, part := range p.Parts {
			for _, i := range v.byPart[part] {
				rule := v.rules[i]
				if rule.matches(p.Parts) && !p.isProbeOf(rule) && !yield(rule) {
					return
				}
			}
		}
	}
}

func (r viewRule) refusal(now time.Duration) error {
	return &RefusedError{Parts: len(r.Parts), RetryAfter: max(r.Until-now, probeRound)}
}

// mayRepeat reports whether a request that has failed may be sent to another engine. A
// probe may not, nor a request with a part that several crashes make suspect.
func (v *View) mayRepeat(p *Request) bool {
	return len(p.probes) == 0 && !slices.ContainsFunc(p.Parts, func(part PartID) bool { return v.suspects[part] })
}

// probe identifies the probe of a rule.
type probe struct {
	key         uint64
	activations int
}

// isProbeOf reports whether the request is the probe of a rule.
func (p *Request) isProbeOf(r viewRule) bool {
	return slices.Contains(p.probes, probe{key: r.key(), activations: r.Activations})
}

package quarantine

import (
	"fmt"
	"iter"
	"slices"
	"sync/atomic"
	"time"
)

// View is what the request path knows. It does not change, but for trials being taken.
type View struct {
	verdicts []viewVerdict
	// byPart lists the verdicts that name a part.
	byPart map[PartID][]int
	// suspects are the parts whose failed runs are not repeated.
	suspects map[PartID]bool
}

type viewVerdict struct {
	Verdict
	// trial admits one request while this VM may start the trial of the verdict, nil
	// otherwise.
	trial *atomic.Bool
}

// RefusedError reports a request that is not sent to an engine, since requests with the
// same prompt parts have crashed several.
type RefusedError struct {
	// Parts is the number of parts that the verdict names.
	Parts int
	// RetryAfter is the time until the verdict is put to trial.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("requests with the same %d parts of the prompt have crashed engines; refused for %v", e.Parts, e.RetryAfter.Round(time.Second))
}

// newView returns the view of a node. trialOf returns the trial of a lapsed verdict, nil
// if this VM may not start it now.
func newView(n *Node, now time.Duration, trialOf func(Verdict) *atomic.Bool) *View {
	v := &View{byPart: map[PartID][]int{}, suspects: map[PartID]bool{}}
	for i, verdict := range n.Verdicts() {
		x := viewVerdict{Verdict: verdict}
		if now >= verdict.Until {
			x.trial = trialOf(verdict)
		}
		v.verdicts = append(v.verdicts, x)
		for _, part := range verdict.Parts {
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

// check returns a *RefusedError if a verdict matches a prompt. The prompt takes the trial
// of a verdict if there is one; a request that has taken it passes from then on.
func (v *View) check(now time.Duration, p *RequestPrompt) error {
	for verdict := range v.matching(p) {
		if verdict.trial == nil || !verdict.trial.CompareAndSwap(false, true) {
			return verdict.refusal(now)
		}
		p.trials = append(p.trials, trial{key: verdict.key(), strikes: verdict.Strikes})
	}
	return nil
}

// refusal returns a *RefusedError if a verdict matches a prompt and is not on trial.
func (v *View) refusal(now time.Duration, p *RequestPrompt) error {
	for verdict := range v.matching(p) {
		if verdict.trial == nil {
			return verdict.refusal(now)
		}
	}
	return nil
}

// matching returns the verdicts that match a prompt, without those whose trial it is.
func (v *View) matching(p *RequestPrompt) iter.Seq[viewVerdict] {
	return func(yield func(viewVerdict) bool) {
		if len(v.verdicts) == 0 {
			return
		}
		for _, part := range p.Parts {
			for _, i := range v.byPart[part] {
				verdict := v.verdicts[i]
				if verdict.matches(p.Parts) && !p.tries(verdict) && !yield(verdict) {
					return
				}
			}
		}
	}
}

func (v viewVerdict) refusal(now time.Duration) error {
	return &RefusedError{Parts: len(v.Parts), RetryAfter: max(v.Until-now, trialRound)}
}

// mayRepeat reports whether a request that has failed may be sent to another engine: a
// trial may not, nor one against whose parts several crashes speak.
func (v *View) mayRepeat(p *RequestPrompt) bool {
	return len(p.trials) == 0 && !slices.ContainsFunc(p.Parts, func(part PartID) bool { return v.suspects[part] })
}

// RequestPrompt is the prompt of a request with the trials that it has taken. It is not
// safe for concurrent use.
type RequestPrompt struct {
	Prompt
	trials []trial
}

// trial identifies the trial of a verdict.
type trial struct {
	key     uint64
	strikes int
}

// tries reports whether the request is the trial of a verdict.
func (p *RequestPrompt) tries(v viewVerdict) bool {
	return slices.Contains(p.trials, trial{key: v.key(), strikes: v.Strikes})
}

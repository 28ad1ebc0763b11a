package runend

import (
	"testing"
	"time"
)

// Guards against an outcome of a call that is taken for the end of the run, or for none, by mistake:
// a row for each answer that the pages of the users allow, and for each state of a connection.
func TestOutcomeOfOneAttempt(t *testing.T) {
	const now = simBegin + 5*ms
	for outcome, want := range map[Outcome]struct {
		state    State
		decision Decision
		// nextIn is the time until the next attempt, and over its connection. Both count while the
		// end is not settled.
		nextIn time.Duration
		over   Connection
	}{
		Stopped:        {state: Confirmed, decision: Begin},
		NotFound:       {state: Confirmed, decision: Begin},
		Unsupported:    {state: Untold, decision: Begin},
		OtherServer:    {state: Gone, decision: Begin},
		InProgress:     {state: Asked, decision: Hold, nextIn: minInterval, over: New},
		Refused:        {state: Asked, decision: Hold, nextIn: minInterval, over: New},
		Lost:           {state: Asked, decision: Hold, nextIn: 0, over: New},
		DeadConnection: {state: Asked, decision: Hold, nextIn: 0, over: New},
		NoIdle:         {state: Asked, decision: Hold, nextIn: 0, over: New},
		PortClosed:     {state: Asked, decision: Hold, nextIn: 0, over: Idle},
		NotConnected:   {state: Asked, decision: Hold, nextIn: maxInterval - 5*ms, over: Idle},
		NotPermitted:   {state: Asked, decision: Hold, nextIn: minInterval, over: Any},
		Paused:         {state: Asked, decision: Hold, nextIn: 200 * ms, over: Any},
	} {
		t.Run(string(outcome), func(t *testing.T) {
			e := NewEnd(Options{Begin: simBegin, TimeLimit: simTimeLimit, RunSeen: true})
			step := e.Next(simBegin)
			if step.Kind != Ask || step.Connection != Any {
				t.Fatalf("first step %+v", step)
			}
			e.Connecting(simBegin, step.Attempt)
			e.Sent(simBegin, step.Attempt, Idle)
			e.Result(now, step.Attempt, outcome, now+200*ms)
			if e.State() != want.state {
				t.Errorf("state %s, want %s", e.State(), want.state)
			}
			if v := e.Verdict(now, simBegin+simHold); v.Decision != want.decision {
				t.Errorf("verdict %+v", v)
			}
			if want.state != Asked {
				if next := e.Next(now); next.Kind != Done {
					t.Errorf("next step %+v after the end", next)
				}
				return
			}
			if want.nextIn > 0 {
				if next := e.Next(now); next.Kind != Wait || next.Until != now+want.nextIn {
					t.Errorf("next step %+v", next)
				}
			}
			if next := e.Next(now + want.nextIn); next.Kind != Ask || next.Connection != want.over {
				t.Errorf("next step %+v, want an attempt over %s", next, want.over)
			}
		})
	}
}

// Guards against a next engine that waits although the end is confirmed, and against one that waits for
// the memory of the run to be copied.
func TestConfirmedEndCostsOneRoundTrip(t *testing.T) {
	for name, test := range map[string]struct {
		engine simEngine
		want   time.Duration
	}{
		"the run was dropped":       {simEngine{hasIdle: true, endedAt: 1}, simRoundTrip},
		"over a new connection":     {simEngine{endedAt: 1}, 2 * simRoundTrip},
		"after a dead connection":   {simEngine{hasIdle: true, endedAt: 1, troubles: []trouble{{deadIdle, 0, simTimeLimit}}}, 3 * simRoundTrip},
		"the run is still at work":  {simEngine{hasIdle: true}, silenceLimit + 2*simRoundTrip},
		"the engine has just ended": {simEngine{hasIdle: true, troubles: []trouble{{gone, 0, simTimeLimit}}}, 3 * simRoundTrip},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(&test.engine, Options{RunSeen: true})
			if r := s.run(simBegin + simHold); r.verdict.Decision != Begin || r.beginsAt-simBegin > test.want {
				t.Errorf("%+v after %v, want %v at most", r.verdict, r.beginsAt-simBegin, test.want)
			}
		})
	}
}

// Guards against a run that begins after its engine has said that it has none: the request waits in
// the engine's queue, and works on beside the next engine.
func TestRunThatBeginsLateIsEnded(t *testing.T) {
	for _, startsIn := range []time.Duration{10 * ms, 300 * ms, 1500 * ms} {
		e := &simEngine{hasIdle: true, startsAt: simBegin + startsIn}
		s := newSimulation(e, Options{})
		r := s.run(simBegin + simHold)
		if r.verdict.Reason != NoSuchRun || e.endedAt == 0 || e.endedAt-e.startsAt > maxOverlap {
			t.Errorf("begins after %v: %+v, ended after %v", startsIn, r, e.endedAt-e.startsAt)
		}
	}
}

// Guards against a run that is never ended: it begins after its engine has said that it has none, and
// the engine can't be asked until the time is over in which such a run may begin.
func TestRunThatBeginsLateIsEndedAtAnEngineInTrouble(t *testing.T) {
	const recovers = simBegin + unstartedTime + 300*ms
	for _, kind := range []string{failing, dark, limited, slow, resetting, refusing, paused} {
		e := &simEngine{startsAt: simBegin + 1500*ms, troubles: []trouble{{kind, simBegin + 1400*ms, recovers}}}
		r := newSimulation(e, Options{}).run(simBegin + simHold)
		if e.endedAt == 0 || e.endedAt-recovers > maxOverlap {
			t.Errorf("%s: %+v, ended after %v", kind, r, e.endedAt-recovers)
		}
	}
}

// Guards against an engine that refuses to end a run for longer than callers wait, beside which the
// next engine begins.
func TestNextEngineDoesNotBeginBesideOneThatAnswers(t *testing.T) {
	for kind, want := range map[string]Reason{failing: NotEnded, busy: NotEnded, limited: Withheld, paused: Withheld} {
		e := &simEngine{hasIdle: true, troubles: []trouble{{kind, 0, simTimeLimit}}}
		s := newSimulation(e, Options{RunSeen: true, CopyInProgress: true})
		s.pauseAllowance = 0
		if r := s.run(simBegin + simHold); r.verdict.Decision != GiveUp || r.verdict.Reason != want {
			t.Errorf("%s: %+v", kind, r.verdict)
		}
	}
}

// Guards against an engine that is asked for ever: the time limit of the run, or a VM list without the
// engine, ends that.
func TestEndIsSettledInTime(t *testing.T) {
	for kind, want := range map[string]State{failing: Lapsed, dark: Lapsed, gone: Gone} {
		e := &simEngine{troubles: []trouble{{kind, 0, simTimeLimit}}}
		s := newSimulation(e, Options{RunSeen: true})
		if r := s.run(simBegin + simHold); r.state != want || r.settled > simTimeLimit {
			t.Errorf("%s: %s after %v", kind, r.state, r.settled)
		}
	}
}

// Guards against a late result of an early attempt, over a connection that has been dead for seconds,
// that puts off the next attempt: two engines worked on a run for 447 ms (issue 59).
func TestLateResultDoesNotPutOffTheNextAttempt(t *testing.T) {
	const second = simBegin + silenceLimit
	for name, test := range map[string]struct {
		// answered is when attempt 2 is lost, 0 if it brings no answer.
		answered, due time.Duration
	}{
		"attempt 2 is lost":       {second + 5*ms, second + 5*ms + minInterval},
		"attempt 2 has no answer": {0, second + silenceLimit},
	} {
		for _, outcome := range []Outcome{Lost, Refused, InProgress, NotFound, NotConnected} {
			t.Run(name+", attempt 1 is "+string(outcome), func(t *testing.T) {
				e := NewEnd(Options{Begin: simBegin, TimeLimit: simTimeLimit, CopyInProgress: true})
				for i, now := range []time.Duration{simBegin, second} {
					step := e.Next(now)
					if step.Kind != Ask || step.Attempt != Attempt(i+1) {
						t.Fatalf("step %+v", step)
					}
					e.Connecting(now, step.Attempt)
					e.Sent(now, step.Attempt, New)
				}
				if test.answered != 0 {
					e.Result(test.answered, 2, Lost, 0)
				}
				e.Result(test.due-ms, 1, outcome, 0)
				if step := e.Next(test.due - ms); step.Kind != Wait || step.Until != test.due {
					t.Errorf("step %+v before the next attempt is due at %v", step, test.due)
				}
				if step := e.Next(test.due); step.Kind != Ask {
					t.Errorf("step %+v when the next attempt is due", step)
				}
			})
		}
	}
}

// Guards against a late result of an attempt that was made before the engine asked for a pause, after
// which the engine is asked in the pause, and the next engine begins beside it.
func TestLateResultDoesNotEndAPause(t *testing.T) {
	const second, paused = simBegin + silenceLimit, simBegin + silenceLimit + 5*ms
	for _, first := range []Outcome{Lost, Refused, InProgress, NotFound, NotConnected, NotPermitted} {
		t.Run(string(first), func(t *testing.T) {
			e := NewEnd(Options{Begin: simBegin, TimeLimit: simTimeLimit, CopyInProgress: true})
			for i, now := range []time.Duration{simBegin, second} {
				if step := e.Next(now); step.Kind != Ask || step.Attempt != Attempt(i+1) {
					t.Fatalf("step %+v", step)
				}
				e.Connecting(now, Attempt(i+1))
			}
			until := simBegin + simHold + 100*ms // Beyond the hold.
			e.Result(paused, 2, Paused, until)
			e.Result(paused+ms, 1, first, 0)
			if step := e.Next(paused + maxInterval); step.Kind != Wait || step.Until != until {
				t.Errorf("step %+v in a pause until %v", step, until)
			}
			if !e.Declined() {
				t.Error("the engine counts as one that may be asked")
			}
			if v := e.Verdict(paused+ms, simBegin+simHold); first != NotFound && (v.Decision != GiveUp || v.Reason != Withheld) {
				t.Errorf("verdict %+v in a pause beyond the hold", v)
			}
			if step := e.Next(until); step.Kind != Ask {
				t.Errorf("step %+v at the end of the pause", step)
			}
		})
	}
}

// Guards against a next engine that begins beside one that has answered without ending the run, since
// an earlier attempt was lost after that.
func TestLateLossDoesNotHideAnAnswer(t *testing.T) {
	const second, now = simBegin + silenceLimit, simBegin + simHold
	e := NewEnd(Options{Begin: simBegin, TimeLimit: simTimeLimit, RunSeen: true})
	for i, at := range []time.Duration{simBegin, second} {
		if step := e.Next(at); step.Kind != Ask || step.Attempt != Attempt(i+1) {
			t.Fatalf("step %+v", step)
		}
		e.Connecting(at, Attempt(i+1))
		e.Sent(at, Attempt(i+1), New)
	}
	e.Result(now-2*ms, 2, Refused, 0)
	e.Result(now-ms, 1, Lost, 0)
	if v := e.Verdict(now, now); v.Decision != GiveUp || v.Reason != NotEnded {
		t.Errorf("verdict %+v, want %v %s", v, GiveUp, NotEnded)
	}
}

package grant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

func encodeGrantRequest(sequence uint64, a dispatch.AdmissionRequest) *peerpb.GrantRequest {
	return &peerpb.GrantRequest{
		Sequence: sequence, Organisation: a.Organisation, PromptTokens: uint32(a.PromptTokens),
		PrefixHashes: a.PrefixHashes, MaxTokens: uint32(a.MaxTokens), Excluded: a.Excluded, Zone: a.Zone,
		Spare: a.Spare, Resumed: a.Resumed, ExpectedTokens: uint32(a.ExpectedTokens),
		Priority: uint32(max(a.Priority, 0)), TargetMs: encodeTimeLeft(a.Target), DeadlineMs: encodeTimeLeft(a.Deadline),
		EventGapMs: encodeMilliseconds(a.EventGap), Identity: a.Identity,
	}
}

// encodeMilliseconds encodes a time in whole milliseconds.
func encodeMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32-1))
}

func decodeMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// encodeTimeLeft encodes a time left as the protocol does: 0 if there is none, else plus 1 ms.
func encodeTimeLeft(d time.Duration) uint32 {
	if d == 0 {
		return 0
	}
	return encodeMilliseconds(d) + 1
}

// decodeTimeLeft is the inverse of encodeTimeLeft.
func decodeTimeLeft(ms uint32) time.Duration {
	if ms == 0 {
		return 0
	}
	return dispatch.TimeLeft(decodeMilliseconds(ms - 1))
}

// decodeGrantRequest completes a request with the model of its group and the tenant of its
// organisation, which are not transmitted.
func (v *view) decodeGrantRequest(model string, r *peerpb.GrantRequest) dispatch.AdmissionRequest {
	return dispatch.AdmissionRequest{
		Tenant: v.tenants[r.GetOrganisation()], Organisation: r.GetOrganisation(), Model: model,
		PromptTokens: int(r.GetPromptTokens()), PrefixHashes: r.GetPrefixHashes(), MaxTokens: int(r.GetMaxTokens()),
		Excluded: r.GetExcluded(), Zone: r.GetZone(),
		Spare: r.GetSpare(), Resumed: r.GetResumed(), ExpectedTokens: int(r.GetExpectedTokens()),
		Priority: int(r.GetPriority()), Target: decodeTimeLeft(r.GetTargetMs()), Deadline: decodeTimeLeft(r.GetDeadlineMs()),
		EventGap: decodeMilliseconds(r.GetEventGapMs()), Identity: r.GetIdentity(),
	}
}

// streamProgress is the progress report for one stream.
type streamProgress struct {
	sequence                                 uint64
	tokens                                   int
	preempted, finished, unreachable, failed bool
}

// takeReport returns the state of a ticket and marks it as reported.
func (t *ticket) takeReport() streamProgress {
	tokens, preemptions := t.tokens.Load(), t.preemptions.Load()
	p := streamProgress{sequence: t.sequence, tokens: int(tokens), preempted: preemptions != t.reportedPreemptions}
	t.reportedTokens, t.reportedPreemptions = tokens, preemptions
	return p
}

// encodeProgress encodes at least one report as one message. It sorts reports by
// sequence in place.
func encodeProgress(reports []streamProgress) *peerpb.Progress {
	slices.SortFunc(reports, func(a, b streamProgress) int { return cmp.Compare(a.sequence, b.sequence) })
	p := &peerpb.Progress{Base: reports[0].sequence}
	last := p.Base
	for _, r := range reports {
		var flags peerpb.ProgressFlag
		if r.preempted {
			flags |= peerpb.ProgressFlag_PROGRESS_FLAG_PREEMPTED
		}
		if r.finished {
			flags |= peerpb.ProgressFlag_PROGRESS_FLAG_FINISHED
		}
		if r.unreachable {
			flags |= peerpb.ProgressFlag_PROGRESS_FLAG_UNREACHABLE
		}
		if r.failed {
			flags |= peerpb.ProgressFlag_PROGRESS_FLAG_FAILED
		}
		p.Steps = append(p.Steps, r.sequence-last)
		p.Tokens = append(p.Tokens, uint32(r.tokens))
		p.Flags = append(p.Flags, uint32(flags))
		last = r.sequence
	}
	return p
}

// decodeProgress returns the reports of a message, or none if its lists differ in length.
func decodeProgress(p *peerpb.Progress) []streamProgress {
	if len(p.Tokens) != len(p.Steps) || len(p.Flags) != len(p.Steps) {
		return nil
	}
	reports := make([]streamProgress, len(p.Steps))
	sequence := p.Base
	for i, step := range p.Steps {
		sequence += step
		has := func(f peerpb.ProgressFlag) bool { return peerpb.ProgressFlag(p.Flags[i])&f != 0 }
		reports[i] = streamProgress{
			sequence: sequence, tokens: int(p.Tokens[i]), preempted: has(peerpb.ProgressFlag_PROGRESS_FLAG_PREEMPTED),
			finished:    has(peerpb.ProgressFlag_PROGRESS_FLAG_FINISHED),
			unreachable: has(peerpb.ProgressFlag_PROGRESS_FLAG_UNREACHABLE),
			failed:      has(peerpb.ProgressFlag_PROGRESS_FLAG_FAILED),
		}
	}
	return reports
}

// deltaEncode replaces ascending sequences in place by their differences.
func deltaEncode(base uint64, sequences []uint64) []uint64 {
	for i, s := range sequences {
		sequences[i], base = s-base, s
	}
	return sequences
}

// deltaDecode is the inverse of deltaEncode. It does not modify its argument.
func deltaDecode(base uint64, steps []uint64) []uint64 {
	out := make([]uint64, len(steps))
	for i, step := range steps {
		base += step
		out[i] = base
	}
	return out
}

// encodeHeld encodes a held ticket and marks its tokens as reported. It omits
// prefix hashes and excluded engines, which matter only for the choice of an engine, and
// what matters only in a queue. A dispatcher takes the declared tokens for those that another one has charged, so
// those of a bypass are left to the next progress report.
func encodeHeld(t *ticket) *peerpb.HeldGrant {
	a := t.admissionRequest
	a.PrefixHashes, a.Excluded = nil, nil
	a.Priority, a.Target, a.Deadline, a.Identity = 0, 0, 0, 0
	t.reportedTokens = t.tokens.Load()
	if t.unknownBypass() {
		t.reportedTokens = 0
	}
	return &peerpb.HeldGrant{
		Sequence: t.sequence, Backend: t.target.ID, Priority: uint32(t.priority), Tokens: uint32(t.reportedTokens),
		Request: encodeGrantRequest(0, a),
	}
}

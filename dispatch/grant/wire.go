package grant

import (
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

func encodeAsk(sequence uint64, a dispatch.Ask) *peerpb.GrantRequest {
	return &peerpb.GrantRequest{
		Sequence: sequence, Tenant: a.Tenant, Organisation: a.Organisation, PromptTokens: uint32(a.PromptTokens),
		PrefixHashes: a.PrefixHashes, MaxTokens: uint32(a.MaxTokens), Excluded: a.Excluded,
	}
}

// decodeAsk completes a request with the model of its group.
func decodeAsk(model string, r *peerpb.GrantRequest) dispatch.Ask {
	return dispatch.Ask{
		Tenant: r.GetTenant(), Organisation: r.GetOrganisation(), Model: model, PromptTokens: int(r.GetPromptTokens()),
		PrefixHashes: r.GetPrefixHashes(), MaxTokens: int(r.GetMaxTokens()), Excluded: r.GetExcluded(),
	}
}

// encodeProgress returns the state of a stream and marks it as reported.
func encodeProgress(t *ticket) *peerpb.StreamProgress {
	tokens, preemptions := t.tokens.Load(), t.preemptions.Load()
	s := &peerpb.StreamProgress{
		Sequence: t.sequence, Tokens: uint32(tokens), Preempted: preemptions != t.reportedPreemptions,
	}
	t.reportedTokens, t.reportedPreemptions = tokens, preemptions
	return s
}

// encodeHeld omits the prefix hashes, which matter only for a choice of engine.
func encodeHeld(t *ticket) *peerpb.HeldGrant {
	a := t.ask
	a.PrefixHashes, a.Excluded = nil, nil
	t.reportedTokens = t.tokens.Load()
	return &peerpb.HeldGrant{
		Sequence: t.sequence, Backend: t.target.ID, Priority: uint32(t.priority), Tokens: uint32(t.reportedTokens),
		Request: encodeAsk(0, a),
	}
}

package quarantine

import (
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// envelope encodes a message. Times are sent as ages, since VMs share no clock.
func envelope(now time.Duration, m Message) *peerpb.Envelope {
	out := &peerpb.Quarantine{}
	for _, f := range m.Failures {
		out.Failures = append(out.Failures, &peerpb.RunFailure{Run: f.Run, Engine: f.Engine, AgeMs: age(now, f.At), Parts: encodeParts(f.Parts)})
	}
	for _, p := range m.Proofs {
		out.Proofs = append(out.Proofs, &peerpb.PartProof{Part: uint64(p.Part), AgeMs: age(now, p.At)})
	}
	for _, v := range m.Verdicts {
		out.Verdicts = append(out.Verdicts, encodeVerdict(now, v))
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Quarantine{Quarantine: out}}
}

func encodeVerdict(now time.Duration, v Verdict) *peerpb.Verdict {
	return &peerpb.Verdict{
		Parts: encodeParts(v.Parts), SinceMs: age(now, v.Since), TrialInMs: (v.Until - now).Milliseconds(), Strikes: uint32(v.Strikes),
	}
}

func age(now, at time.Duration) uint64 { return uint64(max(now-at, 0).Milliseconds()) }

func encodeParts(parts []PartID) []uint64 {
	out := make([]uint64, len(parts))
	for i, part := range parts {
		out[i] = uint64(part)
	}
	return out
}

// decode returns the content of a message with times on the clock of this VM.
func decode(now time.Duration, in *peerpb.Quarantine) Message {
	var m Message
	for _, f := range in.GetFailures() {
		m.Failures = append(m.Failures, Failure{Run: f.GetRun(), Engine: f.GetEngine(), At: before(now, f.GetAgeMs()), Parts: decodeParts(f.GetParts())})
	}
	for _, p := range in.GetProofs() {
		m.Proofs = append(m.Proofs, Proof{Part: PartID(p.GetPart()), At: before(now, p.GetAgeMs())})
	}
	for _, v := range in.GetVerdicts() {
		trialIn := time.Duration(min(max(v.GetTrialInMs(), -maxAgeMS), maxAgeMS)) * time.Millisecond
		m.Verdicts = append(m.Verdicts, Verdict{
			Parts: decodeParts(v.GetParts()), Since: before(now, v.GetSinceMs()), Until: now + trialIn, Strikes: int(v.GetStrikes()),
		})
	}
	return m
}

// maxAgeMS bounds the ages and times that are accepted from peers, in milliseconds.
const maxAgeMS = 24 * 60 * 60 * 1000

func before(now time.Duration, ageMS uint64) time.Duration {
	return now - time.Duration(min(ageMS, maxAgeMS))*time.Millisecond
}

func decodeParts(parts []uint64) []PartID {
	out := make([]PartID, len(parts))
	for i, part := range parts {
		out[i] = PartID(part)
	}
	return out
}

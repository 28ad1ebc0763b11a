package quarantine

import (
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// envelope encodes a message. Times are sent as ages, since VMs share no clock.
func envelope(now time.Duration, m Message) *peerpb.Envelope {
	out := &peerpb.Quarantine{}
	for _, f := range m.Failures {
		out.Failures = append(out.Failures, &peerpb.RunFailure{
			Run: f.Run, Engine: f.Server, AgeMs: age(now, f.At), Parts: encodeKeys(f.Keys), Organisation: f.Organisation,
		})
	}
	for _, s := range m.Successes {
		out.Successes = append(out.Successes, &peerpb.PartSuccess{Part: uint64(s.Key), AgeMs: age(now, s.At)})
	}
	for _, r := range m.Rules {
		out.Rules = append(out.Rules, encodeRule(now, r))
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Quarantine{Quarantine: out}}
}

func encodeRule(now time.Duration, r Rule) *peerpb.Rule {
	out := &peerpb.Rule{
		Parts: encodeKeys(r.Keys), SinceMs: age(now, r.Since), ProbeInMs: (r.Until - now).Milliseconds(), Activations: uint32(r.Activations),
		Organisation: r.Organisation, Version: uint32(r.Version), Spent: uint32(r.Spent), UsedMs: age(now, r.Used), Pending: r.Pending,
	}
	if r.Started != 0 {
		out.StartedMs = age(now, r.Started) + 1
	}
	return out
}

// age returns the age of a time in milliseconds, 0 if it is in the future.
func age(now, at time.Duration) uint64 { return uint64(max(now-at, 0).Milliseconds()) }

func encodeKeys(keys []Key) []uint64 {
	out := make([]uint64, len(keys))
	for i, key := range keys {
		out[i] = uint64(key)
	}
	return out
}

// decode returns the content of a message with times on the clock of this VM.
func decode(now time.Duration, in *peerpb.Quarantine) Message {
	var m Message
	for _, f := range in.GetFailures() {
		m.Failures = append(m.Failures, Failure{
			Run: f.GetRun(), Server: f.GetEngine(), At: before(now, f.GetAgeMs()), Keys: decodeKeys(f.GetParts()),
			Organisation: f.GetOrganisation(),
		})
	}
	for _, s := range in.GetSuccesses() {
		m.Successes = append(m.Successes, Success{Key: Key(s.GetPart()), At: before(now, s.GetAgeMs())})
	}
	for _, r := range in.GetRules() {
		m.Rules = append(m.Rules, decodeRule(now, r))
	}
	return m
}

func decodeRule(now time.Duration, in *peerpb.Rule) Rule {
	probeIn := time.Duration(min(max(in.GetProbeInMs(), -maxAgeMS), maxAgeMS)) * time.Millisecond
	r := Rule{
		Keys: decodeKeys(in.GetParts()), Since: before(now, in.GetSinceMs()), Until: now + probeIn, Activations: int(in.GetActivations()),
		Organisation: in.GetOrganisation(), Version: int(in.GetVersion()), Spent: int(in.GetSpent()), Used: before(now, in.GetUsedMs()), Pending: in.GetPending(),
	}
	if started := in.GetStartedMs(); started > 0 {
		r.Started = before(now, started-1)
	}
	return r
}

// maxAgeMS bounds the ages and times that are accepted from peers, in milliseconds.
const maxAgeMS = 24 * 60 * 60 * 1000

// before returns the time of an age in milliseconds.
func before(now time.Duration, ageMS uint64) time.Duration {
	return now - time.Duration(min(ageMS, maxAgeMS))*time.Millisecond
}

func decodeKeys(keys []uint64) []Key {
	out := make([]Key, len(keys))
	for i, key := range keys {
		out[i] = Key(key)
	}
	return out
}

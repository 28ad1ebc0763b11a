package quarantine

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// FuzzReceive guards against messages of peers that panic, grow a table beyond its limit
// or set off news without end.
func FuzzReceive(f *testing.F) {
	now := time.Hour
	part := NewPrompt("pool", "request", []string{"dead"})
	for _, m := range []Message{
		{Failures: []Failure{{Run: 1, Engine: 2, At: now, Parts: part.Parts}}},
		{Proofs: []Proof{{Part: part.Parts[0], At: now}}},
		{Verdicts: []Verdict{{Parts: part.Parts, Since: now, Until: now + time.Minute, Strikes: 1}}},
	} {
		b, err := proto.Marshal(envelope(now, m).GetQuarantine())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		in := &peerpb.Quarantine{}
		if proto.Unmarshal(b, in) != nil {
			return
		}
		n := NewNode()
		n.Receive(now, decode(now, in))
		if e := n.Receive(now, decode(now, in)); len(e.Send.Failures)+len(e.Send.Proofs) > 0 {
			t.Errorf("known news is forwarded: %+v", e.Send)
		}
		if len(n.failures) > maxFailures || n.proofs.Len() > maxProofs || len(n.verdicts) > maxVerdicts {
			t.Errorf("%d failures, %d proofs, %d verdicts", len(n.failures), n.proofs.Len(), len(n.verdicts))
		}
		newView(n, now, always).check(now, &RequestPrompt{Prompt: part})
	})
}

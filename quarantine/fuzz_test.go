package quarantine

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// FuzzReceive guards against messages of peers that panic, grow a table beyond its limit
// or are forwarded again and again.
func FuzzReceive(f *testing.F) {
	now := time.Hour
	part := NewRequest("request", Content{Pool: "pool", Parts: []string{"dead"}})
	for _, m := range []Message{
		{Failures: []Failure{{Run: 1, Server: 2, At: now, Keys: part.Parts}}},
		{Successes: []Success{{Key: part.Parts[0], At: now}}},
		{Rules: []Rule{{Keys: part.Parts, Since: now, Until: now + time.Minute, Activations: 1}}},
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
		if e := n.Receive(now, decode(now, in)); len(e.Send.Failures)+len(e.Send.Successes) > 0 {
			t.Errorf("known updates are forwarded: %+v", e.Send)
		}
		if len(n.failures) > maxFailures || n.partSuccesses.Len() > maxPartSuccesses || len(n.rules) > maxRules {
			t.Errorf("%d failures, %d successes, %d rules", len(n.failures), n.partSuccesses.Len(), len(n.rules))
		}
		newView(n, now, always).check(now, &Request{Parts: part.Parts})
	})
}

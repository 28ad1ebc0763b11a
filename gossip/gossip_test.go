package gossip

import (
	"context"
	"crypto/ed25519"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/delta"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func signBundle(t interface{ Fatal(...any) }, version int64, key ed25519.PrivateKey) []byte {
	s, err := bundle.Sign(&bundle.Document{
		Version: version,
		Tenants: []bundle.Tenant{{
			Name: "t", Share: 1, Weights: bundle.Weights{StallTime: 1},
			Organisations: []bundle.Organisation{{Name: "o", APIKeySHA256: []string{bundle.APIKeyDigest("k")}}},
		}},
		Models: []bundle.Model{{Name: "m", Version: "1"}},
	}, key)
	if err != nil {
		t.Fatal(err)
	}
	content, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func compress(t interface{ Fatal(...any) }, content []byte) []byte {
	encoded, err := delta.Encode(nil, content)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// Guards against a bundle that is replaced by an older one or by one that no
// trusted key has signed. Whatever the order in which documents arrive, the highest
// trusted version must end up in force, and the version must never decrease.
func TestVersionsNeverDecrease(t *testing.T) {
	public, trusted, _ := ed25519.GenerateKey(nil)
	_, stranger, _ := ed25519.GenerateKey(nil)
	documents := map[bool][][]byte{}
	for version := range int64(10) {
		documents[true] = append(documents[true], compress(t, signBundle(t, max(1, version), trusted)))
		documents[false] = append(documents[false], compress(t, signBundle(t, max(1, version), stranger)))
	}
	rapid.Check(t, func(t *rapid.T) {
		loop := control.NewLoop(zap.NewNop(), time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go loop.Run(ctx)
		g := New(Sources(loop, []ed25519.PublicKey{public}), zap.NewNop())
		var highest, last int64
		for range rapid.IntRange(1, 12).Draw(t, "documents") {
			version := rapid.Int64Range(1, 9).Draw(t, "version")
			announced, isTrusted := version, true
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				isTrusted = false
			case 1:
				announced++
			default:
				highest = max(highest, version)
			}
			g.handle(time.Now(), message{"p", &peerpb.Membership{Message: &peerpb.Membership_Document{Document: &peerpb.Document{
				Kind: KindBundle, Version: announced, Encoded: documents[isTrusted][version],
			}}}})
			now := g.sources[KindBundle].Version()
			if now < last {
				t.Fatalf("version decreased from %d to %d", last, now)
			}
			last = now
		}
		for deadline := time.Now().Add(time.Second); g.sources[KindBundle].Version() != highest; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("version %d in force, want %d", g.sources[KindBundle].Version(), highest)
			}
		}
	})
}

// Guards against a peer that offers a high version and delivers nothing or an
// invalid document, which would keep this VM from fetching the version that other
// peers have; and against fetching the same version from every peer that offers it.
func TestFetchesAreDeduplicatedAndSurviveFaultyPeers(t *testing.T) {
	e, now := NewExchange(), time.Unix(1000, 0)
	if !e.Offer(now, "bad", KindBundle, 99) || !e.Offer(now, "a", KindBundle, 7) {
		t.Fatal("offers refused")
	}
	if e.Offer(now, "b", KindBundle, 7) {
		t.Error("version 7 is fetched twice")
	}
	if e.Offer(now.Add(fetchTimeout), "bad", KindBundle, 99) {
		t.Error("another fetch from a peer that did not deliver")
	}
	if !e.Offer(now.Add(fetchTimeout), "b", KindBundle, 7) {
		t.Error("no fetch from another peer after the timeout")
	}
	if !e.FinishFetch("b", KindBundle, 7) {
		t.Error("version 7 refused")
	}
	e.Hold(KindBundle, 7)
	if e.FinishFetch("a", KindBundle, 7) || e.Offer(now.Add(fetchTimeout), "c", KindBundle, 6) {
		t.Error("a held version is fetched again")
	}
}

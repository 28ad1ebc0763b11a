package gossip

import (
	"context"
	"crypto/ed25519"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// FuzzReceive guards property P7 against a message from a peer that crashes a VM,
// lowers the version of a document, or puts a bundle in force that no trusted key
// has signed.
func FuzzReceive(f *testing.F) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := key.Public().(ed25519.PublicKey)
	add := func(m *peerpb.Membership) {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	document := func(k peerpb.DocumentKind, version int64, content string) {
		add(&peerpb.Membership{Message: &peerpb.Membership_Document{Document: &peerpb.Document{Kind: k, Version: version, Encoded: compress(f, []byte(content))}}})
	}
	document(KindBundle, 5, string(signBundle(f, 5, key)))
	document(KindBundle, 2, string(signBundle(f, 2, key)))
	document(KindBundle, 9, "null")
	document(KindVMList, 9, `{"revision":9,"vms":[{"id":"a"}]}`)
	document(KindVMList, 1, `{"revision":1}`)
	document(KindVMList, math.MinInt64, "null")
	document(7, 9, "{}")
	add(&peerpb.Membership{Message: &peerpb.Membership_DocumentRequest{DocumentRequest: &peerpb.DocumentRequest{Kind: 7, AboveVersion: math.MinInt64}}})
	add(&peerpb.Membership{Message: &peerpb.Membership_DocumentRequest{DocumentRequest: &peerpb.DocumentRequest{Kind: KindVMList, AboveVersion: math.MinInt64, BaseFingerprint: math.MaxUint64}}})
	add(&peerpb.Membership{Message: &peerpb.Membership_Heartbeat{Heartbeat: &peerpb.Heartbeat{BundleVersion: math.MaxInt64}}})
	baseline := signBundle(f, 3, key)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.Membership
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		loop := control.NewLoop(zap.NewNop(), time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go loop.Run(ctx)
		g := New(Sources(loop, []ed25519.PublicKey{public}), zap.NewNop())
		if err := g.sources[KindBundle].Accept(baseline, 3, "b"); err != nil {
			t.Fatal(err)
		}
		if err := g.sources[KindVMList].Accept([]byte(`{"revision":3}`), 3, "b"); err != nil {
			t.Fatal(err)
		}
		for g.sources[KindBundle].Version() != 3 || g.sources[KindVMList].Version() != 3 {
			time.Sleep(10 * time.Microsecond)
		}
		g.Receive("b", &m)
		g.handle(time.Now(), message{"b", &m})
		g.handle(time.Now(), message{"b", &m})
		if v := g.sources[KindBundle].Version(); v < 3 || g.sources[KindVMList].Version() < 3 {
			t.Errorf("bundle version %d and VM list %d are in force", v, g.sources[KindVMList].Version())
		}
		for k, s := range g.sources {
			if v := g.exchange.Held(k); v > 0 && v < 3 {
				t.Errorf("version %d counts as held, %d is in force", v, s.Version())
			}
		}
	})
}

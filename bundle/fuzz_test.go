package bundle

import (
	"crypto/ed25519"
	"testing"
)

const fuzzDocument = `{"version":1,"tenants":[{"name":"t","share":1,"weights":{"stall_time":1,"preemptions":1,"inter_token_latency":1},` +
	`"organisations":[{"name":"o","api_key_sha256":["0000000000000000000000000000000000000000000000000000000000000000"]}]}],` +
	`"models":[{"name":"m","version":"1"}],"routes":[{"name":"r","service":"s","path":"/p"}]}`

// FuzzParse guards against a document that crashes a VM, and against one that
// passes validation for the operator but cannot be opened by a VM.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "null", "{}", "// c\n{}", fuzzDocument, fuzzDocument + "{}", `{"version":1e400}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		signed, err := Sign(doc, nil)
		if err != nil {
			t.Fatalf("sign a valid document: %v", err)
		}
		index, err := signed.Open(nil)
		if err != nil || index.Version() != doc.Version {
			t.Errorf("open a signed document: %v", err)
		}
	})
}

// FuzzOpen guards against content that crashes a VM or is accepted without the
// signature of a trusted key, and against a version that differs from the content.
func FuzzOpen(f *testing.F) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := key.Public().(ed25519.PublicKey)
	f.Add(int64(1), []byte(fuzzDocument), []byte(nil), true)
	f.Add(int64(2), []byte(fuzzDocument), []byte(nil), true)
	f.Add(int64(1), []byte("null"), []byte("x"), false)
	f.Fuzz(func(t *testing.T, version int64, content, signature []byte, sign bool) {
		if sign {
			signature = ed25519.Sign(key, content)
		}
		s := &Signed{Version: version, Content: content, Digest: Digest(content), Signature: signature}
		index, err := s.Open([]ed25519.PublicKey{public})
		if err != nil {
			return
		}
		if !ed25519.Verify(public, content, signature) || index.Version() != version {
			t.Errorf("opened as version %d", index.Version())
		}
	})
}

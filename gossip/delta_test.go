package gossip

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// memorySource is an in-memory Source that accepts any content.
type memorySource struct {
	version int64
	content []byte
}

func (m *memorySource) Version() int64                 { return m.version }
func (m *memorySource) Refuses(int64) bool             { return false }
func (m *memorySource) Encode() (int64, []byte, error) { return m.version, m.content, nil }
func (m *memorySource) Accept(content []byte, version int64, _ string) error {
	m.version, m.content = version, content
	return nil
}

// node is a Gossip whose bundle is set by the test.
type node struct {
	*Gossip
	bundle *memorySource
}

func newNode() node {
	m := &memorySource{}
	return node{New(map[peerpb.DocumentKind]Source{KindBundle: m, KindVMList: &memorySource{}}, zap.NewNop()), m}
}

func (n node) set(version int64) {
	n.bundle.version, n.bundle.content = version, testContent(version)
	n.recordVersion(KindBundle)
}

// testContent returns the 40 kB content of a version, most of which it shares with
// the previous version.
func testContent(version int64) []byte {
	var b bytes.Buffer
	for i := range int64(1000) {
		fmt.Fprintf(&b, "%x line %d of %d\n", i*i*7919, i, max(0, version-i))
	}
	return b.Bytes()
}

// pull offers the bundle of from to n, exchanges messages until n sends no more
// requests, and returns the documents sent.
func (n node) pull(from node) (documents []*peerpb.Document) {
	replies := n.handleOffer(time.Now(), "peer", KindBundle, from.bundle.version)
	for len(replies) > 0 {
		for _, answer := range from.handle(time.Now(), message{"n", replies[0]}) {
			documents = append(documents, answer.GetDocument())
		}
		replies = n.handle(time.Now(), message{"peer", &peerpb.Membership{
			Message: &peerpb.Membership_Document{Document: documents[len(documents)-1]},
		}})
	}
	return documents
}

// Guards against full documents being sent for small changes, against a change
// being encoded once per peer, and against a VM that stays outdated because a delta
// cannot be applied: its base is no longer kept, its encoding of the base differs,
// or the delta is corrupt.
func TestChangesAreSentAsDeltas(t *testing.T) {
	a, b, c := newNode(), newNode(), newNode()
	a.set(1)
	full := b.pull(a)
	c.pull(a)
	a.set(2)
	first, second := b.pull(a), c.pull(a)
	if len(first) != 1 || first[0].GetBaseFingerprint() == 0 || len(first[0].GetEncoded()) > len(full[0].GetEncoded())/20 {
		t.Errorf("delta of %d bytes, full document of %d", len(first[0].GetEncoded()), len(full[0].GetEncoded()))
	}
	if &first[0].GetEncoded()[0] != &second[0].GetEncoded()[0] {
		t.Error("the change was encoded once per peer")
	}
	b.recordVersion(KindBundle)
	for inHistory := true; inHistory; _, inHistory = a.histories[KindBundle].Base(b.histories[KindBundle].Fingerprint()) {
		a.set(a.bundle.version + 1)
	}
	if got := b.pull(a); len(got) != 1 || got[0].GetBaseFingerprint() != 0 || !bytes.Equal(b.bundle.content, a.bundle.content) {
		t.Errorf("base not in the history: %d documents", len(got))
	}
	a.set(a.bundle.version + 1)
	c.bundle.content = append(bytes.Clone(c.bundle.content), ' ') // Another encoding of version 2.
	c.bundle.version = 3
	if got := c.pull(a); len(got) != 1 || !bytes.Equal(c.bundle.content, a.bundle.content) {
		t.Errorf("base with another encoding: %d documents", len(got))
	}
	a.set(a.bundle.version + 1)
	c.recordVersion(KindBundle)
	encoded, _, _ := a.histories[KindBundle].Encode(c.histories[KindBundle].Fingerprint())
	encoded[len(encoded)-1] ^= 1
	if got := c.pull(a); len(got) != 2 || got[1].GetBaseFingerprint() != 0 || !bytes.Equal(c.bundle.content, a.bundle.content) {
		t.Errorf("corrupt delta: %d documents", len(got))
	}
	if c.Stats().DeltaMismatches != 1 {
		t.Errorf("stats %+v", c.Stats())
	}
}

// Guards against an endless loop of full-document requests to a peer whose deltas
// can never be applied.
func TestSecondMismatchedDeltaIsRejected(t *testing.T) {
	n := newNode()
	n.set(1)
	now := time.Now()
	bad := message{"bad", &peerpb.Membership{Message: &peerpb.Membership_Document{
		Document: &peerpb.Document{Kind: KindBundle, Version: 9, Encoded: []byte("x"), BaseFingerprint: 7},
	}}}
	if n.handleOffer(now, "bad", KindBundle, 9) == nil || n.handle(now, bad) == nil {
		t.Fatal("no request for the full document after the first mismatched delta")
	}
	if n.handle(now, bad) != nil || n.handleOffer(now, "bad", KindBundle, 9) != nil {
		t.Error("another request was sent to the peer")
	}
}

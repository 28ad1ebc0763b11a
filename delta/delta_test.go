package delta_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/delta"
)

// Guards against a document that differs after a round trip, and against a delta
// that decodes to a different document when applied to the wrong base.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 4096).Draw(t, "base")
		document := append([]byte(nil), base...)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(document)).Draw(t, "at")
			insert := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "insert")
			document = append(document[:at:at], append(insert, document[at:]...)...)
		}
		encoded, err := delta.Encode(base, document)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := delta.Decode(base, encoded)
		if err != nil || !bytes.Equal(decoded, document) {
			t.Fatalf("decoded %d bytes of %d: %v", len(decoded), len(document), err)
		}
		other := append([]byte{1}, base...)
		if wrong, err := delta.Decode(other, encoded); err == nil && !bytes.Equal(wrong, document) {
			t.Fatal("a delta applied to the wrong base decoded to a different document without an error")
		}
	})
}

// Guards against input from a peer that makes the decoder allocate unbounded memory.
func TestDecodeIsBounded(t *testing.T) {
	encoded, err := delta.Encode(nil, make([]byte, delta.MaxDocumentBytes))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := delta.Decode(nil, append(encoded, encoded...)); err == nil {
		t.Error("a document larger than the limit was decoded")
	}
}

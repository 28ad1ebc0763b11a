package gossip

import "github.com/vanillaarch/vanillaarch/delta"

// Bytes of encoded versions that a VM keeps as bases of deltas. At least two
// versions are kept whatever their size.
const (
	// BundleHistoryBytes holds 13 versions of 313 kB, which at 31,000 changes a
	// day cover 36 s. A VM that is further behind fetches the whole bundle.
	BundleHistoryBytes = 4 << 20
	// VMListHistoryBytes holds 4 versions of 1.75 MB.
	VMListHistoryBytes = 8 << 20
	minHistoryVersions = 2
)

// History keeps the encoded form of recent versions of a document, and what was
// encoded from them, so that a change is encoded once and not for each peer.
type History struct {
	budget   int
	size     int
	versions []version // The last one is current.
	// encoded holds the current version relative to a base, by the
	// fingerprint of the base; under 0 is the whole version, compressed.
	encoded map[uint64][]byte
}

type version struct {
	number      int64
	fingerprint uint64
	content     []byte
}

// NewHistory returns an empty history that keeps about budget bytes.
func NewHistory(budget int) *History {
	return &History{budget: budget, encoded: map[uint64][]byte{}}
}

// Version returns the current version, or 0.
func (h *History) Version() int64 { return h.current().number }

// Fingerprint returns the fingerprint of the current version, or 0.
func (h *History) Fingerprint() uint64 { return h.current().fingerprint }

func (h *History) current() version {
	if len(h.versions) == 0 {
		return version{}
	}
	return h.versions[len(h.versions)-1]
}

// Add makes a version the current one and drops the oldest ones above the budget.
func (h *History) Add(number int64, content []byte) {
	h.versions = append(h.versions, version{number, delta.Fingerprint(content), content})
	h.size += len(content)
	for h.size > h.budget && len(h.versions) > minHistoryVersions {
		h.size -= len(h.versions[0].content)
		h.versions[0] = version{} // Frees the content.
		h.versions = h.versions[1:]
	}
	clear(h.encoded)
}

// Base returns the content with a fingerprint.
func (h *History) Base(fingerprint uint64) ([]byte, bool) {
	for _, v := range h.versions {
		if v.fingerprint == fingerprint {
			return v.content, true
		}
	}
	return nil, false
}

// Encode returns the current version relative to the one with the given
// fingerprint, or whole if that is not kept, and the fingerprint of the base in
// use, which is then 0.
func (h *History) Encode(fingerprint uint64) (encoded []byte, base uint64, err error) {
	content, ok := h.Base(fingerprint)
	if !ok || fingerprint == h.Fingerprint() {
		fingerprint = 0
	}
	if encoded, ok = h.encoded[fingerprint]; ok {
		return encoded, fingerprint, nil
	}
	if fingerprint == 0 {
		content = nil
	}
	if encoded, err = delta.Encode(content, h.current().content); err != nil {
		return nil, 0, err
	}
	h.encoded[fingerprint] = encoded
	return encoded, fingerprint, nil
}

// Decode returns the document of an encoded version. One whose base is not
// kept, or that does not fit it, is a *delta.BaseError.
func (h *History) Decode(encoded []byte, base uint64) ([]byte, error) {
	var content []byte
	if base != 0 {
		var ok bool
		if content, ok = h.Base(base); !ok {
			return nil, &delta.BaseError{Cause: &UnknownBaseError{Fingerprint: base}}
		}
	}
	return delta.Decode(content, encoded)
}

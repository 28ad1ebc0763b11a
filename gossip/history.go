package gossip

import "github.com/vanillaarch/vanillaarch/delta"

// Size limits of the versions that a VM keeps as delta bases. At least
// minHistoryVersions are kept, whatever their size.
const (
	// BundleHistoryBytes holds 13 versions of 313 kB, which cover 36 s at 31,000
	// changes per day. A VM that is further behind fetches the full bundle.
	BundleHistoryBytes = 4 << 20
	// VMListHistoryBytes holds 4 versions of 1.75 MB.
	VMListHistoryBytes = 8 << 20
	// EvacuationsHistoryBytes holds more than a hundred versions of a few dozen bytes.
	EvacuationsHistoryBytes = 16 << 10
	minHistoryVersions      = 2
)

// History keeps the content of recent versions of a document and caches the
// encodings of the current version, so that a change is encoded once and not once
// per peer.
type History struct {
	budget   int
	size     int
	versions []version // The last one is current.
	// encoded caches the deltas of the current version by the fingerprint of their
	// base. Key 0 holds the full version, compressed.
	encoded map[uint64][]byte
}

type version struct {
	number      int64
	fingerprint uint64
	content     []byte
}

// NewHistory returns an empty history that keeps at most budget bytes, but at least
// minHistoryVersions.
func NewHistory(budget int) *History {
	return &History{budget: budget, encoded: map[uint64][]byte{}}
}

// Version returns the current version, or 0 if the history is empty.
func (h *History) Version() int64 { return h.current().number }

// Fingerprint returns the fingerprint of the current version, or 0 if the history
// is empty.
func (h *History) Fingerprint() uint64 { return h.current().fingerprint }

func (h *History) current() version {
	if len(h.versions) == 0 {
		return version{}
	}
	return h.versions[len(h.versions)-1]
}

// Add appends a version as the current one and evicts the oldest versions that
// exceed the budget.
func (h *History) Add(number int64, content []byte) {
	h.versions = append(h.versions, version{number, delta.Fingerprint(content), content})
	h.size += len(content)
	for h.size > h.budget && len(h.versions) > minHistoryVersions {
		h.size -= len(h.versions[0].content)
		h.versions[0] = version{} // Release the content to the garbage collector.
		h.versions = h.versions[1:]
	}
	clear(h.encoded)
}

// Base returns the content of the version with the given fingerprint.
func (h *History) Base(fingerprint uint64) ([]byte, bool) {
	for _, v := range h.versions {
		if v.fingerprint == fingerprint {
			return v.content, true
		}
	}
	return nil, false
}

// Encode returns the current version as a delta against the version with the given
// fingerprint, and that fingerprint. If the history does not hold that version, or
// it is the current one, Encode returns the full version and 0.
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

// Decode decodes a version. The error is a *delta.BaseError if the base is not in
// the history or the delta cannot be applied to it.
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

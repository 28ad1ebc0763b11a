package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/internal/hash"
)

// Content is what identifies a request and the prompt parts that it holds.
type Content struct {
	// Method is "" for a request that is known by its parts only. Target is the path with
	// the query as sent.
	Method, Target, Organisation string
	Body                         []byte
	// Prompt names the model and all parts of the prompt, which may be in headers only.
	Prompt []string
	// Pool names the engines that may run a stream, Parts are the ids of its shared parts in
	// any order. Both may be empty.
	Pool  string
	Parts []string
}

// Request is one request with the rules that it probes. It is not safe for concurrent use.
type Request struct {
	// Run identifies the request, another one for each repeat by the caller.
	Run uint32
	// Whole identifies method, target, organisation and body, 0 if unknown. It is the same
	// for each repeat by the caller.
	Whole PartID
	// Organisation is a hash of the caller's organisation, for the limits of the tables.
	Organisation uint32
	// Parts are the distinct parts that other requests may share, in ascending order.
	Parts  []PartID
	probes []probe
	// crashed lists the servers that have crashed under the request.
	crashed []uint32
}

// ids returns the parts and the whole request, in ascending order.
func (r *Request) ids() []PartID {
	if r.Whole == 0 {
		return r.Parts
	}
	return append(slices.Clip(r.Parts), r.Whole)
}

// evidence returns what failures and successes name of a request.
func evidence(ids []PartID) []PartID {
	n := len(ids)
	if n == 0 || !ids[n-1].IsWhole() {
		return ids[:min(n, MaxParts)]
	}
	return append(slices.Clip(ids[:min(n, MaxParts)-1]), ids[n-1])
}

// NewRequest returns the request with an id.
func NewRequest(id string, c Content) *Request {
	r := &Request{Run: uint32(xxhash.Sum64String(id)), Organisation: uint32(xxhash.Sum64String(c.Organisation)), Whole: c.whole()}
	for _, part := range c.Parts {
		r.Parts = append(r.Parts, PartID(hash.Pair(c.Pool, part))&^wholeRequest)
	}
	slices.Sort(r.Parts)
	r.Parts = slices.Compact(r.Parts)
	return r
}

// wholeRequest is the bit that distinguishes a whole request from a part of a prompt.
const wholeRequest PartID = 1 << 63

// IsWhole reports whether the id is that of a whole request.
func (p PartID) IsWhole() bool { return p&wholeRequest != 0 }

// whole returns the id of the whole request. It is a cryptographic hash, so that a caller
// can't build a request with the id of another one.
func (c Content) whole() PartID {
	if c.Method == "" {
		return 0
	}
	fields := append([]string{c.Method, c.Target, c.Organisation}, c.Prompt...)
	h := sha256.New()
	for _, field := range fields {
		writeField(h.Write, []byte(field))
	}
	writeField(h.Write, c.Body)
	return PartID(binary.LittleEndian.Uint64(h.Sum(nil))) | wholeRequest
}

// writeField writes a field after its length, so that no two lists of fields look alike.
func writeField(write func([]byte) (int, error), field []byte) {
	_, _ = write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = write(field)
}

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
	// Whole is the key of method, target, organisation, body and prompt, 0 if unknown. It is
	// the same for each repeat by the caller.
	Whole Key
	// Organisation is a hash of the caller's organisation, for the limits of the tables.
	Organisation uint32
	// Parts are the distinct keys of the parts that other requests may share, in ascending
	// order.
	Parts  []Key
	probes []probe
	// crashed lists the servers that have crashed under the request.
	crashed []uint32
}

// keys returns those of the parts and of the whole request, in ascending order.
func (r *Request) keys() []Key {
	if r.Whole == 0 {
		return r.Parts
	}
	return append(slices.Clip(r.Parts), r.Whole)
}

// evidence returns the keys of a request that failures and successes name.
func evidence(keys []Key) []Key {
	n := len(keys)
	if n == 0 || !keys[n-1].IsWhole() {
		return keys[:min(n, maxKeys)]
	}
	return append(slices.Clip(keys[:min(n, maxKeys)-1]), keys[n-1])
}

// NewRequest returns the request with an id.
func NewRequest(id string, c Content) *Request {
	r := &Request{Run: uint32(xxhash.Sum64String(id)), Organisation: uint32(xxhash.Sum64String(c.Organisation)), Whole: c.whole()}
	for _, part := range c.Parts {
		r.Parts = append(r.Parts, Key(hash.Pair(c.Pool, part))&^wholeRequest)
	}
	slices.Sort(r.Parts)
	r.Parts = slices.Compact(r.Parts)
	return r
}

// wholeRequest is the bit of a key that tells a whole request from a part of a prompt.
const wholeRequest Key = 1 << 63

// IsWhole reports whether the key is that of a whole request.
func (k Key) IsWhole() bool { return k&wholeRequest != 0 }

// whole returns the key of the whole request. It is a cryptographic hash, so that a caller
// can't build a request with the key of another one.
func (c Content) whole() Key {
	if c.Method == "" {
		return 0
	}
	fields := append([]string{c.Method, c.Target, c.Organisation}, c.Prompt...)
	h := sha256.New()
	for _, field := range fields {
		writeField(h.Write, []byte(field))
	}
	writeField(h.Write, c.Body)
	return Key(binary.LittleEndian.Uint64(h.Sum(nil))) | wholeRequest
}

// writeField writes a field after its length, so that no two lists of fields look alike.
func writeField(write func([]byte) (int, error), field []byte) {
	_, _ = write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = write(field)
}

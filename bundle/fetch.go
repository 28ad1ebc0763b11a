package bundle

import (
	"context"
	"crypto/ed25519"
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/delta"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

func deltaKey(v int64) string { return fmt.Sprintf("%s%d", deltaPrefix, v) }

// putDelta stores b relative to the version in force and returns the base
// version of the delta that is stored, or 0 if there is none. Without a delta
// watchers read the whole version, so a failure does not stop a rollout.
func (s *Store) putDelta(ctx context.Context, inForce int64, b *Signed) int64 {
	if inForce <= 0 {
		return 0
	}
	base, err := s.Get(ctx, inForce)
	if err != nil {
		return 0
	}
	value, err := encodeDelta(base, b)
	if err != nil {
		return 0
	}
	_, err = s.kv.CompareAndSwap(ctx, deltaKey(b.Version), value, 0, 0)
	if err == nil {
		return inForce
	}
	if !kv.IsAmbiguous(err) {
		return 0
	}
	// A delta is immutable too. An earlier rollout that lost its race may have
	// stored one against another base.
	entry, err := s.readBack(ctx, deltaKey(b.Version))
	if err != nil {
		return 0
	}
	var stored peerpb.BundleDelta
	if proto.Unmarshal(entry.Value, &stored) != nil {
		return 0
	}
	return stored.GetBaseVersion()
}

// FetchResult is a bundle that was read and verified.
type FetchResult struct {
	Signed *Signed
	Index  *Index
	// DeltaError says why the whole version was read although held was the base
	// of the stored delta. It is nil if the delta was used, or was not tried.
	DeltaError error
}

// Fetch reads and verifies the bundle that the head names. If held is the base
// of the stored delta, only the delta is read; a missing or unfit one leads to
// the whole version.
func (s *Store) Fetch(ctx context.Context, head Head, held *Signed, keys []ed25519.PublicKey) (*FetchResult, error) {
	var deltaErr error
	if held != nil && head.DeltaBase == held.Version {
		var f *FetchResult
		if f, deltaErr = s.fetchDelta(ctx, head, held, keys); deltaErr == nil {
			return f, nil
		}
	}
	signed, err := s.Get(ctx, head.Version)
	if err != nil {
		return nil, err
	}
	f, err := openForHead(signed, head, keys)
	if err != nil {
		return nil, err
	}
	f.DeltaError = deltaErr
	return f, nil
}

func (s *Store) fetchDelta(ctx context.Context, head Head, held *Signed, keys []ed25519.PublicKey) (*FetchResult, error) {
	entry, err := s.kv.Get(ctx, deltaKey(head.Version))
	if err != nil {
		return nil, errors.Wrap(err, "read bundle delta")
	}
	signed, err := applyDelta(held, entry.Value)
	if err != nil {
		return nil, err
	}
	return openForHead(signed, head, keys)
}

// openForHead verifies a bundle that was read for a head.
func openForHead(signed *Signed, head Head, keys []ed25519.PublicKey) (*FetchResult, error) {
	if signed.Version != head.Version || signed.Digest != head.Digest {
		return nil, &SignatureError{Version: head.Version, Reason: "head names other content"}
	}
	index, err := signed.Open(keys)
	if err != nil {
		return nil, err
	}
	return &FetchResult{Signed: signed, Index: index}, nil
}

// compress returns the form of a whole version in the key-value service.
func (s *Signed) compress() ([]byte, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return delta.Encode(nil, data)
}

func decompress(value []byte) (*Signed, error) {
	data, err := delta.Decode(nil, value)
	if err != nil {
		return nil, err
	}
	return DecodeSigned(data)
}

// encodeDelta returns b relative to base in the form of the key-value service.
func encodeDelta(base, b *Signed) ([]byte, error) {
	from, err := base.Encode()
	if err != nil {
		return nil, err
	}
	to, err := b.Encode()
	if err != nil {
		return nil, err
	}
	encoded, err := delta.Encode(from, to)
	if err != nil {
		return nil, err
	}
	value, err := proto.Marshal(&peerpb.BundleDelta{
		BaseVersion: base.Version, BaseFingerprint: delta.Fingerprint(from), Encoded: encoded,
	})
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	return value, nil
}

// applyDelta returns the bundle that a delta of the key-value service leads to from base.
func applyDelta(base *Signed, value []byte) (*Signed, error) {
	var m peerpb.BundleDelta
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, &FormatError{Cause: err}
	}
	from, err := base.Encode()
	if err != nil {
		return nil, err
	}
	if err := delta.CheckBase(from, m.GetBaseFingerprint()); err != nil {
		return nil, err
	}
	data, err := delta.Decode(from, m.GetEncoded())
	if err != nil {
		return nil, err
	}
	return DecodeSigned(data)
}

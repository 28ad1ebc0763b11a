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

// putDelta stores the delta from the version in force to b and returns the base
// version of the stored delta, or 0 if there is none. Without a delta, watchers
// read the full version, so a failure does not stop a rollout.
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
	// A stored delta never changes. An earlier rollout that lost the race for the
	// head may have stored one against a different base.
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

// FetchResult holds a bundle that was read and verified.
type FetchResult struct {
	Signed *Signed
	Index  *Index
	// DeltaError is the reason why the full version was read although the held
	// version was the base of the stored delta. It is nil if the delta was used or
	// was not tried.
	DeltaError error
}

// Fetch reads and verifies the bundle that the head refers to. If held is the
// base of the stored delta, Fetch reads only the delta and falls back to the full
// version if the delta is missing or cannot be applied.
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

// openForHead verifies a bundle and checks that it is the one that head refers to.
func openForHead(signed *Signed, head Head, keys []ed25519.PublicKey) (*FetchResult, error) {
	if signed.Version != head.Version || signed.Digest != head.Digest {
		return nil, &SignatureError{Version: head.Version, Reason: "head refers to different content"}
	}
	index, err := signed.Open(keys)
	if err != nil {
		return nil, err
	}
	return &FetchResult{Signed: signed, Index: index}, nil
}

// compress returns the stored encoding of a full version.
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

// encodeDelta returns the stored encoding of the delta from base to b.
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

// applyDelta applies a stored delta to base and returns the resulting bundle.
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

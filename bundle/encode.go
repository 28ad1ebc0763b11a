package bundle

import (
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// FormatError reports a bundle that cannot be encoded or decoded.
type FormatError struct{ Cause error }

func (e *FormatError) Error() string { return "decode signed bundle: " + e.Cause.Error() }

func (e *FormatError) Unwrap() error { return e.Cause }

// Encode returns the deterministic encoding that deltas are computed from, so
// that equal bundles have equal bytes.
func (s *Signed) Encode() ([]byte, error) {
	digest, err := hex.DecodeString(s.Digest)
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&peerpb.SignedBundle{
		Version: s.Version, Content: s.Content, Digest: digest, Signature: s.Signature,
	})
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	return data, nil
}

// DecodeSigned decodes the result of Encode without verifying the bundle.
func DecodeSigned(data []byte) (*Signed, error) {
	var m peerpb.SignedBundle
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &FormatError{Cause: err}
	}
	return &Signed{
		Version: m.GetVersion(), Content: m.GetContent(), Digest: hex.EncodeToString(m.GetDigest()), Signature: m.GetSignature(),
	}, nil
}

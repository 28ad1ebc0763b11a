package bundle

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/kv"
)

// Keys of the key-value service.
const (
	HeadKey       = "bundle/head"
	versionPrefix = "bundle/v/"
	deltaPrefix   = "bundle/d/"
)

// Signed is an encoded document with its signature. VMs exchange bundles in this
// form, so that each VM verifies the content itself.
type Signed struct {
	Version int64
	Content []byte
	// Digest is the SHA-256 digest of the content, in hex.
	Digest string
	// Signature is the Ed25519 signature of the content.
	Signature []byte
}

func (s *Signed) equal(o *Signed) bool {
	return s.Version == o.Version && s.Digest == o.Digest &&
		bytes.Equal(s.Content, o.Content) && bytes.Equal(s.Signature, o.Signature)
}

// Sign validates doc and signs its canonical form.
func Sign(doc *Document, key ed25519.PrivateKey) (*Signed, error) {
	if violations := doc.Validate(); len(violations) > 0 {
		return nil, &InvalidError{Violations: violations}
	}
	content, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	s := &Signed{Version: doc.Version, Content: content, Digest: Digest(content)}
	if key != nil {
		s.Signature = ed25519.Sign(key, content)
	}
	return s, nil
}

// Open verifies a signed bundle and returns its index. Without keys the signature
// is not checked; the digest and the content always are.
func (s *Signed) Open(keys []ed25519.PublicKey) (*Index, error) {
	if Digest(s.Content) != s.Digest {
		return nil, &SignatureError{Version: s.Version, Reason: "digest does not match the content"}
	}
	if !hasTrustedSignature(s, keys) {
		return nil, &SignatureError{Version: s.Version, Reason: "no trusted key verifies the signature"}
	}
	doc, err := parseCanonical(s.Content)
	if err != nil {
		return nil, err
	}
	if doc.Version != s.Version {
		return nil, &SignatureError{Version: s.Version, Reason: "content has a different version"}
	}
	return NewIndex(doc, s.Digest), nil
}

func hasTrustedSignature(s *Signed, keys []ed25519.PublicKey) bool {
	if len(keys) == 0 {
		return true
	}
	for _, k := range keys {
		if ed25519.Verify(k, s.Content, s.Signature) {
			return true
		}
	}
	return false
}

// SignatureError reports a bundle whose content cannot be trusted.
type SignatureError struct {
	Version int64
	Reason  string
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("bundle version %d rejected: %s", e.Version, e.Reason)
}

// Head identifies the bundle in force.
type Head struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Operation identifies the rollout that wrote the head.
	Operation string `json:"operation"`
	Operator  string `json:"operator,omitempty"`
	// DeltaBase is the version that the stored delta applies to, or 0 if there is
	// no delta.
	DeltaBase int64 `json:"delta_base,omitempty"`
}

// ConflictError reports a rollout that conflicts with the version in force.
type ConflictError struct {
	Requested int64
	InForce   Head
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("rollout of version %d refused: version %d is in force (operator %q)",
		e.Requested, e.InForce.Version, e.InForce.Operator)
}

// VersionExistsError reports a version that is already stored with different
// content.
type VersionExistsError struct{ Version int64 }

func (e *VersionExistsError) Error() string {
	return fmt.Sprintf("bundle version %d is already stored with different content", e.Version)
}

// Store keeps bundles in the key-value service.
type Store struct {
	kv interface {
		kv.Getter
		kv.Swapper
	}
}

// NewStore returns a store on top of the key-value service.
func NewStore(s interface {
	kv.Getter
	kv.Swapper
},
) *Store {
	return &Store{kv: s}
}

func versionKey(v int64) string { return fmt.Sprintf("%s%d", versionPrefix, v) }

// Put stores a signed bundle under its version. Storing the same content again
// succeeds; different content is a *VersionExistsError.
func (s *Store) Put(ctx context.Context, b *Signed) error {
	value, err := b.compress()
	if err != nil {
		return errors.Wrap(err, "encode signed bundle")
	}
	key := versionKey(b.Version)
	_, err = s.kv.CompareAndSwap(ctx, key, value, 0, 0)
	if err == nil {
		return nil
	}
	if !kv.IsAmbiguous(err) {
		return errors.Wrap(err, "store bundle")
	}
	entry, getErr := s.readBack(ctx, key)
	if getErr != nil {
		return errors.Wrap(err, "store bundle")
	}
	// Different releases of the compressor may produce different bytes for equal
	// content, so the decoded bundles are compared.
	stored, decodeErr := decompress(entry.Value)
	if decodeErr != nil || !stored.equal(b) {
		return &VersionExistsError{Version: b.Version}
	}
	return nil
}

// Get returns the bundle stored under a version.
func (s *Store) Get(ctx context.Context, version int64) (*Signed, error) {
	entry, err := s.kv.Get(ctx, versionKey(version))
	if err != nil {
		return nil, errors.Wrap(err, "read bundle")
	}
	b, err := decompress(entry.Value)
	if err != nil {
		return nil, errors.Wrap(err, "decode bundle")
	}
	return b, nil
}

// Head returns the head and its revision, both zero if no head exists.
func (s *Store) Head(ctx context.Context) (Head, int64, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if _, ok := errors.Into[*kv.NotFoundError](err); ok {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "read head")
	}
	return DecodeHead(entry)
}

// DecodeHead parses the entry of HeadKey.
func DecodeHead(entry kv.Entry) (Head, int64, error) {
	var h Head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return Head{}, 0, errors.Wrap(err, "decode head")
	}
	return h, entry.Revision, nil
}

// Rollout moves the head to a stored version. Versions only increase: if the
// version in force is the same or higher, Rollout returns a *ConflictError.
func (s *Store) Rollout(ctx context.Context, version int64, operator string) (Head, error) {
	b, err := s.Get(ctx, version)
	if err != nil {
		return Head{}, err
	}
	head, revision, err := s.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	if head.Version >= version {
		return Head{}, &ConflictError{Requested: version, InForce: head}
	}
	next := Head{
		Version: version, Digest: b.Digest, Operation: uuid.NewString(), Operator: operator,
		DeltaBase: s.putDelta(ctx, head.Version, b),
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode head")
	}
	_, err = s.kv.CompareAndSwap(ctx, HeadKey, value, revision, 0)
	if err == nil {
		return next, nil
	}
	if !kv.IsAmbiguous(err) {
		return Head{}, errors.Wrap(err, "move head")
	}
	return s.resolveRollout(ctx, next, err)
}

// resolveRollout determines the result of a rollout whose write conflicted or
// whose response was lost, by reading the head back. The operation id identifies
// the write that took effect.
func (s *Store) resolveRollout(ctx context.Context, next Head, cause error) (Head, error) {
	entry, err := s.readBack(ctx, HeadKey)
	if err != nil {
		return Head{}, errors.Wrap(cause, "rollout result unknown")
	}
	head, _, err := DecodeHead(entry)
	if err != nil {
		return Head{}, err
	}
	switch {
	case head.Operation == next.Operation:
		return next, nil
	case head.Version >= next.Version || isConflict(cause):
		// A write that conflicted has not taken effect and never will, even if
		// the version in force is lower.
		return Head{}, &ConflictError{Requested: next.Version, InForce: head}
	default:
		// A lower version is in force. A delayed write may still take effect.
		return Head{}, errors.Wrap(cause, "rollout has not taken effect")
	}
}

func isConflict(err error) bool {
	_, ok := errors.Into[*kv.ConflictError](err)
	return ok
}

// Attempts, and the delay between them, to read back an ambiguous write.
const (
	readBackAttempts = 5
	readBackDelay    = 200 * time.Millisecond
)

func (s *Store) readBack(ctx context.Context, key string) (kv.Entry, error) {
	var err error
	for range readBackAttempts {
		var entry kv.Entry
		entry, err = s.kv.Get(ctx, key)
		if err == nil {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return kv.Entry{}, ctx.Err()
		case <-time.After(readBackDelay):
		}
	}
	return kv.Entry{}, err
}

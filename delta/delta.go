// Package delta encodes a version of a document relative to an earlier version,
// so that the encoding of a small change to a large document is small. It uses
// zstd with the earlier version as the dictionary.
package delta

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// Parameters of the codec.
const (
	dictionaryID = 1
	// minWindowBytes is the smallest window size that zstd supports.
	minWindowBytes = 1 << 10
	// MaxDocumentBytes is the maximum size of a document before encoding and after
	// decoding.
	MaxDocumentBytes = 8 << 20
)

// BaseError reports a delta that cannot be applied to the given base.
type BaseError struct{ Cause error }

func (e *BaseError) Error() string { return fmt.Sprintf("delta does not match its base: %v", e.Cause) }

func (e *BaseError) Unwrap() error { return e.Cause }

// SizeError reports a document larger than MaxDocumentBytes.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("document of %d bytes exceeds the limit of %d bytes", e.Size, MaxDocumentBytes)
}

// Fingerprint returns a hash that identifies a base. Sender and receiver compare
// it before a delta is applied, because zstd does not detect a different
// dictionary of equal length.
func Fingerprint(base []byte) uint64 { return xxhash.Sum64(base) }

// FingerprintError reports that a delta was encoded against a different base.
type FingerprintError struct{ Want, Got uint64 }

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("base has fingerprint %x, but the delta was encoded against %x", e.Got, e.Want)
}

// CheckBase returns a *BaseError if the fingerprint of base is not want.
func CheckBase(base []byte, want uint64) error {
	if got := Fingerprint(base); got != want {
		return &BaseError{Cause: &FingerprintError{Want: want, Got: got}}
	}
	return nil
}

// Encode returns document encoded relative to base. With an empty base the whole
// document is compressed.
func Encode(base, document []byte) ([]byte, error) {
	if len(document) > MaxDocumentBytes {
		return nil, &SizeError{Size: len(document)}
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(true), zstd.WithWindowSize(windowBytes(len(base) + len(document))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, &BaseError{Cause: err}
	}
	defer enc.Close()
	return enc.EncodeAll(document, nil), nil
}

// windowBytes returns a power of two larger than size, the combined size of base
// and document, which keeps the memory for small documents low.
func windowBytes(size int) int {
	return max(minWindowBytes, 1<<bits.Len(uint(size)))
}

// Decode applies a delta to base and returns the document. It returns a
// *BaseError if the delta cannot be applied, which the checksum in the encoding
// detects.
func Decode(base, encoded []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDocumentBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, &BaseError{Cause: err}
	}
	defer dec.Close()
	document, err := dec.DecodeAll(encoded, nil)
	if err != nil {
		return nil, &BaseError{Cause: err}
	}
	return document, nil
}

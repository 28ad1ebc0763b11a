// Package delta encodes a version of a document relative to an earlier one, so
// that a small change of a large document costs few bytes. It uses zstd with
// the earlier version as the dictionary.
package delta

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// Limits of the codec.
const (
	dictionaryID = 1
	// minWindowBytes is the smallest window that zstd allows.
	minWindowBytes = 1 << 10
	// MaxDocumentBytes bounds a decoded document.
	MaxDocumentBytes = 8 << 20
)

// BaseError reports a delta that does not fit the base it was applied to.
type BaseError struct{ Cause error }

func (e *BaseError) Error() string { return fmt.Sprintf("delta does not fit its base: %v", e.Cause) }

func (e *BaseError) Unwrap() error { return e.Cause }

// SizeError reports a document above MaxDocumentBytes.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("document has %d bytes, at most %d are allowed", e.Size, MaxDocumentBytes)
}

// Fingerprint identifies a base. Both sides compare it before a delta is used,
// because zstd does not notice a different dictionary of equal length.
func Fingerprint(base []byte) uint64 { return xxhash.Sum64(base) }

// FingerprintError reports that a delta was made for another base.
type FingerprintError struct{ Want, Got uint64 }

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("base has fingerprint %x, the delta is for %x", e.Got, e.Want)
}

// CheckBase returns a *BaseError if base does not have the fingerprint.
func CheckBase(base []byte, want uint64) error {
	if got := Fingerprint(base); got != want {
		return &BaseError{Cause: &FingerprintError{Want: want, Got: got}}
	}
	return nil
}

// Encode returns document relative to base. An empty base compresses the whole document.
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

// windowBytes returns the least power of two that covers base and document, so that
// small documents cost little memory.
func windowBytes(size int) int {
	return max(minWindowBytes, 1<<bits.Len(uint(size)))
}

// Decode returns the document of a delta. A delta that does not fit the base
// is a *BaseError; its checksum is part of the encoding.
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

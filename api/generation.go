package api

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// generationRandomBytes is the size of the random part of a generation id.
// 16 bytes make an id unguessable, so that it also authorises a resume.
const generationRandomBytes = 16

// GenerationID names one run of a model on one backend server. It carries the
// backend server's id, so that any VM can resume the stream without shared state.
type GenerationID struct {
	Backend string
	Random  string
}

// NewGenerationID returns a fresh id for a generation on the backend server.
func NewGenerationID(backend string) GenerationID {
	var b [generationRandomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return GenerationID{Backend: backend, Random: hex.EncodeToString(b[:])}
}

// String returns the form "<backend id>.<32 hex digits>".
func (g GenerationID) String() string { return g.Backend + "." + g.Random }

// ParseGenerationID parses the form written by GenerationID.String.
// It returns an *InvalidEventIDError for any other input.
func ParseGenerationID(s string) (GenerationID, error) {
	i := strings.LastIndexByte(s, '.')
	if i <= 0 || len(s)-i-1 != 2*generationRandomBytes {
		return GenerationID{}, &InvalidEventIDError{Value: s}
	}
	random, err := hex.DecodeString(s[i+1:])
	if err != nil || hex.EncodeToString(random) != s[i+1:] {
		return GenerationID{}, &InvalidEventIDError{Value: s}
	}
	return GenerationID{Backend: s[:i], Random: s[i+1:]}, nil
}

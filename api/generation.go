package api

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Sizes of the parts of a generation id, in bytes.
const (
	// generationRandomBytes is the random part, which makes an id unique and
	// unguessable.
	generationRandomBytes = 10
	// generationOwnerBytes is the truncated digest that binds the id to the
	// organisation that started the generation.
	generationOwnerBytes = 6
	generationBytes      = generationRandomBytes + generationOwnerBytes
)

// GenerationID identifies one run of a model on a backend server. It contains the
// backend server's id, so that any VM can resume the stream without shared state, and
// a digest of the organisation that started it, so that no other organisation can
// resume it. The digest needs no secret: a modified id matches no generation.
type GenerationID struct {
	Backend string
	// Token is the random part and the digest, in hex.
	Token string
}

// NewGenerationID returns a new random id for a generation that an organisation
// starts on the backend server.
func NewGenerationID(backend, organisation string) GenerationID {
	var b [generationRandomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return GenerationID{Backend: backend, Token: hex.EncodeToString(append(b[:], ownerDigest(backend, organisation, b[:])...))}
}

// OwnedBy reports whether the organisation started the generation.
func (g GenerationID) OwnedBy(organisation string) bool {
	token, err := hex.DecodeString(g.Token)
	if err != nil || len(token) != generationBytes {
		return false
	}
	random, digest := token[:generationRandomBytes], token[generationRandomBytes:]
	return subtle.ConstantTimeCompare(digest, ownerDigest(g.Backend, organisation, random)) == 1
}

// ownerDigest returns the digest that binds a generation to an organisation.
func ownerDigest(backend, organisation string, random []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(backend), []byte(organisation), random} {
		// The length prefix makes the encoding of the parts unambiguous.
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)[:generationOwnerBytes]
}

// String returns the form "<backend id>.<32 hex digits>".
func (g GenerationID) String() string { return g.Backend + "." + g.Token }

// ParseGenerationID parses the form written by GenerationID.String.
// It returns an *InvalidEventIDError for any other input.
func ParseGenerationID(s string) (GenerationID, error) {
	i := strings.LastIndexByte(s, '.')
	if i <= 0 || len(s)-i-1 != 2*generationBytes {
		return GenerationID{}, &InvalidEventIDError{Value: s}
	}
	token, err := hex.DecodeString(s[i+1:])
	if err != nil || hex.EncodeToString(token) != s[i+1:] {
		return GenerationID{}, &InvalidEventIDError{Value: s}
	}
	return GenerationID{Backend: s[:i], Token: s[i+1:]}, nil
}

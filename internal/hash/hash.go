// Package hash combines strings into one 64-bit hash.
package hash

import "github.com/cespare/xxhash/v2"

// separator makes the hashes of the pairs ("a", "bc") and ("ab", "c") differ.
var separator = []byte{0}

// Pair returns a hash of two strings that do not contain a zero byte. It is the same in
// all processes.
func Pair(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a) // xxhash never returns an error
	_, _ = d.Write(separator)
	_, _ = d.WriteString(b)
	return d.Sum64()
}

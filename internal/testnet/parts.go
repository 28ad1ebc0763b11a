package testnet

import (
	"io"
	"time"
)

// WriteInParts writes a body one byte at a time, with a pause before each, and returns the
// longest time between two writes. On a machine that is short of processor time it can be much
// longer than pause.
func WriteInParts(w io.Writer, parts int, pause time.Duration) (longest time.Duration, err error) {
	last := time.Now()
	for range parts {
		time.Sleep(pause)
		now := time.Now()
		longest, last = max(longest, now.Sub(last)), now
		if _, err := io.WriteString(w, "x"); err != nil {
			return longest, err
		}
	}
	return longest, nil
}

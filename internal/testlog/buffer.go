// Package testlog collects the logs of VMs in tests.
package testlog

import (
	"bytes"
	"sync"
)

// Buffer holds the log of one or several VMs. Background tasks that outlive the time
// for stopping still write to it while the test reads it.
type Buffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// String returns all that was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

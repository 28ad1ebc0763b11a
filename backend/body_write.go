package backend

import "io"

// bodyWrite is the body of a request that is written while the response is read. A nil
// *bodyWrite is a body that was written before.
type bodyWrite struct {
	// done is closed once the write has ended, after err was set.
	done chan struct{}
	err  error
}

// beginBodyWrite starts to write a body. The write ends at the latest when w is closed.
func beginBodyWrite(w io.Writer, body []byte) *bodyWrite {
	b := &bodyWrite{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		_, b.err = w.Write(body)
	}()
	return b
}

// wait waits for the end of the write and returns its error.
func (b *bodyWrite) wait() error {
	if b == nil {
		return nil
	}
	<-b.done
	return b.err
}

// hasSucceeded reports whether the whole body has been written.
func (b *bodyWrite) hasSucceeded() bool {
	if b == nil {
		return true
	}
	select {
	case <-b.done:
		return b.err == nil
	default:
		return false
	}
}

// Package recovery turns panics into errors: that of a request handler, so that its caller gets an
// answer where http.Server only closes the connection, and that of background work, which would end
// the process.
package recovery

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// PanicError is the panic of a handler.
type PanicError struct {
	Value any
	Stack []byte
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Call calls f. If f panics, it returns a *PanicError, unless the panic is
// http.ErrAbortHandler, which asks for the connection to be closed.
func Call(f func() error) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value == http.ErrAbortHandler {
			panic(value)
		}
		err = &PanicError{Value: value, Stack: debug.Stack()}
	}()
	return f()
}

// Run calls f and returns its panic, nil if there was none.
func Run(f func()) (panicked *PanicError) {
	defer func() {
		if value := recover(); value != nil {
			panicked = &PanicError{Value: value, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

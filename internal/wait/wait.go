// Package wait provides a sleep that a context can cancel.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx is cancelled first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

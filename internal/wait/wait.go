// Package wait has the pause that ends with a context.
package wait

import (
	"context"
	"time"
)

// Sleep pauses for d and reports whether ctx lasted.
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

package requestbody

import (
	"sync"
	"time"
)

// Allowance is a number of bytes a second, of which up to one second's can be saved up. It is safe
// for concurrent use.
type Allowance struct {
	perSecond int64
	now       func() time.Duration

	mu   sync.Mutex
	left float64
	at   time.Duration
}

// NewAllowance returns an allowance that is full.
func NewAllowance(perSecond int64, now func() time.Duration) *Allowance {
	return &Allowance{perSecond: perSecond, now: now, left: float64(perSecond), at: now()}
}

// Take takes a number of bytes. It returns false, and takes nothing, if fewer are left.
func (a *Allowance) Take(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.left = min(a.left+(now-a.at).Seconds()*float64(a.perSecond), float64(a.perSecond))
	a.at = now
	if float64(bytes) > a.left {
		return false
	}
	a.left -= float64(bytes)
	return true
}

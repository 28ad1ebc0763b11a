package discovery

import (
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
)

// eraSource is the source of an era that a call of this VM has seen.
const eraSource = "store"

// eraWatch knows the highest era of the store of which this VM has heard: its own calls know it
// at once, the control state follows.
type eraWatch struct {
	seen atomic.Int64
	loop *control.Loop
}

// observe records the era of an answer, and reports whether it has risen.
func (w *eraWatch) observe(era kv.Era) (rose bool) {
	for {
		seen := w.seen.Load()
		if int64(era) <= seen {
			return false
		}
		if w.seen.CompareAndSwap(seen, int64(era)) {
			w.loop.Post(control.EraSeen{Era: int64(era), Source: eraSource})
			return true
		}
	}
}

// current returns the current era.
func (w *eraWatch) current() kv.Era {
	return kv.Era(max(w.seen.Load(), w.loop.Snapshot().Era))
}

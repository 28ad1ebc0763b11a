package soak

import (
	"math/rand/v2"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// pickServer returns a random server. With removes set it also takes the server
// off the list, and returns nil if fewer than minServersPerService would be left.
func (h *harness) pickServer(r *rand.Rand, removes bool) *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := r.IntN(len(h.servers))
	x := h.servers[i]
	if !removes {
		return x
	}
	same := 0
	for _, y := range h.servers {
		if y.IsEngine() == x.IsEngine() {
			same++
		}
	}
	if same <= minServersPerService {
		return nil
	}
	h.servers = append(h.servers[:i:i], h.servers[i+1:]...)
	return x
}

func (h *harness) faultServerLink(r *rand.Rand, d time.Duration) {
	x, f := h.pickServer(r, false), 1+linkFault(r.IntN(int(linkFaultCount)-1))
	h.recordFault("link of %s is %v", x.ID(), f)
	defer h.faults.begin(scopeServers)()
	defer h.faults.begin(scopeLink(x.ID()))()
	x.link.setFault(f)
	time.Sleep(d)
	x.link.setFault(linkHealthy)
}

func (h *harness) faultServer(r *rand.Rand, d time.Duration) {
	x := h.pickServer(r, false)
	f := []userplatform.ServerFaults{
		{Shed: true}, {Fail: true}, {Truncate: true}, {Extra: true}, {Unsigned: true}, {Hang: true}, {BreakAfter: 7},
	}[r.IntN(7)]
	h.recordFault("%s %+v", x.ID(), f)
	defer h.faults.begin(scopeServers)()
	x.SetFaults(f)
	time.Sleep(d)
	x.SetFaults(userplatform.ServerFaults{})
}

// retireWithNotice replaces a server that announces that it is draining.
func (h *harness) retireWithNotice(r *rand.Rand, d time.Duration) { h.retireServer(r, d, true) }

// retireWithoutNotice replaces a server whose entry is removed without a drain
// notice.
func (h *harness) retireWithoutNotice(r *rand.Rand, d time.Duration) { h.retireServer(r, d, false) }

func (h *harness) retireServer(r *rand.Rand, d time.Duration, notice bool) {
	x := h.pickServer(r, true)
	if x == nil {
		return
	}
	h.recordFault("%s leaves, with notice: %v", x.ID(), notice)
	h.startReplacement(x)
	if notice {
		x.Register("draining")
	} else {
		x.Unregister()
	}
	h.recordDrain(x)
	time.Sleep(drainNotice + d)
	defer h.faults.begin(scopeServers)()
	x.Unregister()
	x.Crash()
}

// recordDrain records that the store no longer lists the server as ready.
func (h *harness) recordDrain(x *server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainNotices[x.ID()] = time.Now()
}

// startReplacement starts another server of the same service and software version.
func (h *harness) startReplacement(x *server) {
	if _, err := h.startServer(x.IsEngine(), x.version); err != nil {
		h.violations.add(invariantNoUnexpectedExit, "%v", err)
	}
}

// crashServer crashes a server whose entry stays for a while.
func (h *harness) crashServer(r *rand.Rand, d time.Duration) {
	x := h.pickServer(r, true)
	if x == nil {
		return
	}
	h.recordFault("%s crashes", x.ID())
	defer h.faults.begin(scopeServers)()
	h.startReplacement(x)
	x.Crash()
	time.Sleep(d)
	x.Unregister()
}

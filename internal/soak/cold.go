package soak

import (
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// coldTime is the time for which servers are cold after their start.
const coldTime = time.Second

// startedServer is a server and the time of its start.
type startedServer struct {
	*server
	at time.Time
}

// checkColdServers checks that no cold server has crashed because all VMs together sent more
// than it takes. A link that holds requests back delivers them together later, so that servers
// with a fault of their link do not count.
func (h *harness) checkColdServers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.startedServers {
		crashes, most := x.ColdCrashes()
		if crashes > 0 && h.faults.undisturbed(x.at, x.at.Add(coldTime), scopeLink(x.ID())) {
			h.violations.add(invariantCold, "%s crashed at %d requests in a second, %v allowed", x.ID(), most, userplatform.ColdAllowed)
		}
	}
}

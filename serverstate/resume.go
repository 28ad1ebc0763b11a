package serverstate

import (
	"time"

	"github.com/vanillaarch/vanillaarch/internal/hash"
)

// Parameters of the return of VMs to a server after its pause.
const (
	// returnInterval is the time in which as many VMs return as the server has slots.
	returnInterval = 100 * time.Millisecond
	// maxSpreadPauses bounds the window in which VMs return, as a multiple of the pause:
	// hardly more VMs have been told of a pause than sent requests during it.
	maxSpreadPauses = 2
	// maxSpread bounds the window of long pauses.
	maxSpread = 10 * time.Second
	// defaultSlots is assumed for servers whose number of slots is unknown.
	defaultSlots = 4
	// resumeStep is the time in which the limit of requests in flight rises by one without
	// an answer, for servers that take long to answer.
	resumeStep = time.Second
	// maxResume bounds how long requests in flight are limited.
	maxResume = 10 * time.Second
)

// spreadWindow returns the time over which VMs return after a pause.
func spreadWindow(pause time.Duration, vms, slots int) time.Duration {
	window := time.Duration(vms) * returnInterval / time.Duration(slots)
	return min(window, maxSpreadPauses*pause, maxSpread)
}

// spread returns the part of the window after which this VM returns. It differs between
// VMs, servers and pauses.
func spread(window time.Duration, vm string, s Server, now time.Duration) time.Duration {
	h := hash.Pair(vm, s.ID) ^ uint64(now) ^ uint64(s.Incarnation)<<32
	// Finalizer of SplitMix64: neighbouring inputs give unrelated outputs.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	h ^= h >> 31
	share := float64(h>>11) / (1 << 53)
	return time.Duration(share * float64(window))
}

// resumption limits the requests in flight after a pause. It starts with this VM's part
// of the slots and rises by one with each full round of answers, until it exceeds the
// slots.
type resumption struct {
	// round identifies the pause, so that requests that were sent before it do not count.
	// It is 0 if there is no limit.
	round                            uint64
	slots, limit, answered, inFlight int
}

func newResumption(round uint64, vms, slots int) resumption {
	return resumption{round: round, slots: slots, limit: max(slots/vms, 1)}
}

// limitAfter returns the limit at a time after the start.
func (r *resumption) limitAfter(elapsed time.Duration) int {
	return r.limit + int(elapsed/resumeStep)
}

// finish records the end of a request.
func (r *resumption) finish(answered bool) {
	r.inFlight--
	if !answered {
		return
	}
	r.answered++
	if r.answered < r.limit {
		return
	}
	r.answered = 0
	r.limit++
	if r.limit > r.slots {
		*r = resumption{}
	}
}

// StartedRequest is a request that Start has admitted. It is valid for one Finish.
type StartedRequest struct {
	server Server
	round  uint64
}

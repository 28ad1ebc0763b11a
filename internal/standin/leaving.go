package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
)

// maxRecordedArrivals bounds the arrivals that a backend server keeps.
const maxRecordedArrivals = 1 << 14

// Arrival is a call that reached a backend server.
type Arrival struct {
	At           time.Time
	Method, Path string
	// Generation and Trace are those of the call's headers, "" if absent. A test tells
	// the VM that sent the call from a trace that it started at this VM.
	Generation, Trace string
}

// arrivalLog holds the latest calls of a backend server.
type arrivalLog struct {
	arrivalsMu sync.Mutex
	arrivals   []Arrival
}

// Arrivals returns the latest calls, oldest first. Calls of PUT /faults do not count.
func (l *arrivalLog) Arrivals() []Arrival {
	l.arrivalsMu.Lock()
	defer l.arrivalsMu.Unlock()
	return slices.Clone(l.arrivals)
}

func (l *arrivalLog) recordArrival(r *http.Request) {
	if r.URL.Path == faultsPath {
		return
	}
	a := Arrival{
		At: time.Now(), Method: r.Method, Path: r.URL.Path, Generation: r.Header.Get(api.HeaderGenerationID), Trace: r.Header.Get("Traceparent"),
	}
	l.arrivalsMu.Lock()
	defer l.arrivalsMu.Unlock()
	if len(l.arrivals) == maxRecordedArrivals {
		l.arrivals = append(l.arrivals[:0], l.arrivals[maxRecordedArrivals/2:]...)
	}
	l.arrivals = append(l.arrivals, a)
}

// announce sets the header by which a backend server announces its departure.
func (s *faultInjector) announce(w http.ResponseWriter) {
	if s.CurrentFaults().Leaving {
		w.Header().Set(api.HeaderLeaving, "1")
	}
}

// setRetryAfter sets the header by which a rejection asks for a pause.
func (f Faults) setRetryAfter(h http.Header) {
	if f.RetryAfter != "" {
		h.Set("Retry-After", f.RetryAfter)
	}
}

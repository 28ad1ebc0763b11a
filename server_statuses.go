package vanillaarch

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
)

// ServerStatus is what a VM knows of a backend server from its answers. A list of them
// is the response of the admin endpoint /servers.
type ServerStatus struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	// LeavingForMS is the time since the VM learned it, in milliseconds.
	LeavingForMS int64 `json:"leaving_for_ms,omitempty"`
	// LearnedFrom is "answer" or the VM that announced the departure.
	LearnedFrom string `json:"learned_from,omitempty"`
	// ResumeInMS is the time until the VM may send again, in milliseconds, 0 if the
	// server has asked for no pause.
	ResumeInMS int64 `json:"resume_in_ms,omitempty"`
	// InFlightLimit bounds the requests in flight for a while after a pause, 0 if there is
	// no bound.
	InFlightLimit int `json:"in_flight_limit,omitempty"`
	// Unverified is set if the VM asks the server whether it leaves before it uses it: an
	// answer from another start of the server may have come from this one.
	Unverified bool `json:"unverified,omitempty"`
}

// LearnedFromAnswer is ServerStatus.LearnedFrom if the VM got the answer itself.
const LearnedFromAnswer = "answer"

// serveServers returns the handler of GET /servers.
func serveServers(t *tracker.Tracker) echo.HandlerFunc {
	return func(c echo.Context) error { return c.JSON(http.StatusOK, serverStatuses(t, boottime.Now())) }
}

// serverStatuses returns the listed servers that leave or are paused, by id.
func serverStatuses(t *tracker.Tracker, now time.Duration) []ServerStatus {
	statuses := []ServerStatus{}
	for _, s := range t.States(now) {
		status := ServerStatus{
			ID: s.Server.ID, Incarnation: s.Server.Incarnation, Leaving: s.Leaving, InFlightLimit: s.InFlightLimit, Unverified: s.Unverified,
		}
		if s.Leaving {
			status.LeavingForMS = (now - s.LeavingSince).Milliseconds()
			if status.LearnedFrom = s.AnnouncedBy; s.AnnouncedBy == "" {
				status.LearnedFrom = LearnedFromAnswer
			}
		}
		if s.ResumeAt != 0 {
			status.ResumeInMS = max((s.ResumeAt - now).Milliseconds(), 1)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

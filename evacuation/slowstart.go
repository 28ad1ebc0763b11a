package evacuation

import "time"

// Slow start of the servers of a zone whose evacuation has ended.
const (
	// SlowStartTime is the time after which the servers get their usual share of the load again.
	SlowStartTime = 5 * time.Second
	// minShare is the share at the end of the evacuation. It is above 0 so that reported loads and
	// latencies are known before the share grows.
	minShare = 0.1
)

// Share returns the share of its usual load, from 0 to 1, that a server of a zone gets at a time. It
// grows linearly after the end of an evacuation, and is 0 during one.
func (s *State) Share(now time.Duration, zone string) float64 {
	if s == nil {
		return 1
	}
	if s.Includes(zone) {
		return 0
	}
	at, ended := s.endedAt[zone]
	if !ended {
		return 1
	}
	return ShareAfter(now - at)
}

// ShareAfter returns the share of its usual load that a server gets some time after the end of the
// evacuation of its zone.
func ShareAfter(elapsed time.Duration) float64 {
	return min(minShare+(1-minShare)*float64(max(elapsed, 0))/float64(SlowStartTime), 1)
}

// EndedAt returns when the evacuation of a zone ended, on the clock of package boottime. It returns
// false if the zone is evacuated, or has not been for SlowStartTime.
func (s *State) EndedAt(zone string) (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	at, ended := s.endedAt[zone]
	return at, ended
}

// IsResuming reports whether an evacuation may have ended less than SlowStartTime ago.
func (s *State) IsResuming(now time.Duration) bool {
	if s == nil {
		return false
	}
	for _, at := range s.endedAt {
		if now-at < SlowStartTime {
			return true
		}
	}
	return false
}

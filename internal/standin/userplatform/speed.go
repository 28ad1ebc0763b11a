package userplatform

import (
	"fmt"
	"math"
	"time"
)

// Speeds is a cycle of slowdowns of a server, each of which lasts for the time Every. A slowdown is
// the time that work takes relative to the usual time.
type Speeds struct {
	Every     time.Duration
	Slowdowns []float64
}

// at returns the slowdown some time after SetSpeeds.
func (s *Speeds) at(since time.Duration) float64 {
	return s.Slowdowns[int(since/s.Every)%len(s.Slowdowns)]
}

// speed is a change of the speed in force. The zero value is the usual speed, which is not
// reported.
type speed struct {
	*Speeds
	from time.Time
}

// SetSpeeds makes the server change its speed, and report it as a fourth figure of its load. Nil
// restores the usual speed and three figures. Plain responses take the time of the speed.
func (s *Server) SetSpeeds(speeds *Speeds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = speed{speeds, time.Now()}
}

// slowdown returns the current slowdown, and whether the server reports it.
func (s *speed) slowdown() (slowdown float64, reported bool) {
	if s.Speeds == nil {
		return 1, false
	}
	return s.at(time.Since(s.from)), true
}

// usualSlowdown is the fourth figure of the load, in percent, while work takes the usual time.
const usualSlowdown = 100

// load returns the load of the server as reported. The caller holds s.mu.
func (s *Server) load() string {
	load := fmt.Sprintf("%d,0,%d", s.running, s.opts.Slots)
	if slowdown, reported := s.speed.slowdown(); reported {
		load += fmt.Sprintf(",%.0f", math.Round(slowdown*usualSlowdown))
	}
	return load
}

// processingTime returns the time that a plain response takes now.
func (s *Server) processingTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown, _ := s.speed.slowdown()
	return time.Duration(slowdown * float64(s.opts.ProcessingTime))
}

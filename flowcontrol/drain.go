package flowcontrol

import "time"

// intervalGain is the weight of a new observation of the drain interval.
const intervalGain = 0.1

// QueueDelay measures how fast a waiting line is served and predicts the wait of a
// request that joins it.
type QueueDelay struct {
	// meanInterval is the mean time between requests served while others wait.
	meanInterval float64
	// intervalStart is the start of the interval that is running.
	intervalStart time.Time
}

// Enqueued notes a request that joins a line of the given length.
func (d *QueueDelay) Enqueued(now time.Time, length int) {
	if length == 0 {
		d.intervalStart = now
	}
}

// Dequeued notes that a request has left the line to be served.
func (d *QueueDelay) Dequeued(now time.Time) {
	d.meanInterval += intervalGain * (now.Sub(d.intervalStart).Seconds() - d.meanInterval)
	d.intervalStart = now
}

// Expected predicts the wait of a request that joins a line of the given length.
func (d *QueueDelay) Expected(now time.Time, length int) time.Duration {
	if length == 0 {
		return 0
	}
	interval := max(d.meanInterval, now.Sub(d.intervalStart).Seconds()*intervalGain)
	return time.Duration(float64(length) * interval * float64(time.Second))
}

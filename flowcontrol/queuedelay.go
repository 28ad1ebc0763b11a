package flowcontrol

import "time"

// intervalGain is the weight of a new observation in the mean service interval.
const intervalGain = 0.1

// QueueDelay measures how fast a queue is served and predicts the wait of a request
// that joins it.
type QueueDelay struct {
	// meanInterval is the mean time in seconds between requests served while others
	// wait.
	meanInterval float64
	// intervalStart is the start of the current interval.
	intervalStart time.Time
}

// Enqueued records a request that joins a queue of the given length.
func (d *QueueDelay) Enqueued(now time.Time, length int) {
	if length == 0 {
		d.intervalStart = now
	}
}

// Dequeued records that a request has left the queue to be served.
func (d *QueueDelay) Dequeued(now time.Time) {
	d.meanInterval += intervalGain * (now.Sub(d.intervalStart).Seconds() - d.meanInterval)
	d.intervalStart = now
}

// Expected predicts the wait of a request that joins a queue of the given length.
func (d *QueueDelay) Expected(now time.Time, length int) time.Duration {
	if length == 0 {
		return 0
	}
	interval := max(d.meanInterval, now.Sub(d.intervalStart).Seconds()*intervalGain)
	return time.Duration(float64(length) * interval * float64(time.Second))
}

// Interval returns the mean time between requests served while others wait, 0 if none was served.
func (d *QueueDelay) Interval() time.Duration {
	return time.Duration(d.meanInterval * float64(time.Second))
}

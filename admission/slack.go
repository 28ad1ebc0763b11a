package admission

import "time"

// slackWeight is the weight of a new observation in the mean slack.
const slackWeight = 0.1

// Slack is the mean slack of the requests of an organisation: the time from their grants to
// their due times.
// While more arrives than can be served, requests of all kinds are granted with about the same
// slack, which is negative if they are granted later than due. The zero value knows none.
type Slack struct {
	mean  time.Duration
	known bool
}

// Granted records the grant of a request.
func (s *Slack) Granted(now, due time.Time) {
	slack := due.Sub(now)
	if !s.known {
		s.mean, s.known = slack, true
		return
	}
	s.mean += time.Duration(slackWeight * float64(slack-s.mean))
}

// Wait predicts the wait of a request while others wait, first being the due time of the one
// that is served next. It returns false if no grant has been recorded.
func (s *Slack) Wait(now, due, first time.Time) (time.Duration, bool) {
	return max(due.Sub(now)-min(s.mean, first.Sub(now)), 0), s.known
}

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a slow stream that counts for too short or too long a time.
func TestSlowestPaceLastsForAWindow(t *testing.T) {
	const start = time.Hour
	slow := enginePace{firstEvent: 3 * time.Second, tokenInterval: 40 * time.Millisecond}
	for _, test := range []struct {
		name  string
		later time.Duration
		want  enginePace
	}{
		{"at once", 0, slow},
		{"in the next window", 2*paceWindow - time.Second, slow},
		{"after that", 2 * paceWindow, assumedPace},
	} {
		table := newPaceTable()
		table.record("engines", slow, start)
		table.record("engines", enginePace{firstEvent: time.Second}, start+time.Second)
		if got := table.slowest("engines", start+test.later); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
		if got := table.slowest("others", start); got != assumedPace {
			t.Errorf("another service: %+v", got)
		}
	}
}

// Guards against records of services that are gone, which would stay for ever.
func TestPaceOfOldServicesIsDropped(t *testing.T) {
	table := newPaceTable()
	table.record("old", enginePace{firstEvent: time.Second}, time.Hour)
	table.record("new", enginePace{firstEvent: time.Second}, time.Hour+2*paceWindow)
	if _, ok := table.services["old"]; ok || len(table.services) != 1 {
		t.Errorf("services: %v", table.services)
	}
}

// Guards against a stop that takes streams which it cuts, since those that wait for their first
// event at the same engines do not count as slow.
func TestStopExpectsStreamsToWaitAsLongAsOthersDo(t *testing.T) {
	const (
		waited = assumedFirstEventDelay + 700*time.Millisecond
		left   = assumedFirstEventDelay + 400*time.Millisecond
	)
	r := newGatewayRig(t, 1)
	release := make(chan struct{})
	r.answer = func(string, http.ResponseWriter, *http.Request) bool {
		<-release
		return false
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.sendStream("first")
	}()
	time.Sleep(waited)
	r.BeginDrain(left)
	begin := time.Now()
	go func() {
		time.Sleep(left / 2)
		close(release)
	}()
	if got := r.sendStream("second"); got.Code != http.StatusServiceUnavailable || time.Since(begin) > left/4 {
		t.Errorf("status %d after %v", got.Code, time.Since(begin))
	}
	<-ended
}

// sendStream sends a request for a short stream.
func (r *gatewayRig) sendStream(id string) *httptest.ResponseRecorder {
	request := rigRequest(streamPath, id, 0)
	request.Header.Set("Token-Count", "10,1")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, request)
	return w
}

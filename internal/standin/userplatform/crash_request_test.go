package userplatform

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testDowntime = 200 * time.Millisecond

// post sends a request of an organisation, with its body in chunks, and reads the answer.
func post(s *Server, id, organisation, body string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/book/1?x=2", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return 0, err
	}
	req.Header = http.Header{"Request-Id": {id}, "Tenant": {organisation}}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// Guards against a stand-in that crashes by other requests than the given one, that keeps
// answering while it is down, or that is back under its old id.
func TestServerCrashesByAWholeRequest(t *testing.T) {
	store := NewStore()
	t.Cleanup(store.Close)
	fleet := NewFleet(store)
	fleet.SetRequestCrashes(RequestCrashes{Downtime: testDowntime, Crashes: func(r WholeRequest) bool {
		return r.Method == http.MethodPost && r.Target == "/book/1?x=2" && r.Organisation == "acme" && bytes.Equal(r.Body, []byte("dead"))
	}})
	s, err := fleet.Start(ServerOptions{ID: "desk", Service: "desk", Zone: "z", Slots: 2, ProcessingTime: testDowntime / 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Crash)
	for id, sound := range map[string][2]string{"a": {"acme", "sound"}, "b": {"other", "dead"}} {
		if status, err := post(s, id, sound[0], sound[1]); status != http.StatusOK || err != nil {
			t.Errorf("sound request %s: status %d, %v", id, status, err)
		}
	}
	beside := make(chan error)
	go func() {
		_, err := post(s, "c", "acme", "sound")
		beside <- err
	}()
	for s.Arrivals("c") == 0 {
		time.Sleep(time.Millisecond)
	}
	if status, err := post(s, "d", "acme", "dead"); err == nil {
		t.Errorf("status %d from a server that crashes", status)
	}
	if <-beside == nil {
		t.Error("a request beside it was answered")
	}
	if _, err := post(s, "e", "acme", "sound"); err == nil {
		t.Error("a server that is down answers")
	}
	deadline := time.Now().Add(10 * time.Second)
	for s.ID() == "desk" && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	for !store.Has("servers/"+s.ID()) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if store.Has("servers/desk") || !store.Has("servers/"+s.ID()) {
		t.Errorf("the store does not list the server under %s alone", s.ID())
	}
	if status, err := post(s, "f", "acme", "sound"); status != http.StatusOK || err != nil {
		t.Errorf("after the return: status %d, %v", status, err)
	}
	crashes, arrivals := fleet.ServerCrashes(), fleet.ServerArrivals()
	if len(crashes) != 1 || crashes[0].Server != "desk" || crashes[0].Request != "d" || len(arrivals) != 1 || arrivals[0].Request != "d" {
		t.Errorf("crashes %+v, arrivals %+v", crashes, arrivals)
	}
	if down := fleet.MostServersDown(); down != 1 {
		t.Errorf("%d servers down at one moment", down)
	}
}

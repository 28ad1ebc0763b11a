package userplatform

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func (s *Store) status(t *testing.T, path string) (status int, era string) {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Header().Get(headerEra)
}

// Guards against a stand-in that keeps what a return from a copy loses, so that tests of returns
// show nothing.
func TestReturnFromACopyLosesWrites(t *testing.T) {
	const rewriteAfter = 20 * time.Millisecond
	s := NewStore()
	t.Cleanup(s.Close)
	s.SetEra(1)
	s.Put("op/config", []byte("1"))
	s.Put("vms/a", []byte("a"))
	from := s.Copy()
	s.Put("op/config", []byte("2"))
	s.Put("vms/b", []byte("b"))
	s.Put("servers/c", []byte("c"))
	if status, era := s.status(t, "/kv-watch?pathPrefix=vms/&after=5&waitMs=1"); status != http.StatusOK || era != "1" {
		t.Errorf("before the return: status %d, era %s", status, era)
	}
	s.Restore(from, rewriteAfter)
	if s.Has("vms/b") || s.Has("servers/c") {
		t.Error("writes after the copy are still there")
	}
	if status, era := s.status(t, "/kv-watch?pathPrefix=vms/&after=5&waitMs=1"); status != http.StatusGone || era != "2" {
		t.Errorf("watch from a revision that is gone: status %d, era %s", status, era)
	}
	s.Put("vms/d", []byte("d"))
	if got := s.items["vms/d"].Revision; got != 3 {
		t.Errorf("the revision after the copy is %d, want 3 again", got)
	}
	for begin := time.Now(); !s.Has("servers/c"); time.Sleep(time.Millisecond) {
		if time.Since(begin) > time.Second {
			t.Fatal("the entry of the server is not written again")
		}
	}
	if s.Has("vms/b") {
		t.Error("an entry of the system was written again")
	}
}

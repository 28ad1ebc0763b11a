package userplatform

import (
	"slices"
	"testing"
)

// Guards against a caller that takes a stream up after an event that was broken off.
func TestParseEvents(t *testing.T) {
	got := ParseEvents("id: 1\ndata: a 1 v1\n\nid: 2\ndata: a 2\n\nid: 3\ndata: a 3 v1\n")
	if want := []Event{{ID: 1, Request: "a", Version: "v1"}, {ID: 2, Request: "a"}}; !slices.Equal(got, want) {
		t.Errorf("events %+v, want %+v", got, want)
	}
}

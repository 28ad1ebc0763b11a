package userplatform

import (
	"net/http"
	"strconv"
	"strings"
)

// Event is an event of a stream.
type Event struct {
	ID int
	// Request is the request that the engine answered with it, Version the version of the engine's
	// software, "" if the engine has none.
	Request, Version string
}

// ParseEvents returns the events of a response body. An event that was broken off, or that is not one
// of a Server, is left out.
func ParseEvents(body string) []Event {
	var out []Event
	for {
		text, rest, whole := strings.Cut(body, "\n\n")
		if !whole {
			return out
		}
		body = rest
		id, data, _ := strings.Cut(text, "\ndata: ")
		number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if fields := strings.Fields(data); err == nil && len(fields) >= 2 {
			out = append(out, Event{ID: number, Request: fields[0], Version: strings.Join(fields[2:], " ")})
		}
	}
}

// SetTakenUp makes a client's request take a stream up after its last event, which the client has
// received. first is the request that brought the first event of the stream.
func SetTakenUp(h http.Header, first string, last int) {
	h.Set("Last-Event-Id", strconv.Itoa(last))
	h.Set("Resumes", first)
}

package listen

import (
	"net/http"
	"time"
)

// unreadBodyWait is how long an answer waits for the rest of the body of its request.
const unreadBodyWait = 500 * time.Millisecond

// LimitUnreadBody must be called before the answer to a request whose body was not read to its
// end. Before it sends the answer, http.Server reads up to 256 KiB more of the body, without a
// time limit of its own, so that the connection can be used again. With the limit, it then
// sends the answer and closes the connection.
func LimitUnreadBody(w http.ResponseWriter) error {
	return http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyWait))
}

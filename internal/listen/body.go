package listen

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// unreadBodyPause is how long an answer waits for the next part of the body of its request.
	unreadBodyPause = 500 * time.Millisecond
	// unreadBodyWait limits how long an answer waits for the rest of the body in all.
	unreadBodyWait = 10 * time.Second
	// unreadBodyBytes limits what is read of it. It is the limit of http.Server, which closes the
	// connection if there is more.
	unreadBodyBytes = 256 << 10
)

// LimitUnreadBody must be called before an answer that begins while the body of its request was
// not read. Before it sends the answer, http.Server reads the rest of the body, without a time
// limit of its own, so that the connection can be used again. With the limit, it then sends the
// answer and closes the connection.
func LimitUnreadBody(w http.ResponseWriter) error {
	return http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyPause))
}

// DiscardBody reads the rest of the body of a request that is refused, as long as it arrives
// without long pauses: a caller that is still sending when the connection is closed may not see
// the answer. left returns how much longer the answer may wait. After the call the answer is
// sent without a further wait, and closes the connection unless the body was read to its end.
//
// It returns nil if the body was read to its end or is too long for that, else the error that
// ended the read, which is os.ErrDeadlineExceeded if the next part did not arrive in time.
func DiscardBody(w http.ResponseWriter, r *http.Request, left func() time.Duration) error {
	if r.Header.Get("Expect") != "" {
		return leaveBody(w, r) // A read would ask the caller for a body that it has not begun to send.
	}
	control := http.NewResponseController(w)
	end := time.Now().Add(unreadBodyWait)
	body := &io.LimitedReader{R: r.Body, N: unreadBodyBytes}
	buffer := make([]byte, 4<<10)
	for {
		now := time.Now()
		pause := max(min(unreadBodyPause, end.Sub(now), left()), 0)
		if err := control.SetReadDeadline(now.Add(pause)); err != nil {
			return errors.Wrap(err, "read deadline")
		}
		_, err := body.Read(buffer)
		if err != nil && (body.N <= 0 || !errors.Is(err, io.EOF)) {
			ExpectInput(r.Context())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "discard body")
		}
	}
}

// leaveBody makes the answer close the connection without a wait for the body, which the caller
// may have begun to send.
func leaveBody(w http.ResponseWriter, r *http.Request) error {
	ExpectInput(r.Context())
	w.Header().Set("Connection", "close")
	return LimitUnreadBody(w)
}

package backend

import (
	"net/http"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// ServerNotice is what a backend server announces about itself in the header of an
// answer, whatever the answer is about.
type ServerNotice struct {
	// Leaving reports that the server is going to stop and accepts nothing new.
	Leaving bool
	// RetryAfter holds the values of the Retry-After header of an answer with status
	// 503, as received. It is nil if there are none. The server asks the receiver to
	// send it nothing for that time, whether or not the answer says that the request
	// did not run.
	RetryAfter []string
	// Limit holds the values of the header in which a server names the requests a second
	// that it takes from all VMs together, as received. It is nil if there are none, and
	// the values may be invalid.
	Limit []string
	// Cold is how much longer the server takes few requests, nil if the answer does not say.
	Cold *time.Duration
	// FromServer reports that the addressed server itself gave the answer, so that the
	// server does not announce what the notice lacks. It is not set if another server may
	// have answered at its address.
	FromServer bool
}

// IsZero reports whether the server announced nothing. An answer that announces nothing
// may still end what earlier ones announced, see FromServer.
func (n ServerNotice) IsZero() bool {
	return !n.Leaving && len(n.RetryAfter) == 0 && n.Limit == nil && n.Cold == nil
}

// AsksForPause reports whether the server asks for a pause. A Retry-After of 0, or one that
// is no number, asks for none.
func (n ServerNotice) AsksForPause() bool {
	_, ok := serverstate.ParsePause(n.RetryAfter, serverstate.MaxPauseDefault)
	return ok
}

// HeaderRetryAfter is the header in which a server asks for a pause.
const HeaderRetryAfter = "Retry-After"

// RetryAfterValues returns the values of Retry-After of an answer with status 503, and
// nil for any other status.
func RetryAfterValues(status int, h http.Header) []string {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	return h.Values(HeaderRetryAfter)
}

// SaysLeaving reports whether one of the values of a header by which servers announce
// their departure does so. Several values may be joined by commas.
func SaysLeaving(values []string) bool {
	const leavingValue = "1"
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if strings.TrimSpace(item) == leavingValue {
				return true
			}
		}
	}
	return false
}

// NoticeFunc receives what a server announced in the head of an answer, before the call
// that the answer belongs to returns.
type NoticeFunc func(Target, ServerNotice)

// observe returns the notice of an answer, and passes it on if it announces anything.
func (f NoticeFunc) observe(t Target, r *http.Response) ServerNotice {
	n := ServerNotice{
		Leaving: SaysLeaving(r.Header.Values(api.HeaderLeaving)), RetryAfter: RetryAfterValues(r.StatusCode, r.Header),
	}
	if f != nil && !n.IsZero() {
		f(t, n)
	}
	return n
}

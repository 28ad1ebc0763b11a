package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
)

// panickingAnswers is a codec that fails at each answer of a server.
type panickingAnswers struct{ edge.Codec }

func (panickingAnswers) DecodeResponse(int, http.Header) edge.ResponseInfo { panic("fault") }

// countedTicket is a ticket that counts its releases.
type countedTicket struct {
	dispatch.Ticket
	released *atomic.Int64
}

func (t countedTicket) Release(int) { t.released.Add(1) }

// Guards against a place at an engine that stays taken, since its request has panicked.
func TestPanicReleasesTheTicket(t *testing.T) {
	r := newGatewayRig(t, 1)
	r.Edge = panickingAnswers{r.Edge}
	var released atomic.Int64
	r.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
		ticket, err := r.grantFirst(a)
		return countedTicket{ticket, &released}, err
	}
	if w := r.send(streamPath); w.Code != http.StatusInternalServerError {
		t.Errorf("status %d", w.Code)
	}
	if n := released.Load(); n != 1 {
		t.Errorf("the ticket was released %d times", n)
	}
}

package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
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

// panickingHealth is a client that fails at each answer to a health request.
type panickingHealth struct{ edge.EngineClient }

func (panickingHealth) Health(context.Context, backend.Target, string) (edge.HealthReport, error) {
	panic("fault")
}

// Guards against a process that ends, with all its requests, since work beside them panics: a
// question for the load of a server.
func TestPanicBesideRequestsDoesNotEndTheProcess(t *testing.T) {
	r, logs := newReportRig(t, 2, always("1,0,8,150"))
	r.Engines = panickingHealth{r.Engines}
	r.answersOf(plainPath, 4)
	for range 200 {
		r.questions.Request()
	}
	for begin := time.Now(); r.count("gateway.load_questions") == 0 && time.Since(begin) < 20*time.Second; {
		time.Sleep(figuresFade + 50*time.Millisecond)
		r.answersOf(plainPath, 1)
	}
	r.Close()
	asked, panics, lines := r.count("gateway.load_questions"), r.count("gateway.background_panics"), logs.FilterMessage("background_panicked").Len()
	if asked == 0 || panics != asked || int64(lines) != asked {
		t.Errorf("%d questions, %d panics, %d lines", asked, panics, lines)
	}
}

package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// Guards against an answer whose head is none and that counts on the completions API: as a stream, as the
// answer to a call, as a report, or as what a server announces about itself.
func TestBrokenHeadsOnTheCompletionsAPIAreErrors(t *testing.T) {
	for name, head := range testnet.BrokenHeads {
		t.Run(name, func(t *testing.T) {
			target := Target{ID: "server", Address: testnet.ServeAnswer(t, head+api.HeaderLeaving+": 1\r\nContent-Length: 2\r\n\r\n{}")}
			engines, services := NewEngineClient(), NewServiceClient(1<<20)
			defer engines.Close()
			engines.ObserveNotices(func(_ Target, n ServerNotice) { t.Errorf("notice %+v", n) })
			services.ObserveNotices(func(_ Target, n ServerNotice) { t.Errorf("notice %+v", n) })
			_, streamErr := engines.Start(t.Context(), target, api.CompletionRequest{Prompt: "p"}, StartOptions{
				Generation: api.NewGenerationID("engine-1", "org"), FirstTokenTimeout: 5 * time.Second, IdleTimeout: time.Second,
			})
			_, callErr := services.Do(t.Context(), target, Call{Path: "/"})
			var report map[string]any
			queryErr := engines.Query(t.Context(), target, "/load", &report)
			_, noticeErr := engines.Notice(t.Context(), target)
			cancelErr := engines.Cancel(t.Context(), target, api.NewGenerationID("engine-1", "org"))
			for kind, err := range map[string]error{
				"stream": streamErr, "call": callErr, "query": queryErr, "notice": noticeErr, "cancel": cancelErr,
			} {
				if _, uncertain := errors.Into[*UncertainError](err); !uncertain {
					t.Errorf("%s: %v, want an UncertainError", kind, err)
				}
			}
		})
	}
}

// Guards against a folded line that is passed on with the media type of the answer of a plain service, also after
// an interim head. The end of the head arrives in the same bytes as the begin of the body, or apart.
func TestFoldedLinesOnTheCompletionsAPIAreErrors(t *testing.T) {
	const interim, head = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n"
	for name, test := range map[string]struct {
		answer string
		folded bool
	}{
		"folded":               {head + " X-Trace: a\r\n\r\nab\r\n b\r\n c\r\n", true},
		"tab":                  {head + "\tX-Trace: a\r\n\r\nab\r\n b\r\n c\r\n", true},
		"after interim heads":  {interim + interim + head + " X-Trace: a\r\n\r\nab\r\n b\r\n c\r\n", true},
		"in an interim head":   {"HTTP/1.1  103 Early Hints\r\nX-A: b\r\n c\r\n\r\n" + head + "\r\nab\r\n b\r\n c\r\n", true},
		"only in the body":     {head + "\r\nab\r\n b\r\n c\r\n", false},
		"body after interim":   {interim + head + "\r\nab\r\n b\r\n c\r\n", false},
		"body like a new head": {head + "\r\nHTTP/\r\n b: c", false},
	} {
		for _, piece := range []int{1, len(test.answer)} {
			t.Run(fmt.Sprintf("%s in pieces of %d bytes", name, piece), func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				response, err := NewServiceClient(1<<20).Do(ctx, answerWith(t, test.answer, piece), Call{Path: "/"})
				_, uncertain := errors.Into[*UncertainError](err)
				if test.folded != uncertain || !test.folded && (err != nil || response.ContentType != "text/plain" || len(response.Body) != 12) {
					t.Errorf("%+v, %v", response, err)
				}
			})
		}
	}
}

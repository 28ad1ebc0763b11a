package backend

import (
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

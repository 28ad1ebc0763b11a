package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// TestCutEvents guards against a stream that fails, loses a token or appears complete
// when its connection closes in the middle of an event. The responses have no
// Content-Length, as behind an HTTP/1.0 load balancer.
func TestCutEvents(t *testing.T) {
	generation := api.NewGenerationID("engine-1", "org").String()
	event := func(n int) string {
		return fmt.Sprintf("id: %s:%d\ndata: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", generation, n, n)
	}
	for cut := range len(event(2)) {
		for _, final := range []string{event(2) + "data: [DONE]\n\n", ""} {
			t.Run(fmt.Sprintf("cut after %d bytes, whole %t", cut, final != ""), func(t *testing.T) {
				t.Parallel()
				text, err := streamCut(t, event(1)+event(2)[:cut], final)
				_, truncated := errors.Into[*client.TruncatedError](err)
				if whole := final != ""; whole != (err == nil && text == "t1 t2 ") || whole == truncated {
					t.Errorf("got %q and error %v", text, err)
				}
			})
		}
	}
}

// streamCut streams from a server that sends first for a new stream, and resumed for
// a stream that is resumed after the first token.
func streamCut(t *testing.T, first, resumed string) (text string, err error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		if last := r.Header.Get(api.HeaderLastEventID); last == "" {
			fmt.Fprint(conn, first)
		} else if strings.HasSuffix(last, ":1") {
			fmt.Fprint(conn, resumed)
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := client.New(client.Options{Addresses: []string{server.URL}, APIKey: "key", MaxResumes: 1})
	err = c.Stream(ctx, api.CompletionRequest{}, func(token client.Token) error {
		text += token.Text
		return nil
	})
	return text, err
}

// Guards against a part of an answer that is returned as the whole: behind a proxy that passes it on without a
// length, it ends like one whose connection was closed early.
func TestServiceResultWithoutALengthIsAnError(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		whole  bool
	}{
		"no length":   {"HTTP/1.1 200 OK\r\n\r\npart", false},
		"HTTP/2.0":    {"HTTP/2.0 200 OK\r\n\r\npart", false},
		"length":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true},
		"length, cut": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", false},
		"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
		"chunks, cut": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := client.New(client.Options{Addresses: []string{"http://" + testnet.ServeAnswer(t, test.answer)}, APIKey: "key"})
			result, err := c.Call(t.Context(), "route", "", nil)
			if test.whole != (err == nil) || test.whole && string(result.Body) != "whole" {
				t.Errorf("%+v, %v", result, err)
			}
		})
	}
}

// Guards against an answer whose head is none and that is returned as the answer of a VM.
func TestBrokenHeadsAreErrors(t *testing.T) {
	for name, head := range testnet.BrokenHeads {
		t.Run(name, func(t *testing.T) {
			const body = `{"choices":[{"text":"wrong"}]}`
			answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			c := client.New(client.Options{Addresses: []string{"http://" + testnet.ServeAnswer(t, answer)}, APIKey: "key"})
			if result, err := c.Call(t.Context(), "route", "", nil); err == nil {
				t.Errorf("call: %+v", result)
			}
			if completion, err := c.Complete(t.Context(), api.CompletionRequest{}); err == nil {
				t.Errorf("completion: %+v", completion)
			}
		})
	}
}

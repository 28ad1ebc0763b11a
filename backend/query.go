package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxQueryBytes bounds the response body of a query.
const maxQueryBytes = 4 << 20

// Query fetches a JSON document from an engine and records in the circuit breaker
// whether the engine responded. A *RejectedError with a status below 500 means
// that the engine is reachable but does not provide the document. A rejection that
// asks for a pause is no failure. A request cancelled by the caller is not recorded.
func (e *EngineClient) Query(ctx context.Context, t Target, path string, into any) error {
	err := e.query(ctx, t, path, into)
	rejected, ok := errors.Into[*RejectedError](err)
	switch {
	case err == nil || ok && (rejected.Status < http.StatusInternalServerError || rejected.Paused):
		e.breaker.RecordResponse(t.ID)
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.breaker.RecordFailure(t.ID)
	}
	return err
}

// Notice returns what a backend server of either kind announces about itself, from its
// answer to GET /load. Any status is an answer: a plain service need not report its load.
func (e *EngineClient) Notice(ctx context.Context, t Target) (ServerNotice, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/load", nil)
	if err != nil {
		return ServerNotice{}, &NotSentError{Backend: t.ID, Cause: err}
	}
	resp, err := e.queries.Do(req)
	if err != nil {
		return ServerNotice{}, &UncertainError{Backend: t.ID, Cause: err}
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 512)) // Allows the connection to be reused.
	return e.notices.observe(t, resp), nil
}

func (e *EngineClient) query(ctx context.Context, t Target, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+path, nil)
	if err != nil {
		return &NotSentError{Backend: t.ID, Cause: err}
	}
	resp, err := e.queries.Do(req)
	if err != nil {
		return &UncertainError{Backend: t.ID, Cause: err}
	}
	defer resp.Body.Close()
	notice := e.notices.observe(t, resp)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 512)) // Allows the connection to be reused.
		return &RejectedError{Backend: t.ID, Status: resp.StatusCode, Paused: notice.AsksForPause()}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxQueryBytes)).Decode(into); err != nil {
		return &UncertainError{Backend: t.ID, Cause: err}
	}
	return nil
}

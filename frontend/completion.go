package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/quarantine"
)

// bytesPerToken estimates the token count of a prompt from its length, since only
// the engine tokenises it.
const bytesPerToken = 4

// Limits of a completion request.
const (
	maxModelNameBytes = 128
	maxTokens         = 1 << 20
)

func (f *Frontend) completion(c *call) error {
	if id := c.Request().Header.Get(api.HeaderLastEventID); id != "" {
		// net/http detects that the caller disconnected only after the body was read.
		if _, err := f.readBody(c); err != nil {
			return err
		}
		return f.resume(c, id)
	}
	request, err := f.readCompletion(c)
	if err != nil {
		return err
	}
	admission := dispatch.AdmissionRequest{
		Tenant: c.identity.Tenant, Organisation: c.identity.Organisation, Model: request.Model,
		PromptTokens: 1 + len(request.Prompt)/bytesPerToken, PrefixHashes: dispatch.PrefixHashes(request.Prompt),
		MaxTokens: request.MaxTokens,
	}
	identity := quarantine.NewRequest(uuid.NewString(), completionContent(c, admission))
	c.body = nil // From now on, the request is held as its prompt.
	f.budget.Attempt(c.identity.Organisation)
	r := &relay{
		f: f, c: c, request: request, sink: newSink(c, request), admissionRequest: admission, identity: identity,
	}
	return r.run()
}

func (f *Frontend) readCompletion(c *call) (api.CompletionRequest, error) {
	var r api.CompletionRequest
	body, err := f.readBody(c)
	if err != nil {
		return r, err
	}
	c.body = body
	if err := f.holdCopies(c); err != nil {
		return r, err
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, invalidRequest("the body is not a completion request: " + err.Error())
	}
	switch {
	case r.Model == "" || len(r.Model) > maxModelNameBytes:
		return r, invalidRequest(fmt.Sprintf("model must have 1 to %d bytes", maxModelNameBytes))
	case r.Prompt == "":
		return r, invalidRequest("prompt must not be empty")
	case r.MaxTokens < 0 || r.MaxTokens > maxTokens:
		return r, invalidRequest(fmt.Sprintf("max_tokens must be between 0 and %d", maxTokens))
	}
	if _, ok := c.index.Model(r.Model); !ok {
		return r, api.NewProblem(api.ProblemUnknownModel, http.StatusNotFound, api.OutcomeNotRun,
			"the bundle in force has no such model")
	}
	return r, nil
}

func invalidRequest(detail string) *api.Problem {
	return api.NewProblem(api.ProblemInvalidRequest, http.StatusBadRequest, api.OutcomeNotRun, detail)
}

func (f *Frontend) resumeByID(c *call) error {
	id := c.Request().Header.Get(api.HeaderLastEventID)
	generation := c.Param("generation")
	if id == "" {
		id = generation + ":0"
	}
	if event, err := api.ParseEventID(id); err == nil && event.Generation != generation {
		return invalidRequest("Last-Event-ID names another generation")
	}
	return f.resume(c, id)
}

// resume continues a stream after the caller lost its connection. The stream may
// have been served by another VM.
func (f *Frontend) resume(c *call, id string) error {
	event, err := api.ParseEventID(id)
	if err != nil {
		return invalidRequest(err.Error())
	}
	generation, err := api.ParseGenerationID(event.Generation)
	if err != nil {
		return invalidRequest(err.Error())
	}
	vm, ok := f.Snapshot().Backends[generation.Backend]
	if !ok || !generation.OwnedBy(c.identity.Organisation) {
		return generationGone(nil)
	}
	r := &relay{
		f: f, c: c, sink: newSink(c, api.CompletionRequest{Stream: true}),
		target: backend.TargetOf(vm), generation: generation,
		offset: event.Offset, delivered: true, startedAt: time.Now(),
	}
	c.generation = generation.String()
	return r.resumeOnly()
}

func generationGone(cause error) *api.Problem {
	return api.NewProblem(api.ProblemGenerationGone, http.StatusGone, api.OutcomeFailed,
		"the generation can no longer be resumed").WithCause(cause)
}

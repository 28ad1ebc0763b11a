package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// exchangePlain sends the request to one server and reads the whole response.
func (c *call) exchangePlain(ctx context.Context, vm vmlist.VM) (*plainResponse, error) {
	request := c.request(edge.Attempt{
		Server: vm, Remaining: c.remaining(), Organisation: c.organisationName(), Priority: c.priority(),
	})
	if err := c.checkConfirmed(); err != nil {
		return nil, &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	release, err := c.addOutstanding(vm)
	if err != nil {
		return nil, &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	answer, err := func() (*backend.HTTPResponse, error) {
		defer release() // Also after a panic.
		return c.sendAttempt(ctx, vm, request)
	}()
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	info := c.g.Edge.DecodeResponse(answer.Status, answer.Header)
	c.g.services.reportAnswer(vm, answer.Status, info.Load)
	c.g.recordInvalidLoad(vm, info.InvalidLoad)
	return c.readPlain(answer, vm, info)
}

// sendAttempt sends the request to a server as a new attempt. The server is checked, and
// the attempt begins, once the connection is open, which may take some hundred
// milliseconds.
func (c *call) sendAttempt(ctx context.Context, vm vmlist.VM, r *backend.HTTPRequest) (*backend.HTTPResponse, error) {
	var started serverstate.StartedRequest
	var sentAt time.Duration
	ctx, sent := c.untilSent(ctx)
	r.BeforeSend = func() (err error) {
		if err := sent(); err != nil {
			return err
		}
		if err := c.mayReach(vm); err != nil {
			return &backend.NotSentError{Backend: vm.ID, Cause: err}
		}
		// A rule may have been added while the request waited for the connection.
		if err := c.checkQuarantine(); err != nil {
			return err
		}
		if c.run != nil {
			if err := c.run.checkSentBackup(); err != nil {
				return err
			}
		}
		if started, err = c.g.startRequest(vm, c.permit); err == nil {
			sentAt, c.permit = boottime.Now(), permit.Permit{}
			c.logResend(vm.ID, false)
			c.enterPhase(phaseSent)
		}
		return err
	}
	answer, err := c.g.HTTPClient.Do(ctx, backend.TargetOf(vm), r)
	c.returnPermit()
	c.g.finishRequest(started, vm, sentAt, c.info.ID, answer)
	c.recordAttempt(err)
	return answer, err
}

// readPlain reads the body of a response that is not streamed. It returns an error if
// the body is incomplete or too large, or if a success lacks the server's signature, after
// which its connection is closed. A success without length, chunks and body comes from a
// server that broke off after the head.
func (c *call) readPlain(answer *backend.HTTPResponse, vm vmlist.VM, info edge.ResponseInfo) (*plainResponse, error) {
	if answer.Status < http.StatusMultipleChoices && !info.Signed {
		answer.Close()
		return nil, &backend.UncertainError{Backend: vm.ID, Cause: &UnsignedError{Status: answer.Status}}
	}
	body, err := readAll(c.answerMemory(), answer, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	// From here on the memory is free once the caller has read the answer.
	if err := c.answerMemory().Keep(); err != nil {
		return nil, &backend.UncertainError{Backend: vm.ID, Cause: err}
	}
	if len(body) > maxResponseBytes {
		return nil, &backend.ResponseTooLargeError{Backend: vm.ID, Limit: maxResponseBytes}
	}
	if answer.Status < http.StatusMultipleChoices && len(body) == 0 && !answer.Delimited {
		return nil, &backend.UncertainError{Backend: vm.ID, Cause: io.ErrUnexpectedEOF}
	}
	return &plainResponse{status: answer.Status, header: answer.Header, body: body, info: info}, nil
}

// UnsignedError reports a successful response without a signature of the server.
type UnsignedError struct{ Status int }

func (e *UnsignedError) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " has no signature"
}

// request builds the backend request of one attempt. It forces a new connection if the
// request was sent to the same address before: a faulty server may write its earlier
// response, such as a refusal, once more, and the id does not tell the two apart.
func (c *call) request(a edge.Attempt) *backend.HTTPRequest {
	h := c.g.Edge.ForwardHeader(c.r.Header)
	c.g.Edge.SetAttempt(h, a)
	again := slices.Contains(c.addresses, a.Server.Address)
	c.addresses = append(c.addresses, a.Server.Address)
	r := &backend.HTTPRequest{
		Method: c.r.Method, Target: c.target(), Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut,
		ID:      c.info.ID, NewConnection: again, Memory: c.reserveAnswer(a.Server.ID),
	}
	if !c.route.Retryable() {
		r.MaxIdle = maxIdleNonRepeatable
	}
	return r
}

package gateway

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// attemptResult is what the VM knows of the work of an attempt that has ended.
type attemptResult string

const (
	// resultNotSent means that nothing was sent.
	resultNotSent attemptResult = "not_sent"
	// resultRefused means that the backend server stated that it did not run the request.
	resultRefused attemptResult = "refused"
	// resultAnswered means that the backend server sent a complete response.
	resultAnswered attemptResult = "answered"
	// resultLeft means that the VM closed the connection to continue the run elsewhere.
	resultLeft attemptResult = "left"
	// resultUnknown means that the request may have run, in part or as a whole.
	resultUnknown attemptResult = "unknown"
)

// pastAttempt is an attempt that has ended.
type pastAttempt struct {
	backend string
	result  attemptResult
	err     error
	endedAt time.Duration
	// mayHaveRunOn is the backend server of the latest attempt, up to this one, that may
	// have run, "" if there is none.
	mayHaveRunOn string
}

// recordResult keeps the result of an attempt for the log line of the next one. A server
// that could not be used is no attempt.
func (c *call) recordResult(backendID string, err error) {
	if unusable(err) {
		return
	}
	p := &pastAttempt{backend: backendID, result: resultOf(err), err: err, endedAt: boottime.Now(), mayHaveRunOn: backendID}
	if p.result == resultNotSent || p.result == resultRefused {
		p.mayHaveRunOn = ""
		if c.past != nil {
			p.mayHaveRunOn = c.past.mayHaveRunOn
		}
	}
	c.past = p
}

// resultOf returns the result of an attempt that ended with err.
func resultOf(err error) attemptResult {
	if err == nil {
		return resultAnswered
	}
	if errors.Is(err, errSwitchover) {
		return resultLeft
	}
	if _, notSent := errors.Into[*backend.NotSentError](err); notSent {
		return resultNotSent
	}
	if _, refused := errors.Into[*RefusedError](err); refused {
		return resultRefused
	}
	return resultUnknown
}

// logResend logs that the request is about to be sent once more, and what is known of
// the attempt before. It is a warning if the request must not be repeated, so that the
// line is kept when others are dropped.
func (c *call) logResend(backendID string, fromCopy bool) {
	if c.past == nil {
		return
	}
	write := c.log.Info
	if !c.route.Retryable() {
		write = c.log.Warn
	}
	write("request_sent_again", zap.String("backend", backendID), zap.Bool("from_copy", fromCopy), zap.Int("sends", c.sends),
		zap.Bool("may_have_run", c.mayHaveRun), zap.String("may_have_run_on", c.past.mayHaveRunOn),
		zap.String("previous", c.past.backend), zap.String("previous_result", string(c.past.result)),
		zap.Duration("since_previous", boottime.Now()-c.past.endedAt), telemetry.NamedError("previous_error", c.past.err))
	c.g.Metrics.requestsSentAgain.Inc(1)
}

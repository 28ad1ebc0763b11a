package frontend

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Results of an attempt in the log, as far as this VM knows them.
const (
	resultNotSent  = "not_sent"
	resultAnswered = "answered"
	resultUnknown  = "unknown"
)

// callAttempts holds what is known of the attempts of one call, for the log line of the
// next one.
type callAttempts struct {
	log           *zap.Logger
	nonRepeatable bool
	// quarantined reports the attempts to the quarantine.
	quarantined quarantine.Attempts
	// server, result, err and endedAt are those of the latest attempt. A server that could
	// not be used is no attempt.
	server, result string
	err            error
	endedAt        time.Duration
	// mayHaveRunOn is the server of the latest attempt that may have run, "" if none may.
	mayHaveRunOn string
}

// record keeps the result of an attempt.
func (a *callAttempts) record(server string, err error) {
	if isUnusable(err) {
		return
	}
	a.server, a.err, a.endedAt = server, err, boottime.Now()
	switch _, notSent := errors.Into[*backend.NotSentError](err); {
	case notSent:
		a.result = resultNotSent
		return
	case err == nil:
		a.result = resultAnswered
	default:
		a.result = resultUnknown
	}
	a.mayHaveRunOn = server
}

// logResend logs that the call is about to be sent once more, and what is known of the
// attempt before. It is a warning if the call must not be repeated, so that the line is
// kept when others are dropped.
func (a *callAttempts) logResend(server string) {
	if a.server == "" {
		return
	}
	write := a.log.Info
	if a.nonRepeatable {
		write = a.log.Warn
	}
	write("request_sent_again", zap.String("backend", server), zap.Bool("may_have_run", a.mayHaveRunOn != ""),
		zap.String("may_have_run_on", a.mayHaveRunOn), zap.String("previous", a.server), zap.String("previous_result", a.result),
		zap.Duration("since_previous", boottime.Now()-a.endedAt), telemetry.NamedError("previous_error", a.err))
}

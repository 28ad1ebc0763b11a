package quarantine

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// crashCheckTimeout bounds the connection that tells a server that has ended from one that
// lost an answer. Zones are a few milliseconds apart.
const crashCheckTimeout = 100 * time.Millisecond

// Attempts reports the attempts of one request at plain servers to a Guard, and decides on
// repeats.
type Attempts struct {
	Guard   Guard
	Request *Request
	Log     *zap.Logger
}

// Report reports an attempt that was sent at a time on the clock of package boottime and
// ended with err. answered is set if the server gave a complete answer that does not say that
// the request did not run: it has survived the request.
func (a Attempts) Report(server vmlist.VM, started time.Duration, answered bool, err error) {
	if answered {
		a.Guard.RunSucceeded(a.Request)
		return
	}
	if !backend.ConnectionLost(err) {
		return
	}
	a.Log.Info("server_failed_run", zap.String("backend", server.ID), a.Request.Field(), telemetry.Error(err))
	a.Guard.RunFailed(a.Request, server, started)
}

// MayRepeat reports whether the request may be sent to another server after an attempt that
// ended with err. A request that may have crashed its server is left to the caller, since a
// repeat could take the next server from all callers. A server that has only lost an answer
// accepts connections.
func (a Attempts) MayRepeat(ctx context.Context, server vmlist.VM, err error) bool {
	if !backend.ConnectionLost(err) {
		return true
	}
	if !a.Guard.MayRepeat(a.Request) {
		a.Log.Info("repeat_withheld", zap.String("backend", server.ID), zap.String("reason", "other crashes"), a.Request.Field())
		return false
	}
	if gone := backend.CheckListening(ctx, backend.TargetOf(server), crashCheckTimeout); gone != nil {
		a.Log.Info("repeat_withheld", zap.String("backend", server.ID), zap.String("reason", "server gone"), a.Request.Field(), telemetry.Error(gone))
		return false
	}
	return true
}

// Field returns the log field that identifies the whole request: it is the same for each
// repeat by the caller.
func (r *Request) Field() zap.Field {
	return zap.String("content", strconv.FormatUint(uint64(r.Whole), 16))
}

package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/outstanding"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// checkPlain returns nil if this request may be sent to a plain server now.
func (c *call) checkPlain(vm vmlist.VM) error {
	if err := c.checkServer(vm); err != nil {
		return err
	}
	return c.checkRoom(vm)
}

// checkRoom returns an *outstanding.ExceededError if the bytes outstanding at a server leave no
// room for the request. Servers that don't report their speed have no such limit.
func (c *call) checkRoom(vm vmlist.VM) error {
	if !c.g.services.reportsSpeed(vm.ID) {
		return nil
	}
	return c.g.outstanding.Check(vm.ID, c.sentBytes(), outstanding.Limit(vm.Slots))
}

// addOutstanding counts the request as outstanding at a server until release is called.
func (c *call) addOutstanding(vm vmlist.VM) (release func(), err error) {
	if !c.g.services.reportsSpeed(vm.ID) {
		return func() {}, nil
	}
	return c.g.outstanding.Add(vm.ID, c.sentBytes(), outstanding.Limit(vm.Slots))
}

// sentBytes is the size of the request as a server holds it.
func (c *call) sentBytes() int64 { return int64(len(c.body)) + httphead.Size(c.r.Header) }

// fullServer returns why one of the servers that are not excluded has no room, nil if none could
// run the request if it had room.
func (c *call) fullServer(excluded []string) error {
	for _, vm := range c.g.Snapshot().Services[c.service.Name] {
		if slices.Contains(excluded, vm.ID) || c.checkServer(vm) != nil {
			continue
		}
		if err := c.checkRoom(vm); err != nil {
			return err
		}
	}
	return nil
}

// roomWait is the wait of a request for room at a server. The zero value is a wait that has not
// begun.
type roomWait struct {
	until time.Duration
	// changed is obtained before the room is checked.
	changed <-chan struct{}
}

// awaitRoom waits until a server has answered earlier requests, as long as that is useful for
// the request. full is the reason why it waits. The first call, and the one after
// each wait, return at once, so that the caller checks for room again once changes are observed. It
// returns false if the request must not wait any longer.
func (c *call) awaitRoom(w *roomWait, full error) bool {
	now := boottime.Now()
	if w.until == 0 {
		w.until = now + limitWait(c.aim()-now)
	}
	if w.changed == nil {
		// A change from here on ends the wait of the next call.
		w.changed = c.g.outstanding.Changed()
		return true
	}
	changed := w.changed
	w.changed = nil
	waiting, release := c.whileAllowed()
	ctx, cancel := context.WithTimeout(waiting, w.until-now)
	select {
	case <-changed:
	case <-ctx.Done():
	}
	ended := ctx.Err() != nil
	cancel()
	release()
	if ended && c.refusedWaiting == nil {
		c.refusedWaiting = full
		c.g.Metrics.withoutRoom.Inc(1)
		c.log.Warn("outstanding_bytes_refused", zap.Int64("bytes", c.sentBytes()), zap.Duration("waited", boottime.Now()-now), telemetry.Error(full))
	}
	return !ended
}

package grant

import (
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Messages to the control goroutine.
type (
	acquire struct {
		m *Manager
		r *request
	}
	abandon struct {
		m *Manager
		r *request
	}
	release struct {
		m *Manager
		t *ticket
	}
	incoming struct {
		m    *Manager
		from string
		d    *peerpb.Dispatch
	}
	loadReport struct {
		m       *Manager
		backend string
		report  dispatch.LoadReport
	}
	cacheEvents struct {
		m       *Manager
		backend string
		events  []dispatch.CacheEvent
	}
	suspected struct{ m *Manager }
	tick      struct{ m *Manager }
	query     struct {
		m    *Manager
		done chan Queues
	}
)

// Apply implements control.Message.
func (c acquire) Apply(s *control.State) { c.m.apply(s, func() { c.m.frontend.acquire(c.r) }) }

// Apply implements control.Message.
func (c abandon) Apply(s *control.State) { c.m.apply(s, func() { c.m.frontend.abandon(c.r) }) }

// Apply implements control.Message.
func (c release) Apply(s *control.State) { c.m.apply(s, func() { c.m.frontend.release(c.t) }) }

// Apply implements control.Message.
func (c incoming) Apply(s *control.State) { c.m.apply(s, func() { c.m.handle(c.from, c.d) }) }

// Apply implements control.Message.
func (c suspected) Apply(s *control.State) { c.m.apply(s, c.m.dispatcher.takeOverAgain) }

// Apply implements control.Message.
func (c tick) Apply(s *control.State) { c.m.apply(s, c.m.tick) }

// Apply implements control.Message.
func (c query) Apply(s *control.State) { c.m.apply(s, func() { c.done <- c.m.queues() }) }

// Apply implements control.Message.
func (c loadReport) Apply(s *control.State) {
	c.m.apply(s, func() { c.m.dispatcher.applyLoadReport(c.backend, c.report) })
}

// Apply implements control.Message.
func (c cacheEvents) Apply(s *control.State) {
	c.m.apply(s, func() { c.m.dispatcher.cacheEvents(c.backend, c.events) })
}

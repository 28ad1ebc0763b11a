package replay

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// Parameters of the central FIFO policy.
const (
	// centralFillFraction is the fraction of an engine's key-value memory that may be
	// filled with known tokens.
	centralFillFraction = 0.95
	// centralQueueLimit is the number of queued requests at which new ones are rejected.
	centralQueueLimit = 8192
)

// centralFIFO is a policy with one queue, first come first served. It fills the
// memory of engines by the tokens known so far and ignores entitlements.
type centralFIFO struct {
	backends []dispatch.Backend
	queue    []dispatch.Request
	used     map[string]int
	grants   map[dispatch.RequestID]*centralGrant
}

type centralGrant struct {
	backend        string
	prompt, tokens int
}

func newCentralFIFO() *centralFIFO {
	return &centralFIFO{used: map[string]int{}, grants: map[dispatch.RequestID]*centralGrant{}}
}

func (c *centralFIFO) SetShares(time.Time, []dispatch.TenantShare) {}

func (c *centralFIFO) SetBackends(_ time.Time, backends []dispatch.Backend) {
	c.backends = slices.Clone(backends)
}

func (c *centralFIFO) Submit(_ time.Time, r dispatch.Request) error {
	if !slices.ContainsFunc(c.backends, func(b dispatch.Backend) bool { return !slices.Contains(r.Excluded, b.ID) }) {
		return &dispatch.NoBackendError{Model: r.Model}
	}
	if len(c.queue) >= centralQueueLimit {
		return &dispatch.QueueFullError{Organisation: r.Organisation}
	}
	c.queue = append(c.queue, r)
	return nil
}

func (c *centralFIFO) Withdraw(_ time.Time, id dispatch.RequestID) {
	c.queue = slices.DeleteFunc(c.queue, func(r dispatch.Request) bool { return r.ID == id })
}

func (c *centralFIFO) Progress(_ time.Time, id dispatch.RequestID, tokens int) {
	if g, ok := c.grants[id]; ok {
		c.used[g.backend] += tokens - g.tokens
		g.tokens = tokens
	}
}

func (c *centralFIFO) Preempted(time.Time, dispatch.RequestID) {}

func (c *centralFIFO) Failed(time.Time, dispatch.RequestID) {}

func (c *centralFIFO) Finish(_ time.Time, id dispatch.RequestID, _ int) {
	if g, ok := c.grants[id]; ok {
		c.used[g.backend] -= g.prompt + g.tokens
		delete(c.grants, id)
	}
}

func (c *centralFIFO) Declare(_ time.Time, h dispatch.HeldGrant) {
	c.grant(h.Request, h.Backend, h.AdmissionRequest.PromptTokens)
	c.Progress(time.Time{}, h.Request, h.Tokens)
}

func (c *centralFIFO) Load(time.Time, string, dispatch.LoadReport) {}

func (c *centralFIFO) CacheEvent(time.Time, string, dispatch.CacheEvent) {}

func (c *centralFIFO) Next(time.Time) []dispatch.Grant {
	var grants []dispatch.Grant
	for len(c.queue) > 0 {
		r := c.queue[0]
		backend, ok := c.selectBackend(r)
		if !ok {
			break
		}
		c.queue = c.queue[1:]
		c.grant(r.ID, backend, r.PromptTokens)
		grants = append(grants, dispatch.Grant{Request: r.ID, Backend: backend})
	}
	return grants
}

func (c *centralFIFO) grant(id dispatch.RequestID, backend string, prompt int) {
	c.used[backend] += prompt
	c.grants[id] = &centralGrant{backend: backend, prompt: prompt}
}

// selectBackend returns the engine with the most free memory, if the prompt fits.
func (c *centralFIFO) selectBackend(r dispatch.Request) (string, bool) {
	best, mostFree := "", 0
	for _, b := range c.backends {
		if slices.Contains(r.Excluded, b.ID) {
			continue
		}
		free := int(centralFillFraction*float64(b.BlocksTotal*b.BlockTokens)) - c.used[b.ID]
		if free >= r.PromptTokens && free > mostFree {
			best, mostFree = b.ID, free
		}
	}
	return best, best != ""
}

func (c *centralFIFO) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, r := range c.queue {
		waiting[r.Organisation]++
	}
	return waiting
}

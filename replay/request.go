package replay

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// maxPrefixBlocks limits the prefix hashes of a prompt, as in dispatch.PrefixHashes.
const maxPrefixBlocks = 64

// requestOutcome is how a request ended.
type requestOutcome int

const (
	outcomeComplete requestOutcome = iota
	// outcomeRejected: each submission was rejected until the retry timeout; nothing ran.
	outcomeRejected
	// outcomeTimeout: no grant was issued within the queue timeout; nothing ran.
	outcomeTimeout
	// outcomeFailed: the generation was lost and the request was not restarted.
	outcomeFailed
	// outcomeUnfinished: the request was still open when the replay ended.
	outcomeUnfinished
)

// request is the state of one request at its frontend.
type request struct {
	arrival   *Arrival
	index     int
	vm        string
	admission dispatch.AdmissionRequest
	id        dispatch.RequestID
	arrived   time.Time
	attempts  int
	resumes   int
	granted   bool
	done      bool
	backend   string
	priority  int
	outcome   requestOutcome
	// offset is the number of tokens that the caller has received.
	offset   int
	lastData time.Time
	// lastToken is when the frontend received the latest token.
	lastToken  time.Time
	stallTime  time.Duration
	connection *connection
	// engine and generation identify the latest generation started for the request.
	engine     *engine
	generation string
}

func (r *run) handleArrival(i int, a *Arrival) {
	q := &request{
		arrival: a, index: i, vm: "vm-" + strconv.Itoa(i%r.opts.VMs+1), arrived: r.now, lastData: r.now,
		admission: dispatch.AdmissionRequest{
			Tenant: a.Tenant, Organisation: a.Organisation, Model: a.Model, PromptTokens: a.PromptTokens,
			PrefixHashes: PrefixHashes(a, i, r.opts.Engine.BlockTokens), MaxTokens: a.MaxTokens,
		},
	}
	r.submit(q)
}

// PrefixHashes returns the chained hashes of the prompt's blocks: first
// those of the shared prefix, then blocks unique to this prompt. Recorded hashes
// are returned unchanged.
func PrefixHashes(a *Arrival, index, blockTokens int) []uint64 {
	if a.PrefixHashes != nil {
		return a.PrefixHashes
	}
	blocks := min(a.PromptTokens/blockTokens, maxPrefixBlocks)
	shared := a.PrefixTokens / blockTokens
	hashes := make([]uint64, 0, blocks)
	d := xxhash.New()
	_, _ = d.WriteString(a.Model) // never fails
	for b := range blocks {
		if b < shared {
			_, _ = d.WriteString(a.Prefix + "/" + strconv.Itoa(b))
		} else {
			_, _ = d.WriteString(strconv.Itoa(index) + ":" + strconv.Itoa(b))
		}
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// submit submits a request to the policy under a new request id.
func (r *run) submit(q *request) {
	r.submitted++
	q.id = dispatch.RequestID{VM: q.vm, Sequence: r.submitted}
	q.granted = false
	q.attempts++
	admission := q.admission
	admission.Excluded = slices.Clone(q.admission.Excluded)
	if err := r.policy.Submit(r.now, dispatch.Request{ID: q.id, AdmissionRequest: admission}); err != nil {
		q.attempts--
		r.retryRejected(q)
		return
	}
	r.requests[q.id] = q
	r.dirty = true
	id := q.id
	r.scheduleAfter(r.opts.QueueTimeout, func() {
		if q.id == id && !q.granted && !q.done {
			r.policy.Withdraw(r.now, id)
			r.dirty = true
			r.complete(q, outcomeTimeout)
		}
	})
}

// retryRejected resubmits a rejected request after RetryAfter, until the retry
// timeout. Nothing ran, so the attempt does not count towards maxAttempts.
func (r *run) retryRejected(q *request) {
	r.meter.rejected(q)
	giveUp := q.arrived.Add(r.opts.RetryTimeout)
	if again := r.now.Add(r.opts.RetryAfter); again.Before(giveUp) {
		r.scheduleAt(again, func() { r.submit(q) })
		return
	}
	r.scheduleAt(giveUp, func() { r.complete(q, outcomeRejected) })
}

// start starts the generation of a granted request on its engine.
func (r *run) start(q *request) {
	e, ok := r.byID[q.backend]
	if !ok || !e.alive {
		r.handleStreamLoss(q, outcomeFailed)
		return
	}
	generation := r.newGeneration(e)
	e.model.Start(r.now, enginemodel.Spec{
		ID: generation, PromptTokens: q.admission.PromptTokens, Prefix: q.admission.PrefixHashes,
		Length: q.arrival.length(), Priority: q.priority,
	})
	q.resumes, q.engine, q.generation = 0, e, generation
	r.owners[generation] = q
	r.connect(q, e, generation, r.opts.FirstTokenTimeout)
	r.scheduleAdvance(e)
}

// length returns the true output length, capped at the request's limit.
func (a *Arrival) length() int {
	if a.MaxTokens > 0 {
		return min(a.Tokens, a.MaxTokens)
	}
	return a.Tokens
}

// release reports to the policy that the grant of a request has ended.
func (r *run) release(q *request) {
	delete(r.requests, q.id)
	r.policy.Finish(r.now, q.id, q.offset)
	r.dirty = true
}

// complete ends a request and records its outcome.
func (r *run) complete(q *request, o requestOutcome) {
	delete(r.requests, q.id)
	q.done, q.outcome = true, o
	r.openRequests--
	r.meter.ended(q, o, r.now)
}

// active returns all requests that are queued or running, in order of arrival.
func (r *run) active() []*request {
	list := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *request) int { return a.index - b.index })
	return list
}

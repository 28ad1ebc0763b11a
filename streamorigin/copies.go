package streamorigin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	// copyCount is the number of other VMs that keep a copy of an origin, and askedVMs the number of
	// VMs that are asked for one: a VM that has started since may be among the first copyCount now.
	copyCount = 2
	askedVMs  = 3
	// storeSilence is the time without an answer of the store after which VMs are asked. A sound
	// store answers in 4 ms.
	storeSilence = 50 * time.Millisecond
	// askTimeout bounds the time in which VMs answer. Zones are a few milliseconds apart.
	askTimeout = 150 * time.Millisecond
	// maxCopies bounds the copies that a VM keeps for others, maxAsked the requests in one message
	// and maxOriginBytes the length of the names in a copy.
	maxCopies      = copyCount * maxRecords
	maxAsked       = 64
	maxOriginBytes = 256
)

// originCopy is where a stream of another VM began. The stream's first event has been passed on, so
// that the origin is final.
type originCopy struct {
	prefix string
	origin Origin
	until  time.Duration
	// conflicts is set if VMs have told different versions.
	conflicts bool
}

// copies are the origins that a VM keeps for others, and its questions. They do no network I/O and
// are not safe for concurrent use.
type copies struct {
	byPrefix  map[string]*originCopy
	queue     []*originCopy // the oldest first
	questions map[string][]*question
}

// question is a request whose origin VMs were asked for.
type question struct {
	// open is the number of VMs that have not answered, and done is closed when that doesn't matter
	// any more.
	open int
	done chan struct{}
	// origin is the answer, if known is set.
	origin Origin
	known  bool
}

func newCopies() *copies {
	return &copies{byPrefix: map[string]*originCopy{}, questions: map[string][]*question{}}
}

// keep stores an origin that another VM has sent, and answers the questions for it.
func (c *copies) keep(now time.Duration, prefix string, o Origin, remaining time.Duration) {
	if known := c.byPrefix[prefix]; known != nil && now < known.until {
		known.conflicts = known.conflicts || known.origin.Version != o.Version
	} else {
		kept := &originCopy{prefix: prefix, origin: o, until: now + min(remaining, maxLifetime)}
		c.byPrefix[prefix] = kept
		c.queue = append(c.queue, kept)
		c.evict(now)
	}
	c.answer(prefix, o)
}

// evict removes the oldest copies that are past their lifetime or beyond maxCopies.
func (c *copies) evict(now time.Duration) {
	for len(c.queue) > 0 && (len(c.queue) > maxCopies || now >= c.queue[0].until) {
		oldest := c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		if c.byPrefix[oldest.prefix] == oldest {
			delete(c.byPrefix, oldest.prefix)
		}
	}
}

// answer answers all questions for an origin.
func (c *copies) answer(prefix string, o Origin) {
	for _, q := range c.questions[prefix] {
		if !q.known {
			q.origin, q.known = o, true
			close(q.done)
		}
	}
	delete(c.questions, prefix)
}

// find returns a kept origin. The error is an *AmbiguousError.
func (c *copies) find(now time.Duration, request, prefix string) (o Origin, known bool, err error) {
	kept := c.byPrefix[prefix]
	switch {
	case kept == nil || now >= kept.until:
		return Origin{}, false, nil
	case kept.conflicts:
		return Origin{}, true, &AmbiguousError{Request: request, Reason: "copies of two versions"}
	}
	return kept.origin, true, nil
}

// answeredUnknown records that a VM that was asked has no copy.
func (c *copies) answeredUnknown(prefix string) {
	for _, q := range c.questions[prefix] {
		if q.open--; q.open == 0 {
			c.forget(prefix, q)
			close(q.done)
		}
	}
}

// ask adds a question that a number of VMs are asked.
func (c *copies) ask(prefix string, vms int) *question {
	q := &question{open: vms, done: make(chan struct{})}
	c.questions[prefix] = append(c.questions[prefix], q)
	return q
}

// forget removes a question.
func (c *copies) forget(prefix string, q *question) {
	var rest []*question
	for _, other := range c.questions[prefix] {
		if other != q {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(c.questions, prefix)
		return
	}
	c.questions[prefix] = rest
}

// vmsFor returns the first n other VMs in the rendezvous order of a request.
func (r *Records) vmsFor(prefix string, n int) []string {
	if r.opts.Transport == nil {
		return nil
	}
	var vms []vmlist.VM
	for _, vm := range r.opts.Members() {
		if vm.ID != r.opts.VM {
			vms = append(vms, vm)
		}
	}
	return rendezvous.Top(prefix, vms, n)
}

func (r *Records) send(vms []string, m *peerpb.StreamOrigins) {
	e := &peerpb.Envelope{Body: &peerpb.Envelope_StreamOrigins{StreamOrigins: m}}
	for _, vm := range vms {
		if err := r.opts.Transport.Send(vm, e); err != nil {
			r.opts.Log.Debug("stream_origin_not_sent", zap.String("peer", vm), zap.Error(err))
		}
	}
}

// sendCopy sends the origin of a stream whose first event was passed on to the VMs that keep it.
func (r *Records) sendCopy(prefix string, o Origin, remaining time.Duration) {
	if o.Version == "" || remaining <= 0 {
		return
	}
	if vms := r.vmsFor(prefix, copyCount); len(vms) > 0 {
		r.send(vms, &peerpb.StreamOrigins{Kept: []*peerpb.StreamOrigin{encodeCopy(prefix, o, remaining)}})
	}
}

// Receive handles a message of another VM. It does not block.
func (r *Records) Receive(from string, in *peerpb.StreamOrigins) {
	r.mu.Lock()
	now := r.opts.Now()
	for _, kept := range in.GetKept() {
		if prefix, o, remaining, ok := decodeCopy(kept); ok {
			r.copies.keep(now, prefix, o, remaining)
		}
	}
	for _, request := range in.GetUnknown() {
		r.copies.answeredUnknown(prefixOf(request))
	}
	answer := &peerpb.StreamOrigins{}
	for i, request := range in.GetAsked() {
		if i == maxAsked || len(request) != hashBytes {
			break
		}
		if o, remaining, ok := r.finalOrigin(now, prefixOf(request)); ok {
			answer.Kept = append(answer.Kept, encodeCopy(prefixOf(request), o, remaining))
		} else {
			answer.Unknown = append(answer.Unknown, request)
		}
	}
	r.mu.Unlock()
	if len(answer.GetKept())+len(answer.GetUnknown()) > 0 && r.opts.Transport != nil {
		r.send([]string{from}, answer)
	}
}

// finalOrigin returns the origin of a stream whose first event was passed on, and the rest of its
// lifetime.
func (r *Records) finalOrigin(now time.Duration, prefix string) (Origin, time.Duration, bool) {
	if kept := r.copies.byPrefix[prefix]; kept != nil && now < kept.until {
		return kept.origin, kept.until - now, !kept.conflicts
	}
	same := r.machine.byKey[prefix]
	if len(same) != 1 || !same[0].passed || now >= same[0].until || same[0].origin.Version == "" {
		return Origin{}, 0, false
	}
	return same[0].origin, same[0].until - now, true
}

// askOthers asks the VMs that may keep a copy, until one knows the origin or none does.
func (r *Records) askOthers(ctx context.Context, request string) (Origin, bool) {
	prefix := requestPrefix(request)
	vms := r.vmsFor(prefix, askedVMs)
	if len(vms) == 0 {
		return Origin{}, false
	}
	r.mu.Lock()
	q := r.copies.ask(prefix, len(vms))
	r.mu.Unlock()
	r.send(vms, &peerpb.StreamOrigins{Asked: [][]byte{hashOf(prefix)}})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copies.forget(prefix, q)
	return q.origin, q.known
}

// storeAnswer is what the store says of a stream.
type storeAnswer struct {
	origin Origin
	err    error
}

// findElsewhere asks the store, and other VMs if the store is silent, fails or knows nothing.
func (r *Records) findElsewhere(ctx context.Context, request string) (Origin, error) {
	if r.opts.Transport == nil {
		return r.findInStore(ctx, request)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan storeAnswer, 1)
	go func() {
		o, err := r.findInStore(ctx, request)
		answered <- storeAnswer{o, err}
	}()
	timer := time.NewTimer(storeSilence)
	defer timer.Stop()
	select {
	case a := <-answered:
		if a.err == nil || isA[*AmbiguousError](a.err) {
			return a.origin, a.err
		}
		answered <- a
	case <-timer.C:
	}
	if o, known := r.askOthers(ctx, request); known {
		return o, nil
	}
	a := <-answered
	return a.origin, a.err
}

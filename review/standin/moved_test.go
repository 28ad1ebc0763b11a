package review

import (
	"time"
)

// bothWork is how long two workers may work on one request.
const bothWork = 400 * time.Millisecond

// movedRun takes a model worker away as the pages describe it: it reports draining, serves for
// drainMs and a little longer, and exits. It is one of the workers that do not drop a run when
// its connection closes; the others do.
func movedRun(dir string, trouble bool) bool {
	const drainTime, linger = 2 * time.Second, 2 * time.Second
	f, vms, workers := deployWorkers(dir, 3, 3, 2)
	leaving := workers[0]
	leaving.keepsRuns = true
	type result struct {
		call call
		o    outcome
	}
	const drafts = 12
	results := make(chan result, drafts)
	for i := range drafts {
		go func() {
			c := draft(235)
			o := send(vms[i%3].front, c)
			record("%s sent at %.3f: status %d, complete %v, %d events, %v, ended at %.3f", c.id, o.sentAt.Seconds(), o.status, o.complete, len(o.events), o.err, o.endAt.Seconds())
			results <- result{c, o}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(contact)
	if trouble {
		leaving.drain()
		time.Sleep(drainTime + linger)
		leaving.exit()
	}
	twice := 0
	for range drafts {
		r := <-results
		f.mu.Lock()
		for i, next := range f.spans[r.call.id] {
			for _, before := range f.spans[r.call.id][:i] {
				end := before.end
				if end == 0 {
					end = since()
				}
				if end-next.begin > bothWork {
					twice++
					record("TWICE: %s goes on at %s while %s works on it for another %.3f s", r.call.id, next.worker, before.worker, (end - next.begin).Seconds())
				}
			}
		}
		f.mu.Unlock()
	}
	record("%d requests at two workers at once", twice)
	return twice == 0
}

package review

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	draftLimit = 39 * time.Second
	panelLimit = 6 * time.Second
	// draftGap and panelGap are how long consumers wait for the next piece: four times the
	// objective.
	draftGap = 7200 * time.Millisecond
	panelGap = 6 * time.Second
	// Events of a long and of a short draft. The sheet has 235 on average, the site file 554
	// at most.
	longDraft, shortDraft = 540, 40
)

func draft(events int) call {
	return call{
		id: newID("draft"), method: http.MethodPost, path: "/draft/1", body: fmt.Sprintf("events=%d %s", events, strings.Repeat("x", 2500)),
		headers:   map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("3000,%d", events*stride), "Prompt-Prefix": "a1:47,b" + fmt.Sprint(lastID.Load()) + ":31"},
		timeLimit: draftLimit, gap: draftGap,
	}
}

func panel(events int) call {
	return call{
		id: newID("panel"), method: http.MethodPost, path: "/panel/1", body: fmt.Sprintf("events=%d %s", events, strings.Repeat("x", 2500)),
		headers:   map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("2200,%d", events*stride), "Prompt-Prefix": "a2:210,b" + fmt.Sprint(lastID.Load()) + ":140"},
		timeLimit: panelLimit, gap: panelGap,
	}
}

// queuedAtStop stops a VM by SIGTERM while its pool of engines is full. Requests that it
// has read wait for an engine.
func queuedAtStop(dir string, trouble bool) bool {
	f, vms := deploy(dir, 3, 2, 2)
	var mu sync.Mutex
	type result struct {
		call call
		o    outcome
	}
	var results []result
	run := func(address string, c call) {
		go func() {
			o := send(address, c)
			record("%s sent at %.3f: status %d, complete %v, %d events, gave up %v, %v, ended at %.3f", c.id, o.sentAt.Seconds(), o.status, o.complete, len(o.events), o.gaveUp, o.err, o.endAt.Seconds())
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{c, o})
		}()
	}
	// Long drafts, sent to the other VMs, fill the memory of the engines.
	for i := range 24 {
		run(vms[1+i%2].front, draft(longDraft))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(contact)
	stopAt := since()
	if trouble {
		record("SIGTERM to %s", vms[0].name)
		vms[0].stop()
	}
	// The platform takes a VM out of rotation after two misses, which is 1 to 2 s after the
	// signal. Until then consumers come to it.
	time.Sleep(500 * time.Millisecond)
	for range 6 {
		run(vms[0].front, draft(shortDraft))
		time.Sleep(50 * time.Millisecond)
	}
	// Long drafts that are still running do not matter any more.
	time.Sleep((graceS + 2) * time.Second)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, r := range results {
		o := r.o
		f.mu.Lock()
		arrivals := len(f.arrived[r.call.id])
		f.mu.Unlock()
		if o.sentAt < stopAt || !o.closed || o.gaveUp || o.endAt-o.sentAt <= lossSlack || o.endAt > stopAt+(graceS+1)*time.Second || arrivals > 0 {
			continue
		}
		lost++
		record("LOST: %s was read %.1f s before the connection ended without an answer, and never reached a worker", r.call.id, (o.endAt - o.sentAt).Seconds())
	}
	record("%d requests lost", lost)
	return lost == 0
}

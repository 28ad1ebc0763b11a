package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["readers-killed"] = readersKilled }

// drainTime is drainMs: the time after which a worker that leaves must get no more requests.
const drainTime = 2 * time.Second

// readersKilled has one of three plain workers report that it is draining. With trouble, eleven of
// twenty entry VMs are killed right before.
func readersKilled(b *bench) (result, error) {
	for n := range 3 {
		w, err := b.fleet.startWorker(fmt.Sprintf("i-desk%d", n), "jobdesk", zones[n], 6)
		if err != nil {
			return notRun, err
		}
		w.plain = true
	}
	if err := b.start(20, 100); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // All VMs have been in touch for contactMs.
	killed := []string{"front-12", "front-16", "front-1", "front-13", "front-17", "front-4", "front-7", "front-14", "front-8", "front-5", "front-18"}
	if b.trouble {
		for _, v := range b.vms {
			if slices.Contains(killed, v.name) {
				v.cmd.Process.Kill()
			}
		}
		b.record.add("killed: %v", killed)
	}
	leaving := b.fleet.workers[0]
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	b.store.put("servers/"+leaving.id, leaving.entry("draining", 2))
	acked := time.Now()
	b.record.add("%s: reports that it is draining, acknowledged by the store", leaving.id)
	var all sync.WaitGroup
	lost := 0
	var mu sync.Mutex
	time.Sleep(time.Until(acked.Add(drainTime + 2*time.Millisecond)))
	for i, v := range b.vms {
		if slices.Contains(killed, v.name) {
			continue
		}
		for n := range 6 {
			all.Go(func() {
				out := send(b.record, v.front, "/book/1", fmt.Sprintf("book-%d-%d", i, n), "deposit", map[string]string{"Deadline-Ms": "1000"})
				if out.status != 200 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	}
	time.AfterFunc(time.Until(acked.Add(drainTime+50*time.Millisecond)), func() {
		b.store.remove("servers/" + leaving.id)
		b.record.add("%s: exits", leaving.id)
		leaving.exit()
	})
	all.Wait()
	late := 0
	b.fleet.mu.Lock()
	for _, s := range b.fleet.spans {
		if s.worker == leaving.id && s.begun.Sub(acked) > drainTime {
			late++
			b.record.add("%s reached %s %d ms after the ack", s.id, s.worker, s.begun.Sub(acked).Milliseconds())
		}
	}
	b.fleet.mu.Unlock()
	b.record.say("%d requests reached %s later than %v after the ack; %d bookings got no success", late, leaving.id, drainTime, lost)
	if late > 0 {
		b.record.say("DRAIN is broken")
		return broken, nil
	}
	b.record.say("DRAIN held")
	return held, nil
}

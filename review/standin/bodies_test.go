package review

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBodyBytes is the limit in the manifest.
	maxBodyBytes = 4194304
	// usualDrafts is how many drafts a machine has at once when the engines of tilbod-fleet are
	// full: 14 workers with 24 slots, 20 machines. burstDrafts is 1.7 times that, the largest
	// burst of the site.
	usualDrafts, burstDrafts = 16, 27
	rounds                   = 3
)

// rssMB is the resident memory of a process.
func rssMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n := 0
			_, _ = fmt.Sscanf(strings.TrimSpace(v), "%d", &n)
			return n >> 10
		}
	}
	return 0
}

// keepToMemory ends a process that exceeds memoryMb, as the platform does, and starts it again.
func keepToMemory(dir string, v *vm, killed *atomic.Int64, peak *atomic.Int64) {
	const look, restartDelay = 5 * time.Millisecond, 500 * time.Millisecond
	for {
		time.Sleep(look)
		rss := int64(rssMB(v.cmd.Process.Pid))
		peak.Store(max(peak.Load(), rss))
		if rss <= memoryMB {
			continue
		}
		record("%s has %d MB, the platform ends it", v.name, rss)
		killed.Add(1)
		v.kill()
		time.Sleep(restartDelay)
		v.start(dir)
	}
}

// burstOfBodies sends drafts with bodies of the allowed size to two of three machines, as many at
// once as they have when the engines are full, and in the burst 1.7 times as many.
func burstOfBodies(dir string, trouble bool) bool {
	f, vms := deploy(dir, 3, 4, 2)
	var killed, peak [2]atomic.Int64
	for i := range killed {
		go keepToMemory(dir, vms[i], &killed[i], &peak[i])
	}
	padding := strings.Repeat("x", maxBodyBytes-len("events=100 "))
	var lost atomic.Int64
	for range rounds {
		n := usualDrafts
		if trouble {
			n = burstDrafts
		}
		var consumers sync.WaitGroup
		for i := range killed {
			for range n {
				consumers.Go(func() {
					c := draft(100)
					c.headers["Token-Count"], c.body = "1000,400", "events=100 "+padding
					o := send(vms[i].front, c)
					f.mu.Lock()
					arrivals := len(f.arrived[c.id])
					f.mu.Unlock()
					record("%s sent to %s at %.3f: status %d, complete %v, %d events, %v, ended at %.3f, %d arrivals at workers", c.id, vms[i].name, o.sentAt.Seconds(), o.status, o.complete, len(o.events), o.err, o.endAt.Seconds(), arrivals)
					if o.closed && arrivals > 0 {
						lost.Add(1)
					}
				})
			}
		}
		consumers.Wait()
		time.Sleep(contact)
		for _, v := range vms {
			v.awaitReady()
		}
	}
	over := 0
	for i := range killed {
		fmt.Printf("%s: %d times over %d MB, at most %d MB\n", vms[i].name, killed[i].Load(), memoryMB, peak[i].Load())
		record("%s: %d times over %d MB, at most %d MB", vms[i].name, killed[i].Load(), memoryMB, peak[i].Load())
		if killed[i].Load() >= rounds {
			over++
		}
	}
	record("%d runs in progress lost; %d machines three times over the limit", lost.Load(), over)
	return over < 2
}

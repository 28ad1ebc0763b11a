package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["other-entries"] = entriesOfOthers }

const (
	// memoryLimitKB is memoryMb of the settings.
	memoryLimitKB = 120 << 10
	// otherBytes is the size of an entry of another writer, below valueBytes of the settings.
	otherBytes = 1000000
	// otherEntries is the number of these entries.
	otherEntries = 40
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// maxUnanswered is how often rule LOST lets a connection be closed without an answer.
	maxUnanswered = 3
)

// entriesOfOthers serves clients for some time. With trouble, another writer leaves entries among
// those of the workers, of a service that no manifest names.
func entriesOfOthers(b *bench) (result, error) {
	for n := range 2 {
		w, err := b.fleet.startWorker(fmt.Sprintf("i-worker%d", n), "drafter", zones[n], 24)
		if err != nil {
			return notRun, err
		}
		w.prefill.Store(int64(600 * time.Millisecond))
	}
	if err := b.start(6, 100); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var unanswered []string
	for _, v := range b.vms {
		for n := range 3 {
			all.Go(func() {
				keptClient(b, v, fmt.Sprintf("%s-%d", v.name, n), stop, func(id string) {
					mu.Lock()
					defer mu.Unlock()
					unanswered = append(unanswered, id)
				})
			})
		}
	}
	ends := make([]int, len(b.vms))
	peaks := make([]int, len(b.vms))
	for i, v := range b.vms {
		all.Go(func() { b.enforceMemory(v, stop, &peaks[i], &ends[i]) })
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		for i := range otherEntries {
			b.store.put(fmt.Sprintf("servers/other-%d", i), otherEntry(i))
			time.Sleep(30 * time.Millisecond)
		}
		b.record.add("another writer has left %d entries of %d bytes", otherEntries, otherBytes)
	}
	time.Sleep(30 * time.Second)
	close(stop)
	all.Wait()
	killed := 0
	for i, v := range b.vms {
		b.record.say("%s: peak of anonymous memory %d kB, ended %d times for memory", v.name, peaks[i], ends[i])
		killed += ends[i]
	}
	b.record.say("%d requests from kept connections were with a worker and got no answer", len(unanswered))
	if len(unanswered) > maxUnanswered {
		b.record.say("LOST is broken")
		return broken, nil
	}
	if b.trouble && killed > 0 {
		b.record.say("processes ended, and LOST held")
	}
	b.record.say("LOST held")
	return held, nil
}

// otherEntry is an entry of a service that no manifest names, with a long field.
func otherEntry(n int) map[string]any {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	zone := make([]byte, otherBytes)
	for i := range zone {
		zone[i] = letters[rand.Intn(len(letters))]
	}
	return map[string]any{
		"service": "archive", "address": fmt.Sprintf("127.0.0.1:%d", 20000+n), "zone": string(zone), "version": "v1", "slots": 1, "state": "ready", "sequence": 1, "born": 1,
	}
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again.
func (b *bench) enforceMemory(v *vm, stop <-chan struct{}, peak, ends *int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		n := v.memoryKB()
		*peak = max(*peak, n)
		if n <= memoryLimitKB {
			continue
		}
		b.record.add("%s: has %d kB of anonymous memory, over %d kB: the platform kills it", v.name, n, memoryLimitKB)
		*ends++
		v.cmd.Process.Kill()
		v.cmd.Wait()
		time.Sleep(restartDelay)
		if err := v.restart(daemonPath); err != nil {
			b.record.say("%s does not start again: %v", v.name, err)
			return
		}
	}
}

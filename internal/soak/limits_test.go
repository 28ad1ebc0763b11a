package soak

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The test in which VMs are killed while servers name limits. Callers ask for three times
// what the servers take.
const (
	killedVMs       = 5
	limitedDesks    = 3
	namedLimit      = "4.0"
	lookInterval    = 400 * time.Millisecond
	killDowntime    = 500 * time.Millisecond
	timeBetweenKill = 2 * time.Second
	// leastUsed is the part of the rate that VMs use together without the VM that grants.
	leastUsed = 0.5
)

// Guards against a limit that is exceeded, or a server that is left idle, when the VM that
// grants permits is killed. It is one of all VMs, which are killed in turn.
func TestLimitIsKeptWhenTheVMThatGrantsIsKilled(t *testing.T) {
	t.Parallel()
	h := startHarness(t, Options{Engines: 1, PlainServers: limitedDesks, VMs: killedVMs}, 0)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i, v := range h.vms {
		for n := range callersPerVM {
			c := newCaller(h, v, i*callersPerVM+n)
			callers.Go(func() { c.lookUntil(ctx) })
		}
	}
	time.Sleep(toldMargin)
	h.setLimits(h.serversOfKind(false), slices.Repeat([]string{namedLimit}, limitedDesks))
	time.Sleep(contactBound)
	for _, v := range h.vms {
		h.restart(v, syscall.SIGKILL, killDowntime)
		time.Sleep(timeBetweenKill)
	}
	h.setLimits(h.serversOfKind(false), nil)
	stop()
	callers.Wait()
	h.checkLimits(h.fleet.Exchanges())
	h.checkProcesses()
	for _, line := range h.limitDetails {
		t.Log(line)
	}
	for _, v := range h.violations.all() {
		t.Error(v)
	}
	if used := h.limits.Used; len(used) != limitedDesks || slices.Min(used) < leastUsed {
		t.Errorf("used parts of the rate %.2f, want %d of %.2f or more", used, limitedDesks, leastUsed)
	}
}

// startHarness starts processes without faults. The store is in an era.
func startHarness(t *testing.T, o Options, era int64) *harness {
	o.Dir, o.Daemon = t.TempDir(), daemonUnderTest(t, "")
	h := newHarness(o)
	t.Cleanup(h.close)
	h.store.SetEra(era)
	h.fleet.RecordRequests(vmOfRequest)
	if err := h.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h
}

// lookUntil sends requests to plain servers until ctx ends, and lets the last one finish.
func (c *caller) lookUntil(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := &request{id: requestID(c.vm, c.prefix+strconv.Itoa(n)), kind: kindLook, vm: c.vm, key: stableKey}
		c.send(context.WithoutCancel(ctx), r)
		c.harness.check(r)
		time.Sleep(lookInterval)
	}
}

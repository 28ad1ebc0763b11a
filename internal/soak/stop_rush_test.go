package soak

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against answers that a stop can't give any more, since hundreds of requests get theirs
// at the end of the grace period and the VM is starved of processor time. Their servers are slow.
func TestStopAnswersARushAtItsEnd(t *testing.T) {
	const (
		callers = 300
		// late is later than 3 s after the signal: no sentence of the users excuses a cut then.
		late     = 3100 * time.Millisecond
		slowTime = 6 * time.Second
	)
	h, quick := startStopHarness(t)
	h.store.Put(configKey, bytes.ReplaceAll(userplatform.Config(2, stableKey), []byte(`"timeoutMs":1000`), []byte(`"timeoutMs":20000`)))
	startDesks(t, h, "slow", slowTime, slowTime, slowTime, slowTime)
	for _, s := range quick {
		s.Unregister()
	}
	time.Sleep(applyBound)
	v := h.vms[0]
	results := make(chan stopResult, callers)
	stopping := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		c := newStopCaller(t, v, fmt.Sprintf("rush-%d", i), results)
		group.Go(func() {
			c.dial()
			<-stopping
			time.Sleep(late)
			c.reads = true
			c.request(0)
		})
	}
	time.Sleep(time.Second)
	close(stopping)
	signalled := time.Now()
	awaitStop(t, v, true)
	group.Wait()
	close(results)
	checkResults(t, h, results, signalled)
}

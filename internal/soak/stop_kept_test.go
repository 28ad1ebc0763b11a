package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Streams of TestStopAnswersTheRequestAfterAStream and what their callers do next.
const (
	keptEngines        = 4
	keptStreamEvents   = 250
	keptStreamInterval = 20 * time.Millisecond
	// keptCallers begin their streams up to keptSpread before the signal.
	keptCallers = 64
	keptSpread  = 4800 * time.Millisecond
	// keptPause is the longest time between the end of a stream and the next request of its
	// caller. It is shorter than the notice of a stop.
	keptPause = 3 * time.Second
	// keptLast is the latest time after the signal of a next request.
	keptLast = 7 * time.Second
)

// Guards against a stop that closes a connection whose answer began before the signal, and so
// could not announce the close, before its caller has had time to send the next request.
func TestStopAnswersTheRequestAfterAStream(t *testing.T) {
	h := startKeptHarness(t)
	results := make(chan keptResult, keptCallers)
	var callers sync.WaitGroup
	var signalled time.Time
	stopping := make(chan struct{})
	for i := range keptCallers {
		c := newStopCaller(t, h.vms[0], fmt.Sprintf("kept-%d", i), nil)
		callers.Go(func() { playKept(c, stopping, &signalled, results) })
	}
	time.Sleep(keptSpread + time.Second)
	signalled = time.Now()
	close(stopping)
	awaitStop(t, h.vms[0], false)
	callers.Wait()
	close(results)
	played, unanswered := 0, 0
	for r := range results {
		played++
		switch sent := r.sent.Sub(signalled).Round(time.Millisecond); {
		case r.err != nil:
			unanswered++
			t.Errorf("%s, sent %v after the signal and %v after its stream, got no answer: %v; ran %v",
				r.id, sent, r.pause.Round(time.Millisecond), r.err, h.fleet.Runs(r.id))
		case !r.closes:
			t.Errorf("%s, sent %v after the signal: the answer, %d, does not announce the close", r.id, sent, r.status)
		}
	}
	t.Logf("%d of %d requests without an answer", unanswered, played)
}

// keptResult is the request after a stream.
type keptResult struct {
	stopResult
	pause time.Duration
	// closes is set if the answer announced the close of its connection.
	closes bool
}

// startKeptHarness starts a VM, an engine whose streams last 5 s and plain servers.
func startKeptHarness(t *testing.T) *harness {
	h, _ := startStopHarness(t)
	for i := range keptEngines {
		if _, err := h.fleet.Start(userplatform.ServerOptions{
			ID: fmt.Sprintf("engine-kept-%d", i), Service: "engines", Zone: "z", Model: "m", Slots: keptCallers,
			Events: keptStreamEvents, EventInterval: keptStreamInterval,
		}); err != nil {
			t.Fatal(err)
		}
	}
	h.servers[0].Unregister() // Its streams are short.
	time.Sleep(applyBound)
	return h
}

// playKept sends a stream that lasts across the signal, and a request over the same connection.
func playKept(c *stopCaller, stopping <-chan struct{}, signalled *time.Time, results chan<- keptResult) {
	time.Sleep(time.Second + c.rand(keptSpread-500*time.Millisecond))
	c.dial()
	if err := c.stream(); err != nil {
		c.t.Errorf("stream of %s: %v", c.id, err)
		return
	}
	ended := time.Now()
	<-stopping
	pause := min(c.rand(keptPause), max(time.Until(signalled.Add(keptLast)), 0))
	time.Sleep(pause)
	r := keptResult{stopResult: stopResult{id: c.id + "-next", sent: time.Now()}, pause: time.Since(ended)}
	if r.err = c.write(r.id, 0); r.err == nil {
		r.readFrom(c.conn, c.reader)
	}
	results <- r
}

func (r *keptResult) readFrom(conn net.Conn, reader *bufio.Reader) {
	_ = conn.SetReadDeadline(time.Now().Add(callerTimeout))
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		r.status, r.closes = resp.StatusCode, resp.Close
		_, err = io.Copy(io.Discard, resp.Body)
	}
	r.err, r.ended = err, time.Now()
}

// stream sends a stream over the connection and reads it to its end.
func (c *stopCaller) stream() error {
	_, err := io.WriteString(c.conn, "POST /check/1 HTTP/1.1\r\nHost: "+siteHost+"\r\nAuthorization: Bearer "+stableKey+
		"\r\nRequest-Id: "+c.id+"-stream\r\nDeadline-Ms: 6000\r\n"+streamHeader+"Content-Length: 7\r\n\r\ndeposit")
	if err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return fmt.Errorf("status %d, closes %t", resp.StatusCode, resp.Close)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

package localcluster_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// TestDrain guards P6 against a planned stop that interrupts an answer, rejects
// requests while load balancers still send them, or rejects them with an outcome
// other than not_run.
func TestDrain(t *testing.T) {
	const length, notice = 80, 300 * time.Millisecond
	c, ctx := startCluster(t, localcluster.Options{VMs: 1, Engines: 1, Services: 1, Configure: func(cfg *config.Config) {
		cfg.Timeouts.DrainNotice = config.Duration(notice)
	}})
	vm, caller := c.VMs[0], clientFor(c.VMs[0])
	c.Services[0].Service.SetFaults(standin.Faults{DelayMS: 700})
	var wg sync.WaitGroup
	running := make(chan struct{})
	wg.Go(func() {
		tokens, err := checkedStream(ctx, t, caller, prompt(length), func(offset int) {
			if offset == 3 {
				close(running)
			}
		})
		if err != nil || tokens != length {
			t.Errorf("got %d tokens and error %v", tokens, err)
		}
	})
	for _, route := range []string{localcluster.BookingRoute, localcluster.LookupRoute} {
		wg.Go(func() {
			if _, err := caller.Call(ctx, route, newKey(t), []byte("{}")); err != nil {
				t.Errorf("%s: %v", route, err)
			}
		})
	}
	<-running
	vm.BeginStop()
	eventually(t, "/readyz fails", func() bool {
		return getStatus(t, http.DefaultClient, vm.URL()+"/readyz") == http.StatusServiceUnavailable
	})
	if tokens, err := checkedStream(ctx, t, caller, prompt(5), nil); err != nil || tokens != 5 {
		t.Errorf("during the notice: got %d tokens and error %v", tokens, err)
	}
	resp, err := http.Get(vm.URL() + "/v1/generations/x")
	if err != nil {
		t.Fatal(err)
	}
	if _ = resp.Body.Close(); !resp.Close {
		t.Error("a draining VM keeps connections open, on which it may receive a request while it exits")
	}
	time.Sleep(notice)
	_, err = caller.Complete(ctx, prompt(5))
	if p := wantProblem(t, err, api.ProblemDraining, api.OutcomeNotRun); p.RetryAfter == 0 {
		t.Error("the rejection has no Retry-After")
	}
	wg.Wait()
	if err := vm.Stop(); err != nil {
		t.Errorf("the stop ended with %v", err)
	}
}

// TestAbortedDrain guards against a second signal that does not end a drain
// immediately, and against interrupted answers that are not logged or that look
// complete.
func TestAbortedDrain(t *testing.T) {
	var logs testlog.Buffer
	c, ctx := startCluster(t, localcluster.Options{VMs: 1, Engines: 1, Logs: &logs})
	vm := c.VMs[0]
	running, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		caller := client.New(client.Options{Addresses: []string{vm.URL()}, APIKey: localcluster.APIKey, MaxResumes: 1})
		_, err := checkedStream(ctx, t, caller, prompt(100000), func(offset int) {
			if offset == 3 {
				close(running)
			}
		})
		ended <- err
	}()
	<-running
	vm.BeginStop()
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	vm.Server.Abort()
	err := vm.Stop()
	if elapsed := time.Since(begin); elapsed > time.Second {
		t.Errorf("the stop took %s", elapsed)
	}
	if interrupted, ok := errors.Into[*vanillaarch.InterruptedError](err); !ok || len(interrupted.Requests) != 1 {
		t.Errorf("the stop ended with %v, want an InterruptedError with one request", err)
	}
	if !strings.Contains(logs.String(), "frontend.completion") {
		t.Error("the log does not name the interrupted request")
	}
	if <-ended == nil {
		t.Error("the interrupted answer was returned as complete")
	}
}

// TestDrainAnswersOpenConnections guards against a planned stop that closes a connection
// without an answer since the VM reads the request only after it has closed its listener.
func TestDrainAnswersOpenConnections(t *testing.T) {
	const request = "GET /v1/generations/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + localcluster.APIKey + "\r\n\r\n"
	c, _ := startCluster(t, localcluster.Options{VMs: 1, Engines: 1, Configure: func(cfg *config.Config) {
		cfg.Timeouts.DrainNotice = config.Duration(100 * time.Millisecond)
	}})
	address := strings.TrimPrefix(c.VMs[0].URL(), "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c.VMs[0].BeginStop()
	eventually(t, "the listener is closed", func() bool {
		other, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err == nil {
			_ = other.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	time.Sleep(500 * time.Millisecond) // The HTTP servers begin to stop.
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _ = resp.Body.Close(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got status %d, closes %v", resp.StatusCode, resp.Close)
	}
}

// TestDrainAnswersTheRequestAfterAStream guards against a planned stop that closes the connection
// of the last stream as soon as it ends, although its head could not announce that, so that the
// next request gets no answer.
func TestDrainAnswersTheRequestAfterAStream(t *testing.T) {
	const (
		notice = 2 * time.Second
		length = 250 // The stream outlasts the notice: a token takes 10 ms.
		pause  = 800 * time.Millisecond
		auth   = "Host: h\r\nAuthorization: Bearer " + localcluster.APIKey + "\r\n"
	)
	c, _ := startCluster(t, localcluster.Options{VMs: 1, Engines: 1, Configure: func(cfg *config.Config) {
		cfg.Timeouts.DrainNotice = config.Duration(notice)
	}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.VMs[0].URL(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	streamed := prompt(length)
	streamed.Stream = true
	body, err := json.Marshal(streamed)
	if err != nil {
		t.Fatal(err)
	}
	exchange := func(request string, begun func()) (*http.Response, error) {
		if _, err := io.WriteString(conn, request); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		begun()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp, err
	}
	stream := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", auth, len(body), body)
	if resp, err := exchange(stream, c.VMs[0].BeginStop); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("stream: %v, %v", resp, err)
	}
	time.Sleep(pause)
	resp, err := exchange("GET /v1/generations/x HTTP/1.1\r\n"+auth+"\r\n", func() {})
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got status %d, closes %v", resp.StatusCode, resp.Close)
	}
	ended := time.Now()
	if err := c.VMs[0].Stop(); err != nil || time.Since(ended) > notice {
		t.Errorf("the stop ended with %v, %v after the last answer", err, time.Since(ended))
	}
}

// TestLongAnswer guards against answers that are ended by the timeout of the
// request body, which is 30 s by default and 200 ms in this test.
func TestLongAnswer(t *testing.T) {
	const length = 100
	c, ctx := startCluster(t, localcluster.Options{VMs: 1, Engines: 1, Services: 1, Configure: func(cfg *config.Config) {
		cfg.Timeouts.Body = config.Duration(200 * time.Millisecond)
	}})
	caller := c.Client(localcluster.APIKey)
	c.Services[0].Service.SetFaults(standin.Faults{DelayMS: 500})
	if tokens, err := checkedStream(ctx, t, caller, prompt(length), nil); err != nil || tokens != length {
		t.Errorf("stream: got %d tokens and error %v", tokens, err)
	}
	if _, err := caller.Complete(ctx, prompt(length)); err != nil {
		t.Errorf("document: %v", err)
	}
	if _, err := caller.Call(ctx, localcluster.BookingRoute, newKey(t), []byte("{}")); err != nil {
		t.Errorf("call: %v", err)
	}
}

// TestEngineLeaves guards P5 against an engine that gets new generations more than
// 3 s after the VM list marks it as leaving, even if the list responds slowly, and
// against the loss of streams that run on that engine.
func TestEngineLeaves(t *testing.T) {
	const limit = 3 * time.Second
	c, ctx := startCluster(t, localcluster.Options{VMs: 2, Engines: 2, Configure: func(cfg *config.Config) {
		cfg.Platform.VMListInterval = 0 // Use the production default.
		cfg.Dispatch.EngineStreams = 4  // Low enough for requests to queue.
	}})
	leaver := c.Engines[0].Engine
	c.VMList.SetFaults(standin.Faults{DelayMS: 1500})
	var wg sync.WaitGroup
	for _, vm := range c.VMs {
		for range 2 {
			wg.Go(func() {
				if tokens, err := checkedStream(ctx, t, clientFor(vm), prompt(400), nil); err != nil || tokens != 400 {
					t.Errorf("long stream: got %d tokens and error %v", tokens, err)
				}
			})
		}
	}
	eventually(t, "streams on both engines", func() bool { return leaver.Started() == 2 })
	load, stop := context.WithCancel(ctx)
	for i := range 20 {
		wg.Go(func() {
			for load.Err() == nil {
				_, _ = clientFor(c.VMs[i%2]).Complete(load, prompt(3))
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.VMList.SetState("engine-1", vmlist.StateLeaving)
	time.Sleep(limit)
	before := leaver.Started()
	time.Sleep(300 * time.Millisecond)
	if after := leaver.Started(); after != before {
		t.Errorf("the leaving engine got %d generations after %s", after-before, limit)
	}
	stop()
	wg.Wait()
}

// TestHangingList guards P5 against a call to the VM list that hangs. In the worst
// case, the engine is marked as leaving right after a response and the next call
// gets none.
func TestHangingList(t *testing.T) {
	c, _ := startCluster(t, localcluster.Options{VMs: 1, Engines: 2, Configure: func(cfg *config.Config) {
		cfg.Platform.VMListInterval = 0 // Use the production default.
	}})
	reads := c.VMList.Reads()
	eventually(t, "a read", func() bool { return c.VMList.Reads() > reads })
	c.VMList.SetFaults(standin.Faults{HangNext: 1})
	c.VMList.SetState("engine-1", vmlist.StateLeaving)
	waitAll(t, c.VMs, failoverLimit, "leaving engine with a hanging call", func(s *control.Snapshot) bool {
		return len(s.Engines[localcluster.Model]) == 1
	})
}

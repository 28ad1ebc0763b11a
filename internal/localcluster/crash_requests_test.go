package localcluster_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// The operator's rule on a request that crashes the servers that run it: contactBound after
// it has crashed its noticedRequestCrashes-th server, at most maxLateArrivals more of it may
// reach servers.
const (
	noticedRequestCrashes = 3
	contactBound          = 3 * time.Second
	maxLateArrivals       = 3
)

// The servers and the load of the tests of requests that crash servers.
const (
	crashingServerCount = 3
	// callCrashDelay and engineCrashDelay are the times from the arrival of the crashing request
	// to the end of its server. Crashes within 250 ms count as one for the rules on prompt parts.
	callCrashDelay   = 20 * time.Millisecond
	engineCrashDelay = 300 * time.Millisecond
	// crashDowntime is the time from the end of a server until another one is listed in its place.
	crashDowntime   = time.Second
	requestInterval = 250 * time.Millisecond
	// timeAfterNoticed is the time for which the load goes on after the rule holds.
	timeAfterNoticed = 4 * time.Second
	// maxTimeToNotice limits the time to the third crash, so that a load ends within
	// testTimeout.
	maxTimeToNotice = 10 * time.Second
)

// crashingServers are servers of one service or model that end when a request with the text
// deadly reaches them. Each is replaced by one with another id.
type crashingServers struct {
	t *testing.T
	c *localcluster.Cluster
	// entry is that of each server in the list of VMs, less its id and address.
	entry vmlist.VM
	// handler returns the handler of sound requests.
	handler func(id string) http.Handler
	delay   time.Duration

	background sync.WaitGroup
	mu         sync.Mutex
	stopped    bool
	started    int
	running    map[string]*standin.Server
	arrivals   []time.Time
	crashes    []time.Time
}

// deadly is the text that crashes servers.
const deadly = "deadly"

// startCrashingServers starts servers that end a delay after the arrival of a request with the
// text deadly, and waits until all VMs know them.
func startCrashingServers(t *testing.T, c *localcluster.Cluster, delay time.Duration, entry vmlist.VM, handler func(id string) http.Handler) *crashingServers {
	t.Helper()
	s := &crashingServers{t: t, c: c, delay: delay, entry: entry, handler: handler, running: map[string]*standin.Server{}}
	t.Cleanup(s.stop)
	for range crashingServerCount {
		s.start()
	}
	waitAll(t, c.VMs, testTimeout/2, "servers that may end", func(snap *control.Snapshot) bool { return len(snap.Backends) == crashingServerCount })
	return s
}

// start starts a server under a new id.
func (s *crashingServers) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.started++
	vm := s.entry
	vm.ID, vm.State = fmt.Sprintf("server-%d", s.started), vmlist.StateLive
	server, err := standin.Listen("127.0.0.1:0", s.crashable(vm.ID))
	if err != nil {
		s.t.Error(err)
		return
	}
	vm.Address = server.Address()
	s.running[vm.ID] = server
	s.c.VMList.Put(vm)
}

// crashable returns the handler of a server.
func (s *crashingServers) crashable(id string) http.Handler {
	sound := s.handler(id)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !strings.Contains(string(body), deadly) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			sound.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		time.Sleep(s.delay)
		s.end(id)
		panic(http.ErrAbortHandler)
	})
}

// end ends a server, once.
func (s *crashingServers) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, runs := s.running[id]
	if !runs || s.stopped {
		return
	}
	delete(s.running, id)
	s.crashes = append(s.crashes, time.Now())
	server.Close()
	s.c.VMList.Remove(id)
	s.background.Go(func() {
		time.Sleep(crashDowntime)
		s.start()
	})
}

// stop ends all servers.
func (s *crashingServers) stop() {
	s.mu.Lock()
	s.stopped = true
	for _, server := range s.running {
		server.Close()
	}
	s.mu.Unlock()
	s.background.Wait()
}

// noticed returns the time from which the rule holds. It returns false before the crash that
// it counts from.
func (s *crashingServers) noticed() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < noticedRequestCrashes {
		return time.Time{}, false
	}
	return s.crashes[noticedRequestCrashes-1].Add(contactBound), true
}

// seen returns when the crashing request reached servers, and how often one has crashed.
func (s *crashingServers) seen() (arrivals []time.Time, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals), len(s.crashes)
}

// repeatedCrash is a load of one request that crashes servers, always the same, and of sound
// ones beside it.
type repeatedCrash struct {
	*crashingServers
	crashing, sound func(ctx context.Context) error
	// soundWhenNoticed makes the sound requests begin when the rule holds.
	soundWhenNoticed bool
}

// sentRequest is a request of a repeatedCrash with its result.
type sentRequest struct {
	at  time.Time
	err error
}

// run sends the load and checks the rule.
func (l repeatedCrash) run(ctx context.Context) {
	l.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var crashing, sound []sentRequest
	send := func(request func(context.Context) error, sent *[]sentRequest) {
		wg.Go(func() {
			at := time.Now()
			err := request(ctx)
			mu.Lock()
			defer mu.Unlock()
			*sent = append(*sent, sentRequest{at, err})
		})
	}
	for begin := time.Now(); l.goesOn(begin); time.Sleep(requestInterval / 2) {
		send(l.crashing, &crashing)
		time.Sleep(requestInterval / 2)
		if !l.soundWhenNoticed || l.afterNoticed() {
			send(l.sound, &sound)
		}
	}
	wg.Wait()
	l.check(crashing, sound)
}

// afterNoticed reports whether the rule holds.
func (l repeatedCrash) afterNoticed() bool {
	from, noticed := l.noticed()
	return noticed && time.Now().After(from)
}

// goesOn reports whether more requests must be sent.
func (l repeatedCrash) goesOn(begin time.Time) bool {
	if from, noticed := l.noticed(); noticed {
		return time.Since(from) < timeAfterNoticed
	}
	return time.Since(begin) < maxTimeToNotice
}

// check checks the rule, that those of the request that reach no server are refused as not
// run, and that sound requests are served.
func (l repeatedCrash) check(crashing, sound []sentRequest) {
	l.t.Helper()
	from, noticed := l.noticed()
	if !noticed {
		l.t.Fatalf("the request has crashed fewer than %d servers", noticedRequestCrashes)
	}
	arrivals, crashes := l.seen()
	late := len(slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return at.Before(from) }))
	if late > maxLateArrivals {
		l.t.Errorf("%d of the request reached servers later than %v after it had crashed the third, %d allowed", late, contactBound, maxLateArrivals)
	}
	sent, refused := 0, 0
	for _, r := range crashing {
		if r.at.Before(from) {
			continue
		}
		sent++
		if p, ok := errors.Into[*api.Problem](r.err); ok && p.Kind() == api.ProblemRequestQuarantined && p.Outcome == api.OutcomeNotRun {
			refused++
		}
	}
	if sent == 0 || refused+late < sent {
		l.t.Errorf("of %d later attempts, %d were refused and %d reached servers", sent, refused, late)
	}
	sound = slices.DeleteFunc(sound, func(r sentRequest) bool { return r.at.Before(from) })
	failed := slices.DeleteFunc(slices.Clone(sound), func(r sentRequest) bool { return r.err == nil })
	l.t.Logf("%d attempts, %d arrivals, %d of them late; %d crashes; %d of %d later attempts refused; %d of %d sound requests served",
		len(crashing), len(arrivals), late, crashes, refused, sent, len(sound)-len(failed), len(sound))
	if len(sound) == 0 || len(failed) > 0 {
		l.t.Errorf("%d of %d sound requests were not served: %v", len(failed), len(sound), errorsOf(failed))
	}
}

func errorsOf(sent []sentRequest) (out []error) {
	for _, r := range sent {
		out = append(out, r.err)
	}
	return out
}

// newCrashLog returns a writer for the logs of all VMs. What concerns crashes and refusals is shown
// if the test fails.
func newCrashLog(t *testing.T) *testlog.Buffer {
	logs := &testlog.Buffer{}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for line := range strings.Lines(logs.String()) {
			if strings.Contains(line, "quarantine") || strings.Contains(line, "suspect") || strings.Contains(line, "failed_run") || strings.Contains(line, "crash") {
				t.Log(strings.TrimSpace(line))
			}
		}
	})
	return logs
}

// usualTimeouts leaves the timeouts as they are by default, so that a sound request on a busy
// machine does not fail for another reason.
func usualTimeouts(*config.Config) {}

// Guards against a streamed completion that crashes the engines that run it being sent to one
// engine after the other, and against refusing sound ones with the same blocks of the prompt,
// also if nothing is known of these but the crashes.
func TestCompletionThatCrashesEnginesIsRefused(t *testing.T) {
	// Whole blocks of the prompt are parts. What follows the last one belongs to none.
	shared := strings.Repeat("You answer questions about fuse boards briefly and in German. \n\n", 4)
	for name, soundWhenNoticed := range map[string]bool{"sound ones beside it": false, "sound ones after it": true} {
		t.Run(name, func(t *testing.T) {
			c, ctx := startCluster(t, localcluster.Options{VMs: 3, Configure: usualTimeouts, Logs: newCrashLog(t)})
			engines := startCrashingServers(t, c, engineCrashDelay, vmlist.VM{Role: vmlist.RoleEngine, Models: []string{localcluster.Model}}, func(id string) http.Handler {
				return standin.NewEngine(standin.EngineOptions{ID: id, TokenInterval: 5 * time.Millisecond})
			})
			ask := func(caller *client.Client, end string) func(context.Context) error {
				return func(ctx context.Context) error {
					r := api.CompletionRequest{Model: localcluster.Model, Prompt: shared + end, MaxTokens: 4}
					return caller.Stream(ctx, r, func(client.Token) error { return nil })
				}
			}
			repeatedCrash{
				crashingServers: engines, soundWhenNoticed: soundWhenNoticed,
				crashing: ask(c.Client(localcluster.APIKey), deadly), sound: ask(c.Client(localcluster.APIKey), "harmless"),
			}.run(ctx)
		})
	}
}

// Guards against a call, repeatable or under a claim, that crashes the servers that run it and
// is sent to one server after the other.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	for _, route := range []string{localcluster.LookupRoute, localcluster.BookingRoute} {
		t.Run(route, func(t *testing.T) {
			c, ctx := startCluster(t, localcluster.Options{VMs: 2, Configure: usualTimeouts, Logs: newCrashLog(t)})
			servers := startCrashingServers(t, c, callCrashDelay, vmlist.VM{Role: vmlist.RoleService, Services: []string{localcluster.Service}}, func(string) http.Handler {
				return standin.NewService()
			})
			call := func(caller *client.Client, body string) func(context.Context) error {
				return func(ctx context.Context) error {
					key, err := client.NewIdempotencyKey() // With the same key, an attempt gets the result of the first one.
					if err != nil {
						return err
					}
					_, err = caller.Call(ctx, route, key, []byte(body))
					return err
				}
			}
			repeatedCrash{
				crashingServers: servers,
				crashing:        call(c.Client(localcluster.APIKey), deadly), sound: call(c.Client(localcluster.APIKey), "harmless"),
			}.run(ctx)
		})
	}
}

package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/platform"
)

// Sizes of the demo on the users' platform, and the host of its requests.
const (
	platformDemoVMs          = 3
	platformDemoEngines      = 4
	platformDemoPlainServers = 2
	platformDemoEvents       = 120
	platformDemoHost         = "site.example"
)

// platformDemo is the state shared by the demo steps.
type platformDemo struct {
	out      io.Writer
	site     *localsite.Site
	requests int
}

// runPlatformDemo runs the demo on the users' platform: a booking and a lookup, a
// stream whose engine drains, and a key that is revoked while the store refuses
// one VM.
func runPlatformDemo(ctx context.Context, out, logs io.Writer) error {
	site, err := localsite.Start(localsite.Options{
		VMs: platformDemoVMs, Engines: platformDemoEngines, PlainServers: platformDemoPlainServers,
		Events: platformDemoEvents, EventInterval: 10 * time.Millisecond, Bounds: localsite.DefaultBounds(),
		Logs: func(string) io.Writer { return logs },
	})
	if err != nil {
		return err
	}
	defer site.Close()
	d := &platformDemo{out: out, site: site}
	return runSteps(ctx, out, []demoStep{
		{"book and look up", d.bookAndLookUp},
		{"stream a quote while its engine drains", d.drainEngineDuringStream},
		{"revoke the key while the store refuses one VM", d.revokeKey},
	})
}

// send sends a request with the demo's API key to a VM. The caller must close the
// response body.
func (d *platformDemo) send(ctx context.Context, vm *localsite.VM, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Addresses().Callers+path, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	d.requests++
	req.Host = platformDemoHost
	site := userplatform.CallerHeaders("demo-"+strconv.Itoa(d.requests), localsite.APIKey)
	for name, values := range site {
		req.Header[name] = values
	}
	return http.DefaultClient.Do(req)
}

func (d *platformDemo) status(ctx context.Context, vm *localsite.VM, method, path string) (int, error) {
	resp, err := d.send(ctx, vm, method, path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (d *platformDemo) bookAndLookUp(ctx context.Context) error {
	for i, call := range []struct{ method, path string }{{http.MethodPost, "/book/1"}, {http.MethodGet, "/look/1"}} {
		status, err := d.status(ctx, d.site.VMs[i], call.method, call.path)
		if err != nil || status != http.StatusOK {
			return &DemoError{Step: call.path, Detail: fmt.Sprintf("status %d, %v", status, err)}
		}
		fmt.Fprintf(d.out, "   %s %s on %s: %d\n", call.method, call.path, d.site.VMs[i].Name, status)
	}
	return nil
}

// drainEngineDuringStream streams a quote and drains its engine after a third of
// the events. The stream must be complete and run only once.
func (d *platformDemo) drainEngineDuringStream(ctx context.Context) error {
	resp, err := d.send(ctx, d.site.VMs[0], http.MethodPost, "/draft/1")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	id := "demo-" + strconv.Itoa(d.requests)
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		value, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if events++; value != strconv.Itoa(events) {
			return &DemoError{Step: "event", Detail: value + " instead of " + strconv.Itoa(events)}
		}
		if events == platformDemoEvents/3 {
			d.drainEngineOf(id)
		}
	}
	runs := d.site.Fleet.Runs(id)
	if events != platformDemoEvents || len(runs) != 1 {
		return &DemoError{Step: "stream", Detail: fmt.Sprintf("%d events, runs on %v", events, runs)}
	}
	fmt.Fprintf(d.out, "   %d events in order, one run, started on %s\n", events, runs[0])
	return nil
}

// drainEngineOf registers the engine that runs a request as draining.
func (d *platformDemo) drainEngineOf(request string) {
	runs := d.site.Fleet.Runs(request)
	for _, e := range d.site.Engines {
		if len(runs) > 0 && e.ID() == runs[0] {
			e.Register("draining")
			fmt.Fprintf(d.out, "   %s drains\n", e.ID())
		}
	}
}

// revokeKey replaces the API key while the store refuses one VM. That VM has to
// receive the new configuration from its peers.
func (d *platformDemo) revokeKey(ctx context.Context) error {
	d.site.Store.SetFaults(userplatform.StoreFaults{
		Refuse: []string{d.site.VMs[0].Name}, RefuseStatus: http.StatusServiceUnavailable,
	})
	begin := time.Now()
	d.site.Store.Put(platform.ConfigKey, userplatform.Config(localsite.ConfigVersion+1, "another-key"))
	for _, vm := range d.site.VMs {
		for {
			status, err := d.status(ctx, vm, http.MethodPost, "/book/2")
			if err != nil {
				return err
			}
			if status == http.StatusUnauthorized {
				break
			}
			if !wait.Sleep(ctx, 5*time.Millisecond) {
				return &DemoError{Step: vm.Name, Detail: "requests with the revoked key are still accepted"}
			}
		}
		fmt.Fprintf(d.out, "   %s rejects the key after %s\n", vm.Name, time.Since(begin).Round(time.Millisecond))
	}
	return nil
}

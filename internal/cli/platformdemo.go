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

// Sizes of the demo on the platform's protocol.
const (
	platformDemoVMs     = 3
	platformDemoEngines = 4
	platformDemoDesks   = 2
	platformDemoEvents  = 120
	platformDemoHost    = "site.example"
)

// platformDemo is the state shared by the steps.
type platformDemo struct {
	out      io.Writer
	site     *localsite.Site
	requests int
}

// runPlatformDemo shows the path on the users' platform: the four kinds of
// requests, an engine that leaves, a VM that the store refuses, a revoked key.
func runPlatformDemo(ctx context.Context, out, logs io.Writer) error {
	site, err := localsite.Start(localsite.Options{
		VMs: platformDemoVMs, Engines: platformDemoEngines, Desks: platformDemoDesks,
		Events: platformDemoEvents, EventInterval: 10 * time.Millisecond, Bounds: localsite.DefaultBounds(),
		Logs: func(string) io.Writer { return logs },
	})
	if err != nil {
		return err
	}
	defer site.Close()
	d := &platformDemo{out: out, site: site}
	return runSteps(ctx, out, []demoStep{
		{"book and look up", d.calls},
		{"stream a quote while its engine leaves", d.leavingEngine},
		{"revoke the key while the store refuses one VM", d.revokedKey},
	})
}

// send sends a request with the demo's key to a VM. The answer must be closed.
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

func (d *platformDemo) calls(ctx context.Context) error {
	for i, call := range []struct{ method, path string }{{http.MethodPost, "/book/1"}, {http.MethodGet, "/look/1"}} {
		status, err := d.status(ctx, d.site.VMs[i], call.method, call.path)
		if err != nil || status != http.StatusOK {
			return &DemoError{Step: call.path, Detail: fmt.Sprintf("status %d, %v", status, err)}
		}
		fmt.Fprintf(d.out, "   %s %s on %s: %d\n", call.method, call.path, d.site.VMs[i].Name, status)
	}
	return nil
}

// leavingEngine streams a quote and lets the engine that runs it leave midway.
func (d *platformDemo) leavingEngine(ctx context.Context) error {
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
			return &DemoError{Step: "event", Detail: value + " in place of " + strconv.Itoa(events)}
		}
		if events == platformDemoEvents/3 {
			d.leave(id)
		}
	}
	runs := d.site.Fleet.Runs(id)
	if events != platformDemoEvents || len(runs) != 1 {
		return &DemoError{Step: "stream", Detail: fmt.Sprintf("%d events, runs on %v", events, runs)}
	}
	fmt.Fprintf(d.out, "   %d events in order, one run, begun on %s\n", events, runs[0])
	return nil
}

// leave announces that the engine of a run leaves.
func (d *platformDemo) leave(request string) {
	runs := d.site.Fleet.Runs(request)
	for _, e := range d.site.Engines {
		if len(runs) > 0 && e.ID() == runs[0] {
			e.Register("draining")
			fmt.Fprintf(d.out, "   %s leaves\n", e.ID())
		}
	}
}

// revokedKey takes the key away while the store refuses a VM, which learns it
// from the others.
func (d *platformDemo) revokedKey(ctx context.Context) error {
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
				return &DemoError{Step: vm.Name, Detail: "the revoked key is still served"}
			}
		}
		fmt.Fprintf(d.out, "   %s refuses the key after %s\n", vm.Name, time.Since(begin).Round(time.Millisecond))
	}
	return nil
}

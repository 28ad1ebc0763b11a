package localcluster_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
)

// Guards against a rollout that is delayed by lost watchers. Of 25 VMs in 5
// regions, one region loses two and another all three of its three watchers
// during the rollout. All remaining VMs must have the bundle in force within the
// 19 s that the users require.
func TestRolloutWithLostWatchers(t *testing.T) {
	const (
		regions = 5
		fleet   = 25
		limit   = 19 * time.Second
	)
	var next int
	region := map[string]string{}
	c := start(t, localcluster.Options{VMs: fleet, Configure: func(cfg *config.Config) {
		cfg.Region = fmt.Sprintf("region-%d", next%regions+1)
		cfg.Platform.VMListInterval = 0 // Use the production default.
		region[cfg.VMID] = cfg.Region
		next++
	}})
	rollOut(t, c, 1)
	waitAll(t, c.VMs, failoverLimit, "list of all VMs", hasEntryVMs(fleet))
	time.Sleep(time.Second) // Wait until roles are stable and heartbeats are exchanged.

	all := watchers(t, c.VMs)
	if len(all) != 3*regions {
		t.Fatalf("%d watchers, want 3 for each region", len(all))
	}
	lost := append(inRegion(all, region, "region-1")[:2], inRegion(all, region, "region-2")...)
	stopped, rest := split(c.VMs, lost)
	var wg sync.WaitGroup
	for _, vm := range stopped {
		wg.Go(func() {
			vm.Server.Abort()
			_ = vm.Stop()
		})
	}
	c.VMs = rest
	begin := time.Now()
	rollOut(t, c, 2)
	elapsed := time.Since(begin)
	wg.Wait()
	t.Logf("in force on %d VMs after %v with %s lost", len(rest), elapsed.Round(time.Millisecond), strings.Join(lost, ", "))
	if elapsed > limit {
		t.Errorf("in force after %v, want %v", elapsed, limit)
	}
}

func inRegion(ids []string, region map[string]string, want string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return region[id] != want })
}

// split partitions VMs into those with one of the IDs and the rest.
func split(vms []*localcluster.VM, ids []string) (named, rest []*localcluster.VM) {
	for _, vm := range vms {
		if slices.Contains(ids, vm.ID) {
			named = append(named, vm)
		} else {
			rest = append(rest, vm)
		}
	}
	return named, rest
}

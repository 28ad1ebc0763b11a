package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

var (
	workerSizes       = []int{100, 1_000, 12_000}
	organisationSizes = []int{24, 240, 2_400}
)

// State measures the control state of one VM: its VM list, snapshot and bundle.
func State() ([]Series, error) {
	measures := []func() (Series, error){
		listBytes, listDecode, snapshotBuild, snapshotBundle, snapshotMemory, bundleBytes, bundleOpen, bundleMemory,
	}
	var all []Series
	for _, m := range measures {
		s, err := m()
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// workers returns a VM list of n engines and one entry VM for every 24 engines.
func workers(n int) *vmlist.List {
	l := &vmlist.List{Revision: 1}
	for i := range n {
		l.VMs = append(l.VMs, vmlist.VM{
			ID: fmt.Sprintf("engine-%05d", i), Role: vmlist.RoleEngine, State: vmlist.StateLive,
			Zone: fmt.Sprintf("zone-%d", i%19), Region: fmt.Sprintf("region-%d", i%5),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Models: []string{fmt.Sprintf("model-%d", i%6)},
		})
		if i%24 == 0 {
			l.VMs = append(l.VMs, vmlist.VM{
				ID: fmt.Sprintf("vm-%05d", i), Role: vmlist.RoleEntry, State: vmlist.StateLive,
				Zone: fmt.Sprintf("zone-%d", i%19), Region: fmt.Sprintf("region-%d", i%5),
				Address: "10.1.1.1:80", PeerAddress: "10.1.1.1:81", AdminAddress: "10.1.1.1:82",
			})
		}
	}
	return l
}

// organisations returns a bundle of n organisations, 24 per tenant.
func organisations(n int) *bundle.Document {
	d := &bundle.Document{Version: 1, Models: []bundle.Model{{Name: "model-0", Version: "1"}}}
	for i := range n {
		if i%24 == 0 {
			d.Tenants = append(d.Tenants, bundle.Tenant{Name: fmt.Sprintf("tenant-%d", i), Share: 24 / float64(n)})
		}
		t := &d.Tenants[len(d.Tenants)-1]
		name := fmt.Sprintf("organisation-%d", i)
		t.Organisations = append(t.Organisations, bundle.Organisation{
			Name: name, Weight: 1, APIKeySHA256: []string{bundle.APIKeyDigest(name)},
		})
	}
	return d
}

func listBytes() (Series, error) {
	s := Series{Role: "membership", Quantity: "VM list", SizeUnit: "worker", ValueUnit: "bytes", Target: TargetWorkers}
	return measure(s, workerSizes, func(n int) (float64, error) {
		data, err := json.Marshal(workers(n))
		return float64(len(data)), err
	})
}

func listDecode() (Series, error) {
	s := Series{Role: "membership", Quantity: "VM list decode", SizeUnit: "worker", ValueUnit: "µs", Target: TargetWorkers}
	return measure(s, workerSizes, func(n int) (float64, error) {
		data, err := json.Marshal(workers(n))
		if err != nil {
			return 0, err
		}
		return perOperation(func() { _, err = vmlist.Decode(data) }), err
	})
}

func snapshotBuild() (Series, error) {
	s := Series{Role: "control", Quantity: "snapshot build", SizeUnit: "worker", ValueUnit: "µs", Target: TargetWorkers}
	return measure(s, workerSizes, func(n int) (float64, error) {
		loop, stop := startLoop()
		defer stop()
		list := workers(n)
		return perOperation(func() {
			next := *list
			list = &next
			list.Revision++
			publish(loop, list)
		}), nil
	})
}

// publish posts a VM list and waits until the snapshot contains it.
func publish(loop *control.Loop, list *vmlist.List) {
	loop.Post(control.VMListReceived{List: list, Source: "capacity"})
	for loop.Snapshot().VMs.Revision != list.Revision {
		runtime.Gosched()
	}
}

// startLoop starts a control loop and returns it with a function that stops it.
func startLoop() (*control.Loop, func()) {
	loop := control.NewLoop(zap.NewNop(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop.Run(ctx)
	}()
	return loop, func() { cancel(); <-done }
}

// snapshotBundle measures building a snapshot for a new bundle with an unchanged
// VM list.
func snapshotBundle() (Series, error) {
	s := Series{Role: "control", Quantity: "snapshot for a bundle", SizeUnit: "worker", ValueUnit: "µs", Target: TargetWorkers}
	return measure(s, workerSizes, func(n int) (float64, error) {
		loop, stop := startLoop()
		defer stop()
		publish(loop, workers(n))
		doc := organisations(24)
		return perOperation(func() {
			next := *doc
			doc = &next
			doc.Version++
			index := bundle.NewIndex(doc, "")
			loop.Post(control.BundleReceived{Signed: &bundle.Signed{Version: doc.Version}, Index: index, Source: "capacity"})
			for b := loop.Snapshot().Bundle; b == nil || b.Version() != doc.Version; b = loop.Snapshot().Bundle {
				runtime.Gosched()
			}
		}), nil
	})
}

func snapshotMemory() (Series, error) {
	s := Series{Role: "control", Quantity: "VM list and snapshot", SizeUnit: "worker", ValueUnit: "bytes of heap", Target: TargetWorkers}
	return measure(s, workerSizes, func(n int) (float64, error) {
		before := heapBytes()
		loop, stop := startLoop()
		defer stop()
		publish(loop, workers(n))
		used := heapBytes() - before
		runtime.KeepAlive(loop)
		return used, nil
	})
}

func bundleBytes() (Series, error) {
	s := Series{Role: "bundle spread", Quantity: "bundle", SizeUnit: "organisation", ValueUnit: "bytes", Target: TargetOrganisations}
	return measure(s, organisationSizes, func(n int) (float64, error) {
		content, err := organisations(n).Encode()
		return float64(len(content)), err
	})
}

func bundleOpen() (Series, error) {
	s := Series{Role: "bundle spread", Quantity: "verify and index", SizeUnit: "organisation", ValueUnit: "µs", Target: TargetOrganisations}
	return measure(s, organisationSizes, func(n int) (float64, error) {
		signed, err := bundle.Sign(organisations(n), nil)
		if err != nil {
			return 0, err
		}
		return perOperation(func() { _, err = signed.Open(nil) }), err
	})
}

func bundleMemory() (Series, error) {
	s := Series{Role: "bundle spread", Quantity: "bundle in force", SizeUnit: "organisation", ValueUnit: "bytes of heap", Target: TargetOrganisations}
	return measure(s, organisationSizes, func(n int) (float64, error) {
		before := heapBytes()
		signed, err := bundle.Sign(organisations(n), nil)
		if err != nil {
			return 0, err
		}
		index, err := signed.Open(nil)
		used := heapBytes() - before
		runtime.KeepAlive(index)
		runtime.KeepAlive(signed)
		return used, err
	})
}

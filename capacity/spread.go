package capacity

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/delta"
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Parameters of the measurements.
const (
	// idleWarmup is the time for sessions to open, and for the watches of VMs that
	// had no bundle to end.
	idleWarmup   = 27 * time.Second
	idleDuration = 20 * time.Second
	idleTimeout  = 60 * time.Second
	// historyVersions exceeds the number of versions that fit in the budget of a
	// history at any size above 1,000 organisations or workers.
	historyVersions = 64
)

var (
	fleetSizes = []int{5, 20, 80}
	signingKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
)

// Dissemination measures the cost of distributing documents between VMs, and the
// resource usage of idle VMs.
func Dissemination() ([]Series, error) {
	var all []Series
	for _, d := range []document{bundleDocument(), listDocument()} {
		series, err := d.series()
		if err != nil {
			return nil, err
		}
		all = append(all, series...)
	}
	idle, err := idleFleet()
	return append(all, idle...), err
}

// document describes a kind of document that VMs exchange.
type document struct {
	name, sizeUnit string
	sizes          []int
	target         float64
	budget         int
	// encoded returns the encoding of a version of a document of size n.
	// Consecutive versions differ in one organisation or VM.
	encoded func(n, version int) ([]byte, error)
}

func bundleDocument() document {
	return document{
		name: "bundle", sizeUnit: "organisation", sizes: organisationSizes, target: TargetOrganisations,
		budget: gossip.BundleHistoryBytes,
		encoded: func(n, version int) ([]byte, error) {
			doc := organisations(n)
			doc.Version = int64(version)
			tenant := &doc.Tenants[len(doc.Tenants)/2]
			changed := &tenant.Organisations[len(tenant.Organisations)/2]
			changed.APIKeySHA256 = []string{bundle.APIKeyDigest(fmt.Sprint("key-", version))}
			signed, err := bundle.Sign(doc, signingKey)
			if err != nil {
				return nil, err
			}
			return signed.Encode()
		},
	}
}

func listDocument() document {
	return document{
		name: "VM list", sizeUnit: "worker", sizes: workerSizes, target: TargetWorkers,
		budget: gossip.VMListHistoryBytes,
		encoded: func(n, version int) ([]byte, error) {
			list := workers(n)
			list.Revision = int64(version)
			list.VMs[version%n].State = vmlist.StateLeaving
			return json.Marshal(list)
		},
	}
}

func (d document) quantity(name, unit string) Series {
	return Series{Role: "spread", Quantity: d.name + " " + name, SizeUnit: d.sizeUnit, ValueUnit: unit, Target: d.target}
}

func (d document) series() ([]Series, error) {
	whole, size := d.quantity("compressed whole", "bytes"), d.quantity("delta of one change", "bytes")
	encode, decode := d.quantity("delta encode", "µs"), d.quantity("delta decode", "µs")
	history := d.quantity("history", "bytes of heap")
	for _, n := range d.sizes {
		base, err := d.encoded(n, 1)
		if err != nil {
			return nil, err
		}
		next, err := d.encoded(n, 2)
		if err != nil {
			return nil, err
		}
		all, err := delta.Encode(nil, next)
		if err != nil {
			return nil, err
		}
		var change []byte
		encodeTime := perOperation(func() { change, err = delta.Encode(base, next) })
		if err != nil {
			return nil, err
		}
		decodeTime := perOperation(func() { _, err = delta.Decode(base, change) })
		if err != nil {
			return nil, err
		}
		heap, err := d.historyHeap(n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		whole.Points = append(whole.Points, Point{x, float64(len(all))})
		size.Points = append(size.Points, Point{x, float64(len(change))})
		encode.Points = append(encode.Points, Point{x, encodeTime})
		decode.Points = append(decode.Points, Point{x, decodeTime})
		history.Points = append(history.Points, Point{x, heap})
	}
	return []Series{whole, size, encode, decode, history}, nil
}

func (d document) historyHeap(n int) (float64, error) {
	before := heapBytes()
	h := gossip.NewHistory(d.budget)
	for v := 1; v <= historyVersions; v++ {
		content, err := d.encoded(n, v)
		if err != nil {
			return 0, err
		}
		h.Add(int64(v), content)
	}
	used := heapBytes() - before
	runtime.KeepAlive(h)
	return used, nil
}

// idleFleet measures VMs without callers in one process. CPU time and heap
// include the simulated platform and both ends of each connection.
func idleFleet() ([]Series, error) {
	series := func(quantity, unit string) Series {
		return Series{Role: "idle VM", Quantity: quantity, SizeUnit: "VM", ValueUnit: unit, Target: TargetVMs}
	}
	sent := series("peer messages", "bytes/s sent")
	cpu := series("processor time", "µs/s")
	heap := series("heap", "bytes")
	for _, n := range fleetSizes {
		cost, err := measureIdle(n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		sent.Points = append(sent.Points, Point{x, cost.sent / x / idleDuration.Seconds()})
		cpu.Points = append(cpu.Points, Point{x, float64(cost.cpu.Microseconds()) / x / idleDuration.Seconds()})
		heap.Points = append(heap.Points, Point{x, cost.heap / x})
	}
	return []Series{sent, cpu, heap}, nil
}

// idleCost holds the bytes sent and the CPU time of all VMs during idleDuration,
// and their heap after it.
type idleCost struct {
	sent, heap float64
	cpu        time.Duration
}

func measureIdle(vms int) (idleCost, error) {
	before := heapBytes()
	c, err := localcluster.Start(localcluster.Options{VMs: vms, Configure: func(cfg *config.Config) {
		cfg.Platform.VMListInterval = 0 // Use the default of production VMs.
	}})
	if err != nil {
		return idleCost{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
	defer cancel()
	if err := c.RollOut(ctx, localcluster.Document(1)); err != nil {
		return idleCost{}, err
	}
	time.Sleep(idleWarmup)
	cpu, sent := cpuTime(), bytesSent(c)
	time.Sleep(idleDuration)
	cost := idleCost{sent: bytesSent(c) - sent, cpu: cpuTime() - cpu}
	cost.heap = heapBytes() - before
	return cost, nil
}

func bytesSent(c *localcluster.Cluster) (n float64) {
	for _, vm := range c.VMs {
		n += float64(vm.Server.PeerStats().BytesSent)
	}
	return n
}

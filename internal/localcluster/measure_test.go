package localcluster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Times of one iteration. Calls are attributed to a rollout until settleTime after
// it, and to an idle cluster during idleTime. A watch request times out after
// 25 s, and each of 60 VMs makes a fallback read every 3 minutes.
const (
	settleTime = time.Second
	idleTime   = time.Minute
)

// BenchmarkFleet measures a cluster of several sizes with the default intervals:
// the time from the start of a rollout until the bundle is in force on every VM,
// the bytes each VM sends on peer connections, the calls to the key-value service
// including the operator's, and the documents each VM sends to peers when one of
// 2,400 organisations changes. Use -benchtime 5x.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{5, 20, 60} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { measureFleet(b, vms) })
	}
}

// BenchmarkFleetVMList measures how long a change of one of listedWorkers VMs in
// the VM list takes to reach all VMs, and the documents sent for it.
func BenchmarkFleetVMList(b *testing.B) {
	for _, vms := range []int{5, 20, 60} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { measureVMList(b, vms) })
	}
}

// listedWorkers is small enough to keep the lists of 60 VMs in one process below 200 MB.
const listedWorkers = 1000

func measureVMList(b *testing.B, vms int) {
	c := start(b, localcluster.Options{VMs: vms, Configure: func(cfg *config.Config) {
		cfg.Platform.VMListInterval = 0 // Use the production default.
	}})
	for i := range listedWorkers {
		c.VMList.Put(vmlist.VM{
			ID: fmt.Sprintf("worker-%d", i), Role: vmlist.RoleEngine, State: vmlist.StateLive, Zone: "zone-1",
			Region: "region-1", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Models: []string{"measured"},
		})
	}
	rollOut(b, c, 1)
	live := listedWorkers
	known := func(s *control.Snapshot) bool { return len(s.Engines["measured"]) == live && len(s.EntryVMs) == vms }
	waitAll(b, c.VMs, 30*time.Second, "VM list", known)
	time.Sleep(settleTime)
	before := documentsSent(c)
	var total time.Duration
	for b.Loop() {
		live--
		begin := time.Now()
		c.VMList.SetState(fmt.Sprintf("worker-%d", live), vmlist.StateLeaving)
		waitAll(b, c.VMs, 30*time.Second, "leaving worker", known)
		total += time.Since(begin)
		time.Sleep(settleTime)
	}
	b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/change")
	reportDocuments(b, c, before, "change")
	b.ReportMetric(0, "ns/op")
}

// reportDocuments reports the documents sent per VM and iteration.
func reportDocuments(b *testing.B, c *localcluster.Cluster, before gossip.Stats, unit string) {
	after, each := documentsSent(c), float64(b.N*len(c.VMs))
	b.ReportMetric(float64(after.Requests-before.Requests)/each, "requests/VM/"+unit)
	b.ReportMetric(float64(after.Deltas-before.Deltas)/each, "deltas/VM/"+unit)
	b.ReportMetric(float64(after.FullDocuments-before.FullDocuments)/each, "wholes/VM/"+unit)
	b.ReportMetric(float64(after.EncodedBytes-before.EncodedBytes)/each, "docB/VM/"+unit)
}

func measureFleet(b *testing.B, vms int) {
	c := start(b, localcluster.Options{VMs: vms, Configure: func(cfg *config.Config) {
		cfg.Platform.VMListInterval = 0 // Use the production default.
	}})
	rollOutFleet(b, c, 1)
	waitAll(b, c.VMs, 30*time.Second, "VM list", hasEntryVMs(vms))
	// Watch requests that VMs started before their first bundle time out after 25 s.
	time.Sleep(27 * time.Second)
	version := int64(1)
	var slowest, total, busy time.Duration
	var sent, rolloutSent, rolloutCalls, quietCalls int64
	before := documentsSent(c)
	for b.Loop() {
		version++
		calls, bytes, begin := kvCalls(c), bytesSent(c), time.Now()
		rollOutFleet(b, c, version)
		took := time.Since(begin)
		slowest, total = max(slowest, took), total+took
		time.Sleep(settleTime)
		rolloutCalls += kvCalls(c) - calls
		rolloutSent -= bytes
		busy += time.Since(begin)
		bytes = bytesSent(c)
		rolloutSent += bytes
		calls = kvCalls(c)
		time.Sleep(idleTime)
		sent, quietCalls = sent+bytesSent(c)-bytes, quietCalls+kvCalls(c)-calls
	}
	n, seconds := float64(b.N), idleTime.Seconds()*float64(b.N)
	b.ReportMetric(float64(total.Microseconds())/1000/n, "ms/rollout")
	b.ReportMetric(float64(slowest.Microseconds())/1000, "ms/slowest")
	b.ReportMetric(float64(rolloutCalls)/n, "kvcalls/rollout")
	b.ReportMetric(float64(sent)/seconds/float64(vms), "B/s/VM")
	b.ReportMetric(float64(quietCalls)/seconds, "kvcalls/s")
	quiet := float64(sent) / seconds * busy.Seconds()
	b.ReportMetric((float64(rolloutSent)-quiet)/n/float64(vms), "B/VM/rollout")
	reportDocuments(b, c, before, "rollout")
	b.ReportMetric(0, "ns/op")
}

// fleetOrganisations is the number of organisations at the design size.
const fleetOrganisations = 2400

// rollOutFleet rolls out a bundle of the design size. One organisation differs
// from the previous version.
func rollOutFleet(b *testing.B, c *localcluster.Cluster, version int64) {
	b.Helper()
	doc := localcluster.Document(version)
	for i := range fleetOrganisations {
		name := fmt.Sprintf("organisation-%d", i)
		key := name
		if i == fleetOrganisations/2 {
			key = fmt.Sprintf("%s-%d", name, version)
		}
		doc.Tenants[0].Organisations = append(doc.Tenants[0].Organisations,
			bundle.Organisation{Name: name, Weight: 1, APIKeySHA256: []string{bundle.APIKeyDigest(key)}})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.RollOut(ctx, doc); err != nil {
		b.Fatal(err)
	}
}

// documentsSent returns the sum of the gossip statistics of all VMs.
func documentsSent(c *localcluster.Cluster) (sum gossip.Stats) {
	for _, vm := range c.VMs {
		s := vm.Server.GossipStats()
		sum.Requests += s.Requests
		sum.Deltas += s.Deltas
		sum.FullDocuments += s.FullDocuments
		sum.EncodedBytes += s.EncodedBytes
	}
	return sum
}

func bytesSent(c *localcluster.Cluster) (n int64) {
	for _, vm := range c.VMs {
		n += vm.Server.PeerStats().BytesSent
	}
	return n
}

func kvCalls(c *localcluster.Cluster) (n int64) {
	for _, calls := range c.KV.Calls() {
		n += calls
	}
	return n
}

package localcluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
)

// Times of an iteration: the calls of a rollout are counted until settleTime
// after it, those of a quiet cluster during quietTime. A wait of a watch ends
// after 25 s, and fallback reads of 60 VMs come every 3 minutes from each.
const (
	settleTime = time.Second
	quietTime  = time.Minute
)

// BenchmarkFleet measures what the fleet costs at several sizes, with default
// times: from the start of a rollout until the bundle is in force on every VM,
// bytes that a VM sends on peer connections, and calls of the key-value
// service, the operator's included. Use -benchtime 5x.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{5, 20, 60} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { measureFleet(b, vms) })
	}
}

func measureFleet(b *testing.B, vms int) {
	c := start(b, localcluster.Options{VMs: vms, Configure: func(cfg *config.Config) {
		cfg.Platform.VMListInterval = 0 // The default, as on real VMs.
	}})
	rollOut(b, c, 1)
	waitAll(b, c.VMs, 30*time.Second, "VM list", entries(vms))
	// Watches that VMs began before their first bundle end after 25 s.
	time.Sleep(27 * time.Second)
	version := int64(1)
	var slowest, total time.Duration
	var sent, rolloutCalls, quietCalls int64
	for b.Loop() {
		version++
		calls, begin := kvCalls(c), time.Now()
		rollOut(b, c, version)
		took := time.Since(begin)
		slowest, total = max(slowest, took), total+took
		time.Sleep(settleTime)
		rolloutCalls += kvCalls(c) - calls
		bytes := bytesSent(c)
		calls = kvCalls(c)
		time.Sleep(quietTime)
		sent, quietCalls = sent+bytesSent(c)-bytes, quietCalls+kvCalls(c)-calls
	}
	n, seconds := float64(b.N), quietTime.Seconds()*float64(b.N)
	b.ReportMetric(float64(total.Microseconds())/1000/n, "ms/rollout")
	b.ReportMetric(float64(slowest.Microseconds())/1000, "ms/slowest")
	b.ReportMetric(float64(rolloutCalls)/n, "kvcalls/rollout")
	b.ReportMetric(float64(sent)/seconds/float64(vms), "B/s/VM")
	b.ReportMetric(float64(quietCalls)/seconds, "kvcalls/s")
	b.ReportMetric(0, "ns/op")
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

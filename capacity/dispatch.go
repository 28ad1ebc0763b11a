package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// Target sizes of a dispatcher: the engines of a full group, and their streams.
const (
	targetGroup        = 32
	targetGroupStreams = 656
	// pollsPerEngine is the number of load reads per engine in one measurement.
	pollsPerEngine = 200
)

var groupSizes = []int{8, 16, 32}

// Dispatch measures the cost of reading the load of engines, and the heap of a
// dispatcher.
func Dispatch() ([]Series, error) {
	cpu := Series{Role: "dispatcher", Quantity: "load read, both ends", SizeUnit: "engine", ValueUnit: "µs of CPU", Target: targetGroup}
	wire := Series{Role: "dispatcher", Quantity: "load read", SizeUnit: "engine", ValueUnit: "bytes both ways", Target: targetGroup}
	for _, n := range groupSizes {
		c, w, err := readLoads(n)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), c})
		wire.Points = append(wire.Points, Point{float64(n), w})
	}
	streams, err := dispatcherMemory(
		Series{Role: "dispatcher", Quantity: "running streams", SizeUnit: "stream", ValueUnit: "bytes of heap", Target: targetGroupStreams},
		[]int{100, 400, 1600}, func(policy dispatch.Policy, n int) error { return grantStreams(policy, n, 10) })
	if err != nil {
		return nil, err
	}
	organisations, err := dispatcherMemory(
		Series{Role: "dispatcher", Quantity: "organisations", SizeUnit: "organisation", ValueUnit: "bytes of heap", Target: TargetOrganisations},
		organisationSizes, func(policy dispatch.Policy, n int) error { return grantStreams(policy, n, n) })
	return []Series{cpu, wire, streams, organisations}, err
}

// countingListener counts the bytes that its connections send and receive.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// readLoads returns the CPU time and the bytes of one load read, averaged over
// the reads of n engines.
func readLoads(n int) (cpuMicros, bytes float64, err error) {
	client := backend.NewEngineClient()
	defer client.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, errors.Wrap(err, "listen")
	}
	counted := &countingListener{Listener: listener}
	server := &http.Server{Handler: standin.NewEngine(standin.EngineOptions{ID: "engine"}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Close() }()
	target := backend.Target{ID: "engine", Address: listener.Addr().String()}
	before := cpuTime()
	var report dispatch.LoadReport
	for range n * pollsPerEngine {
		if err := client.Query(context.Background(), target, "/load", &report); err != nil {
			return 0, 0, err
		}
	}
	reads := float64(n * pollsPerEngine)
	return float64((cpuTime() - before).Microseconds()) / reads, float64(counted.bytes.Load()) / reads, nil
}

// dispatcherMemory measures the heap of a dispatch policy that fill has populated.
func dispatcherMemory(s Series, sizes []int, fill func(policy dispatch.Policy, n int) error) (Series, error) {
	return measure(s, sizes, func(n int) (float64, error) {
		before := heapBytes()
		policy := dispatch.NewFair(dispatch.FairOptions{})
		if err := fill(policy, n); err != nil {
			return 0, err
		}
		used := heapBytes() - before
		runtime.KeepAlive(policy)
		return used, nil
	})
}

// grantStreams grants n streams on a full group of engines, spread evenly over
// the organisations.
func grantStreams(policy dispatch.Policy, n, organisations int) error {
	now := time.Unix(0, 0)
	weights := make(map[string]float64, organisations)
	for i := range organisations {
		weights[fmt.Sprintf("organisation-%d", i)] = 1
	}
	policy.SetShares(now, []dispatch.TenantShare{{Tenant: "t", Share: 1, Organisations: weights}})
	var engines []dispatch.Backend
	for i := range targetGroup {
		engines = append(engines, dispatch.Backend{ID: fmt.Sprintf("engine-%d", i), BlocksTotal: 1 << 20, BlockTokens: 16})
	}
	policy.SetBackends(now, engines)
	for i := range n {
		request := dispatch.AdmissionRequest{
			Tenant: "t", Organisation: fmt.Sprintf("organisation-%d", i%organisations), Model: "m",
			PromptTokens: 500, MaxTokens: 1000,
		}
		id := dispatch.RequestID{VM: "vm", Sequence: uint64(i)}
		if err := policy.Submit(now, dispatch.Request{ID: id, AdmissionRequest: request}); err != nil {
			return err
		}
		for len(policy.Next(now)) == 0 {
			now = now.Add(10 * time.Millisecond)
		}
		policy.Progress(now, id, 1)
		if organisations == n {
			policy.Finish(now, id, 300) // Adds each organisation to the estimator.
		}
	}
	return nil
}

package capacity

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
)

// Parameters of the relay measurement. 56 ms per token is the token interval that
// docs/CAPACITY.md plans with.
const (
	relayTokens   = 60
	relayInterval = 56 * time.Millisecond
	relayTimeout  = 60 * time.Second
	// relayEngines share the streams, since a dispatcher delays successive starts
	// at the same engine.
	relayEngines = 40
)

var streamSizes = []int{50, 200, 800}

// Relay measures the CPU time of a forwarded token, the heap of a stream and the
// added time to the first token in one VM. Each is the difference between
// callers that use the VM and callers that use the engines directly.
func Relay() ([]Series, error) {
	cpu := Series{Role: "frontend", Quantity: "forwarded token", SizeUnit: "stream", ValueUnit: "µs of CPU", Target: TargetStreams}
	mem := Series{Role: "frontend", Quantity: "streams", SizeUnit: "stream", ValueUnit: "bytes of heap", Target: TargetStreams}
	first := Series{Role: "frontend", Quantity: "added time to first token", SizeUnit: "stream", ValueUnit: "µs", Target: TargetStreams}
	for _, n := range streamSizes {
		cluster, err := relayCluster(relayInterval)
		if err != nil {
			return nil, err
		}
		direct, err := runStreams(n, directStreamer(cluster))
		if err != nil {
			cluster.Close()
			return nil, err
		}
		relayed, err := runStreams(n, relayedStreamer(cluster))
		cluster.Close()
		if err != nil {
			return nil, err
		}
		tokens := float64(n * relayTokens)
		cpu.Points = append(cpu.Points, Point{float64(n), float64((relayed.cpu - direct.cpu).Microseconds()) / tokens})
		mem.Points = append(mem.Points, Point{float64(n), relayed.heap - direct.heap})
		first.Points = append(first.Points, Point{float64(n), float64((relayed.firstToken - direct.firstToken).Microseconds())})
	}
	return []Series{cpu, mem, first}, nil
}

func relayCluster(interval time.Duration) (*localcluster.Cluster, error) {
	cluster, err := localcluster.Start(localcluster.Options{
		VMs: 1, Engines: relayEngines, TokenInterval: interval,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	if err := cluster.RollOut(ctx, localcluster.Document(1)); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// streamCost is the resource usage of a set of concurrent streams, and their mean
// time to the first token.
type streamCost struct {
	cpu        time.Duration
	heap       float64
	firstToken time.Duration
}

// runStreams runs n streams concurrently. The heap is read halfway, while all of
// them run.
func runStreams(n int, run streamer) (streamCost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	var cost streamCost
	var wg sync.WaitGroup
	waits := make([]time.Duration, n)
	failures := make([]error, n)
	heapBefore := heapBytes()
	cpuBefore := cpuTime()
	for i := range n {
		wg.Go(func() {
			start := time.Now()
			failures[i] = run(ctx, i, func() {
				if waits[i] == 0 {
					waits[i] = time.Since(start)
				}
			})
		})
	}
	time.Sleep(relayInterval * relayTokens / 2)
	cost.heap = heapBytes() - heapBefore
	wg.Wait()
	cost.cpu = cpuTime() - cpuBefore
	var total time.Duration
	for _, w := range waits {
		total += w
	}
	cost.firstToken = total / time.Duration(n)
	runtime.GC()
	return cost, errors.Join(failures...)
}

func prompt(i int) string { return fmt.Sprintf("capacity %d [tokens=%d]", i, relayTokens) }

func relayedStream(ctx context.Context, c *client.Client, i int, mark func()) error {
	return c.Stream(ctx, api.CompletionRequest{Model: localcluster.Model, Prompt: prompt(i)}, func(client.Token) error {
		mark()
		return nil
	})
}

// directStream reads a stream from the engine itself, without a VM in between.
func directStream(ctx context.Context, e *localcluster.Backend, mark func()) error {
	engines := backend.NewEngineClient()
	defer engines.Close()
	target := backend.Target{ID: e.ID, Address: e.Server.Address()}
	stream, err := engines.Start(ctx, target, api.CompletionRequest{Model: localcluster.Model, Prompt: prompt(0)},
		backend.StartOptions{Generation: api.NewGenerationID(e.ID, "org"), FirstTokenTimeout: relayTimeout, IdleTimeout: relayTimeout})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err != nil {
			if stream.Done() {
				return nil
			}
			return err
		}
		mark()
	}
}

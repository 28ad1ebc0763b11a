package capacity

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/localcluster"
)

// Parameters of the comparison between direct and relayed requests.
const (
	// steadyRequests is the number of requests, which run one after another so
	// that they do not queue.
	steadyRequests = 100
	// fastInterval is a token interval at which the VM, not the engines, limits the
	// throughput.
	fastInterval = 20 * time.Microsecond
	// throughputDuration is the duration of one throughput measurement.
	throughputDuration = 3 * time.Second
)

var throughputStreams = []int{8, 32, 128}

// RelayedVersusDirect compares callers that use a VM with callers that use the
// engines directly: the median time to the first token of single requests, and
// the maximum throughput in tokens per second. Callers, VM and engines share the
// machine.
func RelayedVersusDirect() ([]Series, error) {
	cluster, err := relayCluster(relayInterval)
	if err != nil {
		return nil, err
	}
	first := func(name string, run streamer) (Series, error) {
		s := Series{Role: "frontend", Quantity: "median time to first token, " + name, SizeUnit: "request", ValueUnit: "µs", Target: 1}
		return measure(s, []int{1}, func(int) (float64, error) { return medianFirstToken(run) })
	}
	direct, err1 := first("direct", directStreamer(cluster))
	relayed, err2 := first("relayed", relayedStreamer(cluster))
	cluster.Close()
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	throughput, err := throughputs()
	return append([]Series{direct, relayed}, throughput...), err
}

// streamer runs stream i to its end and calls mark for each token.
type streamer func(ctx context.Context, i int, mark func()) error

func directStreamer(c *localcluster.Cluster) streamer {
	return func(ctx context.Context, i int, mark func()) error {
		return directStream(ctx, c.Engines[i%relayEngines], mark)
	}
}

func relayedStreamer(c *localcluster.Cluster) streamer {
	caller := c.Client(localcluster.APIKey)
	return func(ctx context.Context, i int, mark func()) error { return relayedStream(ctx, caller, i, mark) }
}

func medianFirstToken(run streamer) (float64, error) {
	waits := make([]float64, steadyRequests)
	for i := range waits {
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		err := run(ctx, i, func() {
			if waits[i] == 0 {
				waits[i] = float64(time.Since(begin).Microseconds())
			}
			cancel()
		})
		cancel()
		if waits[i] == 0 {
			return 0, errors.Wrap(err, "first token")
		}
	}
	slices.Sort(waits)
	return waits[len(waits)/2], nil
}

func throughputs() ([]Series, error) {
	direct := Series{Role: "frontend", Quantity: "throughput, direct", SizeUnit: "stream", ValueUnit: "tokens/s", Target: 128}
	relayed := Series{Role: "frontend", Quantity: "throughput, relayed", SizeUnit: "stream", ValueUnit: "tokens/s", Target: 128}
	for _, n := range throughputStreams {
		cluster, err := relayCluster(fastInterval)
		if err != nil {
			return nil, err
		}
		direct.Points = append(direct.Points, Point{float64(n), tokensPerSecond(n, directStreamer(cluster))})
		relayed.Points = append(relayed.Points, Point{float64(n), tokensPerSecond(n, relayedStreamer(cluster))})
		cluster.Close()
	}
	return []Series{direct, relayed}, nil
}

// tokensPerSecond returns the total throughput of n streams, each of which is
// restarted when it ends.
func tokensPerSecond(n int, run streamer) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), throughputDuration)
	defer cancel()
	counts := make([]int64, n)
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				// An error is the end of the measurement, which cancels ctx.
				_ = run(ctx, i, func() { counts[i]++ })
			}
		})
	}
	wg.Wait()
	var total int64
	for _, c := range counts {
		total += c
	}
	return float64(total) / time.Since(begin).Seconds()
}

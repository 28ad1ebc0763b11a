package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/route"
)

// endlessBody counts what is read of it.
type endlessBody struct{ read *atomic.Int64 }

func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against small refused bodies that use up what may be read of large ones.
func TestSmallRefusedBodiesTakeNoAllowance(t *testing.T) {
	g := &Gateway{
		Options: Options{Metrics: NewMetrics(metrics.NewRegistry())}, drain: newDrainState(),
		requestMemory: requestbody.New(requestbody.Options{LimitBytes: 1}),
		refusedBytes:  requestbody.NewAllowance(0, func() time.Duration { return 0 }),
	}
	snap := &control.Snapshot{Routes: route.NewTable(route.TableSpec{})}
	c := &call{
		g: g, snap: snap, log: zap.NewNop(), w: deadlineRecorder{httptest.NewRecorder()},
		r: httptest.NewRequest(http.MethodPost, "/", strings.NewReader("small")), deadline: boottime.Now() + time.Minute,
	}
	c.r.ContentLength = -1
	if err := c.readBody(); err == nil || g.Metrics.bodiesCutShort.Count() > 0 {
		t.Errorf("error %v, %d bodies were cut short", err, g.Metrics.bodiesCutShort.Count())
	}
}

// Guards against refused bodies that a VM reads as fast as they come: it read 8 to 32 GB in 5 s
// of bodies far over the limit.
func TestRefusedBodiesAreReadInPart(t *testing.T) {
	const (
		bodyLimit = 4 << 20
		requests  = 8
		// allowance is what may be read of all of them, beside refusedPartBytes of each.
		allowance = 1 << 20
	)
	for name, test := range map[string]struct{ length, most int64 }{
		"far over the limit": {100e9, requests * refusedPartBytes},
		"without memory":     {bodyLimit, allowance + requests*refusedPartBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var (
				read  atomic.Int64
				group sync.WaitGroup
				still = func() time.Duration { return 0 }
			)
			g := &Gateway{
				Options: Options{Metrics: NewMetrics(metrics.NewRegistry())}, drain: newDrainState(),
				requestMemory: requestbody.New(requestbody.Options{LimitBytes: 1}), refusedBytes: requestbody.NewAllowance(allowance, still),
			}
			snap := &control.Snapshot{Routes: route.NewTable(route.TableSpec{Limits: route.Limits{BodyBytes: bodyLimit}})}
			for range requests {
				c := &call{
					g: g, snap: snap, log: zap.NewNop(), w: deadlineRecorder{httptest.NewRecorder()},
					r: httptest.NewRequest(http.MethodPost, "/", io.NopCloser(endlessBody{&read})), deadline: boottime.Now() + time.Minute,
				}
				c.r.ContentLength = test.length
				group.Go(func() {
					if err := c.readBody(); err == nil {
						t.Error("the body is accepted")
					}
				})
			}
			group.Wait()
			if n := read.Load(); n == 0 || n > test.most {
				t.Errorf("%d bytes were read of %d refused bodies, at most %d expected", n, requests, test.most)
			}
		})
	}
}

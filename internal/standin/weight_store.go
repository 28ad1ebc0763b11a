package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/kv"
)

// weightsChunk is the number of bytes that a weight store sends at once.
const weightsChunk = 16 << 10

// WeightStoreOptions configure a weight store.
type WeightStoreOptions struct {
	// BytesPerSecond is the rate of all downloads together.
	BytesPerSecond int64
	// Concurrency is the number of downloads above which it answers 429.
	Concurrency int
	// ModelBytes is the size of each model.
	ModelBytes int64
}

// WeightStoreStats are the counters of a weight store.
type WeightStoreStats struct {
	// Loads counts complete downloads, Refused those answered with 429.
	Loads   int `json:"loads"`
	Refused int `json:"refused"`
	// Peak is the highest number of downloads at once.
	Peak int `json:"peak"`
}

// WeightStore is a weight store with a limited rate.
type WeightStore struct {
	faultInjector
	mux  *http.ServeMux
	opts WeightStoreOptions

	weightsMu sync.Mutex
	active    int
	stats     WeightStoreStats
	// busyUntil is the time until which the rate is spoken for.
	busyUntil time.Time
}

// NewWeightStore returns a weight store that holds every model.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	s := &WeightStore{mux: http.NewServeMux(), opts: o}
	s.mux.HandleFunc("PUT /faults", s.serveFaults)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, s.Stats()) })
	s.mux.HandleFunc("GET /weights/{model}", s.get)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counters.
func (s *WeightStore) Stats() WeightStoreStats {
	s.weightsMu.Lock()
	defer s.weightsMu.Unlock()
	return s.stats
}

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	if !s.begin() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(s.opts.ModelBytes))
	s.end(s.send(w, r))
}

func (s *WeightStore) begin() bool {
	s.weightsMu.Lock()
	defer s.weightsMu.Unlock()
	if s.active >= s.opts.Concurrency {
		s.stats.Refused++
		return false
	}
	s.active++
	s.stats.Peak = max(s.stats.Peak, s.active)
	return true
}

func (s *WeightStore) end(complete bool) {
	s.weightsMu.Lock()
	defer s.weightsMu.Unlock()
	s.active--
	if complete {
		s.stats.Loads++
	}
}

func (s *WeightStore) send(w http.ResponseWriter, r *http.Request) (complete bool) {
	chunk := make([]byte, weightsChunk)
	for left := s.opts.ModelBytes; left > 0; left -= weightsChunk {
		n := min(left, weightsChunk)
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(s.reserve(n)):
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return false
		}
	}
	return true
}

// reserve takes n bytes of the rate and returns the wait for them.
func (s *WeightStore) reserve(n int64) time.Duration {
	s.weightsMu.Lock()
	defer s.weightsMu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(s.opts.BytesPerSecond))
	return s.busyUntil.Sub(now)
}

// Loader gets the weights of a model.
type Loader func(ctx context.Context, model string) error

// NewHTTPLoader returns a loader from the weight store at base. Errors are those of
// net/http and *kv.StatusError.
func NewHTTPLoader(base string, client *http.Client) Loader {
	return func(ctx context.Context, model string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/weights/"+url.PathEscape(model), nil)
		if err != nil {
			return errors.Wrap(err, "weights request")
		}
		resp, err := client.Do(req)
		if err != nil {
			return errors.Wrap(err, "get weights")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return &kv.StatusError{Status: resp.StatusCode}
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "read weights")
		}
		return nil
	}
}

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

// weightsChunk is the number of bytes per write of a download.
const weightsChunk = 16 << 10

// WeightStoreOptions configures a WeightStore.
type WeightStoreOptions struct {
	// BytesPerSecond is the bandwidth that all downloads share.
	BytesPerSecond int64
	// Concurrency is the maximum number of concurrent downloads. Further ones get
	// status 429.
	Concurrency int
	// ModelBytes is the size of the weights of each model.
	ModelBytes int64
}

// WeightStoreStats holds the counters of a WeightStore.
type WeightStoreStats struct {
	// Loads counts complete downloads, Refused those rejected with status 429.
	Loads   int `json:"loads"`
	Refused int `json:"refused"`
	// Peak is the highest number of concurrent downloads.
	Peak int `json:"peak"`
}

// WeightStore serves model weights with limited bandwidth.
type WeightStore struct {
	faultInjector
	mux  *http.ServeMux
	opts WeightStoreOptions

	weightsMu sync.Mutex
	active    int
	stats     WeightStoreStats
	// reservedUntil is the time up to which the bandwidth is reserved.
	reservedUntil time.Time
}

// NewWeightStore returns a store that serves any model name.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	s := &WeightStore{mux: http.NewServeMux(), opts: o}
	s.mux.HandleFunc("PUT "+faultsPath, s.serveFaults)
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
	if !s.acquire() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(s.opts.ModelBytes))
	s.release(s.send(w, r))
}

func (s *WeightStore) acquire() bool {
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

func (s *WeightStore) release(complete bool) {
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
		case <-time.After(s.reserveBandwidth(n)):
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return false
		}
	}
	return true
}

// reserveBandwidth reserves the transfer of n bytes and returns the delay after
// which it ends.
func (s *WeightStore) reserveBandwidth(n int64) time.Duration {
	s.weightsMu.Lock()
	defer s.weightsMu.Unlock()
	now := time.Now()
	if s.reservedUntil.Before(now) {
		s.reservedUntil = now
	}
	s.reservedUntil = s.reservedUntil.Add(time.Duration(n) * time.Second / time.Duration(s.opts.BytesPerSecond))
	return s.reservedUntil.Sub(now)
}

// Loader downloads the weights of a model.
type Loader func(ctx context.Context, model string) error

// NewHTTPLoader returns a loader that downloads from the weight store at the URL
// base. A response with another status than 200 is a *kv.StatusError; other
// errors wrap those of net/http.
func NewHTTPLoader(base string, client *http.Client) Loader {
	return func(ctx context.Context, model string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/weights/"+url.PathEscape(model), nil)
		if err != nil {
			return errors.Wrap(err, "create weights request")
		}
		resp, err := client.Do(req)
		if err != nil {
			return errors.Wrap(err, "request weights")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return &kv.StatusError{Status: resp.StatusCode}
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "read weights response")
		}
		return nil
	}
}

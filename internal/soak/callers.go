package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// kind is a kind of request.
type kind int

const (
	kindBook kind = iota
	kindLook
	kindDraft
	kindCheck
	kindCount
)

func (k kind) String() string { return [kindCount]string{"book", "look", "draft", "check"}[k] }

// runsOnce reports whether the work may run at most once.
func (k kind) runsOnce() bool { return k == kindBook || k == kindDraft }

func (k kind) streams() bool { return k == kindDraft || k == kindCheck }

// request is what a caller sent and got.
type request struct {
	id   string
	kind kind
	vm   *vm
	key  string
	// process is the run of the VM to which it was sent.
	process    *process
	sent, done time.Time
	// canceled says that the caller gave up.
	canceled bool
	status   int
	// signed says that the answer bears the signature of a backend server.
	signed bool
	err    error
	body   string
}

// succeeded reports whether the caller has a whole success.
func (r *request) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

const (
	siteHost = "site.example"
	// callerTimeout is the patience of a caller.
	callerTimeout = 9 * time.Second
	// requestPause divides the requests of one caller.
	requestPause = 40 * time.Millisecond
	// cancelProbability is the part of callers that leave early, after at most leaveAfter.
	cancelProbability = 0.05
	maxCancelDelay    = 600 * time.Millisecond
	bookBody          = "deposit"
)

// caller sends requests to one VM over connections that it keeps until they end.
type caller struct {
	harness *harness
	vm      *vm
	client  *http.Client
	rand    *rand.Rand
	prefix  string
}

func newCaller(h *harness, v *vm, n int) *caller {
	return &caller{
		harness: h, vm: v, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		rand: rand.New(rand.NewPCG(h.opts.Seed, uint64(n))), prefix: fmt.Sprintf("%x-%d-", h.opts.Seed, n),
	}
}

// runUntil sends requests until playing ends, and lets the last one end by itself.
func (c *caller) runUntil(ctx, faultCtx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; faultCtx.Err() == nil; n++ {
		r := &request{id: c.prefix + strconv.Itoa(n), kind: kind(c.rand.IntN(int(kindCount))), vm: c.vm, key: c.harness.keys.pick(c.rand)}
		c.send(ctx, r)
		c.harness.check(r)
		time.Sleep(requestPause)
	}
}

// send makes a request and reads the whole answer.
func (c *caller) send(ctx context.Context, r *request) {
	timeout := callerTimeout
	if c.rand.Float64() < cancelProbability {
		r.canceled, timeout = true, rand.N(maxCancelDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.process, r.sent = c.vm.currentProcess(), time.Now()
	r.err = exchange(ctx, c.client, r)
	r.done = time.Now()
}

// exchange sends a request and notes the answer.
func exchange(ctx context.Context, client *http.Client, r *request) error {
	method, body := http.MethodPost, bookBody
	if r.kind == kindLook {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.vm.callers+r.path(), strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Host = siteHost
	req.Header = userplatform.CallerHeaders(r.id, r.key)
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	r.status, r.signed = resp.StatusCode, userplatform.Signed(resp.Header)
	text, err := io.ReadAll(resp.Body)
	r.body = string(text)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return nil
}

func (r *request) path() string { return "/" + r.kind.String() + "/" + r.id }

// validate returns what is wrong with a successful answer, or nil.
func (r *request) validate() error {
	if !r.signed {
		return &responseError{"it has no signature of a backend server"}
	}
	if r.kind.streams() {
		return r.validateEvents()
	}
	method, size := http.MethodPost, len(bookBody)
	if r.kind == kindLook {
		method, size = http.MethodGet, 0
	}
	begin, end := fmt.Sprintf("%s %s by ", method, r.path()), fmt.Sprintf(" with %d bytes", size)
	if !strings.HasPrefix(r.body, begin) || !strings.HasSuffix(r.body, end) {
		return &responseError{fmt.Sprintf("its body is %.80q", r.body)}
	}
	return nil
}

// validateEvents checks that the events come from this request, in order, each
// once, and that a stream that ended well is complete.
func (r *request) validateEvents() error {
	next := 1
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			if want := fmt.Sprintf("%s %d", r.id, next); data != want && (r.err == nil || !strings.HasPrefix(want, data)) {
				return &responseError{fmt.Sprintf("event %q instead of %q", data, want)}
			}
			next++
		}
	}
	if r.err == nil && next != streamEvents+1 {
		return &responseError{fmt.Sprintf("it looks complete after %d of %d events", next-1, streamEvents)}
	}
	return nil
}

// responseError says what is wrong with an answer.
type responseError struct{ reason string }

func (e *responseError) Error() string { return e.reason }

// keyring holds the API keys that callers use: one that is always valid and one
// that the operator replaces.
type keyring struct {
	mu      sync.Mutex
	version int64
	current string
	since   time.Time
	// revoked maps keys to the time at which the store had acknowledged the
	// configuration without them.
	revoked map[string]time.Time
}

const stableKey = "key-of-acme"

// pick returns a key: mostly a valid one, sometimes one that was revoked.
func (k *keyring) pick(r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case r.IntN(3) > 0:
		return stableKey
	case r.IntN(3) > 0 || k.version < 2:
		return k.current
	default:
		return rotatingKey(k.version - 1 - r.Int64N(min(2, k.version-1)))
	}
}

func rotatingKey(version int64) string { return "rotating-" + strconv.FormatInt(version, 10) }

// rotate writes a configuration with a new key in place of the current one.
func (k *keyring) rotate(store *userplatform.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version++
	old := k.current
	k.current = rotatingKey(k.version)
	store.Put(configKey, userplatform.Config(k.version, stableKey, k.current))
	k.since = time.Now()
	if old != "" {
		k.revoked[old] = k.since
	}
}

// revokedAt returns when a key was revoked, the zero time if it was not.
func (k *keyring) revokedAt(key string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revoked[key]
}

// validSince returns since when a key is valid, the zero time if it is not.
func (k *keyring) validSince(key string, started time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch key {
	case stableKey:
		return started
	case k.current:
		return k.since
	default:
		return time.Time{}
	}
}

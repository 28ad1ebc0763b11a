package soak

import (
	"bufio"
	"cmp"
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

// kind is the kind of a request. Its name is the first element of the path.
type kind int

const (
	kindBook kind = iota
	kindLook
	kindDraft
	kindCheck
	kindCount
)

func (k kind) String() string { return [kindCount]string{"book", "look", "draft", "check"}[k] }

// runsOnce reports whether the work is non-repeatable.
func (k kind) runsOnce() bool { return k == kindBook || k == kindDraft }

func (k kind) streams() bool { return k == kindDraft || k == kindCheck }

// setLimits sets the time that the caller of a stream has, and the length that it expects, so that
// dispatchers order and refuse long and short requests by their limits.
func (k kind) setLimits(h http.Header) {
	if !k.streams() {
		return
	}
	limit := draftLimit
	if k == kindCheck {
		limit = checkLimit
	}
	userplatform.SetLimits(h, limit, userplatform.DefaultTokens)
}

// request is a request of a caller and its response.
type request struct {
	id   string
	kind kind
	vm   *vm
	key  string
	// prompt is the prompt of a stream, crashingPart the part of it that crashes
	// engines, "" if there is none.
	prompt, crashingPart string
	// target replaces the path if it is not "". crashes is the fault that the request
	// causes, nil if it is sound.
	target  string
	crashes *requestFault
	// takesUp is the stream of which the request asks for the rest, nil if it asks for a new one.
	takesUp *takenUp
	// process is the process of the VM at the time of sending.
	process    *process
	sent, done time.Time
	// canceled is set if the caller was to abandon the request early.
	canceled bool
	status   int
	// signed is set if the response carries the signature of a backend server.
	signed bool
	// returnable is set if the response names a time after which the caller may come back.
	returnable bool
	err        error
	body       string
}

// succeeded reports whether the caller received a complete response with status
// 200.
func (r *request) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

const (
	siteHost = "site.example"
	// callerTimeout limits a request that is not abandoned early.
	callerTimeout = 9 * time.Second
	// draftLimit and checkLimit are the times that callers of streams name.
	draftLimit = 20 * time.Second
	checkLimit = 6 * time.Second
	// requestPause is the pause between two requests of a caller.
	requestPause = 40 * time.Millisecond
	// cancelProbability is the probability that a caller abandons a request,
	// after at most maxCancelDelay.
	cancelProbability = 0.05
	maxCancelDelay    = 600 * time.Millisecond
	bookBody          = "deposit"
)

// caller sends requests to one VM over persistent connections.
type caller struct {
	harness *harness
	vm      *vm
	client  *http.Client
	rand    *rand.Rand
	// prefix begins the part of the request ids after the name of the VM.
	prefix string
}

func newCaller(h *harness, v *vm, n int) *caller {
	return &caller{
		harness: h, vm: v, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		rand: rand.New(rand.NewPCG(h.opts.Seed, uint64(n))), prefix: fmt.Sprintf("%x-%d-", h.opts.Seed, n),
	}
}

// requestID returns the id of a request to a VM, from which vmOfRequest returns the VM.
func requestID(v *vm, id string) string { return v.name + "." + id }

func vmOfRequest(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}

// runUntil sends requests until faultCtx ends, and lets the last one finish.
func (c *caller) runUntil(ctx, faultCtx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; faultCtx.Err() == nil; n++ {
		r := &request{id: requestID(c.vm, c.prefix+strconv.Itoa(n)), kind: kind(c.rand.IntN(int(kindCount))), vm: c.vm, key: c.harness.keys.pick(c.rand)}
		if r.kind.streams() {
			r.prompt, r.crashingPart = c.harness.prompt(c.rand)
		}
		c.harness.replace(r, c.rand)
		c.send(ctx, r)
		c.harness.check(r)
		c.takeUp(ctx, faultCtx, r)
		time.Sleep(requestPause)
	}
}

// send sends a request and reads the whole response.
func (c *caller) send(ctx context.Context, r *request) {
	timeout := callerTimeout
	if c.rand.Float64() < cancelProbability {
		r.canceled, timeout = true, rand.N(maxCancelDelay)
	}
	c.transmit(ctx, r, timeout)
}

// transmit sends a request and reads the response for as long as the caller waits.
func (c *caller) transmit(ctx context.Context, r *request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.process, r.sent = r.vm.currentProcess(), time.Now()
	r.err = exchange(ctx, c.client, r)
	r.done = time.Now()
}

// exchange sends a request and records the response in it.
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
	userplatform.SetPrompt(req.Header, r.prompt)
	r.kind.setLimits(req.Header)
	if r.takesUp != nil {
		userplatform.SetTakenUp(req.Header, r.takesUp.first, r.takesUp.last)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	r.status, r.signed = resp.StatusCode, userplatform.Signed(resp.Header)
	r.returnable = resp.Header.Get("Retry-After") != ""
	text, err := io.ReadAll(resp.Body)
	r.body = string(text)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	return nil
}

func (r *request) path() string { return cmp.Or(r.target, "/"+r.kind.String()+"/"+r.id) }

// validate returns an error if a successful response is not the right one for the
// request.
func (r *request) validate() error {
	if !r.signed {
		return &responseError{"the signature of a backend server is missing"}
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
		return &responseError{fmt.Sprintf("unexpected body %.80q", r.body)}
	}
	return nil
}

// validateEvents checks that the events belong to this request, that they are in
// order without gaps or duplicates, and that a stream that ended without an error
// is complete. The name of a version may follow the number of an event.
func (r *request) validateEvents() error {
	next := 1
	if r.takesUp != nil {
		next = r.takesUp.last + 1
	}
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			if want := fmt.Sprintf("%s %d", r.id, next); data != want && !strings.HasPrefix(data, want+" ") && (r.err == nil || !strings.HasPrefix(want, data)) {
				return &responseError{fmt.Sprintf("event %q instead of %q", data, want)}
			}
			next++
		}
	}
	if r.err == nil && next != streamEvents+1 {
		return &responseError{fmt.Sprintf("the stream ended without an error after %d of %d events", next-1, streamEvents)}
	}
	return nil
}

// responseError describes an invalid response.
type responseError struct{ reason string }

func (e *responseError) Error() string { return e.reason }

// keyring holds the API keys of the callers: one that is always valid and one
// that is rotated.
type keyring struct {
	mu      sync.Mutex
	version int64
	current string
	since   time.Time
	// revoked maps each revoked key to the time at which the store acknowledged
	// the configuration without it.
	revoked map[string]time.Time
}

const stableKey = "key-of-acme"

// pick returns a valid key in most cases, and sometimes a revoked one.
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

// rotate stores a configuration that replaces the current key by a new one.
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

// revokedAt returns when a key was revoked, or the zero time if it was not.
func (k *keyring) revokedAt(key string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revoked[key]
}

// validSince returns since when a key has been valid, or the zero time if it is
// not.
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

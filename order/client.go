package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Default values of Options.
const (
	DefaultTTL             = 10 * time.Second
	DefaultMaxInFlightTime = 5 * time.Second
	DefaultMinRemaining    = time.Second
	DefaultLoadSlots       = 4
	// renewalsPerTTL is the number of renewals per lease time during a wait.
	// With more than one, a single lost renewal does not end the lease.
	renewalsPerTTL = 3
	dialTimeout    = time.Second
)

// Store is the subset of the key-value service that the client uses.
type Store interface {
	kv.Getter
	kv.Swapper
	kv.Leaser
}

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	// TTL is the lease time. Default DefaultTTL.
	TTL time.Duration
	// MaxInFlightTime is the longest time for which the network may delay an
	// order after its sender gave up. Default DefaultMaxInFlightTime.
	MaxInFlightTime time.Duration
	// MinRemaining is the minimum remaining lease time required to send an
	// order. Default DefaultMinRemaining.
	MinRemaining time.Duration
	// LoadSlots is the maximum number of concurrent loads in the whole fleet. All
	// operators must use the same number. Default DefaultLoadSlots.
	LoadSlots int
	// WaitForSlot makes a load wait for a slot when all are taken. Otherwise it
	// fails with a *SlotsTakenError.
	WaitForSlot bool
	// Now reads the clock. Default time.Now.
	Now func() time.Time
	// Sleep waits for a duration on the clock of Now. Default a timer.
	Sleep func(context.Context, time.Duration) error
	// Transport sends orders. Default a transport without keep-alive.
	Transport http.RoundTripper
}

// holdTime is the time after its last renewal during which orders of a holder
// may still take effect.
func (o Options) holdTime() time.Duration { return o.TTL + o.MaxInFlightTime }

func (o *Options) applyDefaults() {
	setDefault(&o.TTL, DefaultTTL)
	setDefault(&o.MaxInFlightTime, DefaultMaxInFlightTime)
	setDefault(&o.MinRemaining, DefaultMinRemaining)
	setDefault(&o.LoadSlots, DefaultLoadSlots)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = func(ctx context.Context, d time.Duration) error {
			if !wait.Sleep(ctx, d) {
				return ctx.Err()
			}
			return nil
		}
	}
	if o.Transport == nil {
		// net/http retries requests only on reused connections.
		o.Transport = httphead.Transport{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
		}}
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Client sends orders to backend servers.
type Client struct {
	store Store
	opts  Options
	http  *http.Client
}

// New returns a client that keeps leases, fencing tokens and slots in store.
func New(store Store, opts Options) *Client {
	opts.applyDefaults()
	return &Client{store: store, opts: opts, http: &http.Client{
		Transport:     opts.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send sends an order once, after waiting for orders of the previous holder. A
// load first acquires a slot and keeps it until the lease is released. An
// *InvalidError, *LeaseExpiringError, *SlotsTakenError, *SlotUnavailableError,
// *NotSentError, *StaleTokenError or *RejectedError means that the order had no
// effect. After an *UncertainError it may have had one.
func (l *Lease) Send(ctx context.Context, order Order) error {
	if err := order.Validate(); err != nil {
		return err
	}
	if err := l.waitForPreviousHolder(ctx); err != nil {
		return err
	}
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	if order.loadsWeights() {
		if err := l.acquireSlot(ctx, order); err != nil {
			return err
		}
	}
	if err := l.checkRemaining(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.remaining())
	defer cancel()
	err = l.post(ctx, order.ID, body)
	if _, ok := errors.Into[*UncertainError](err); ok {
		l.uncertain[order.ID] = order.loadsWeights()
	} else if err == nil {
		delete(l.uncertain, order.ID) // Further copies in flight have an id that was already applied.
	}
	return err
}

func (l *Lease) post(ctx context.Context, id string, body []byte) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	reader := struct{ io.Reader }{bytes.NewReader(body)} // Cannot be rewound, so net/http never retries the request.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.vm.Address+"/orders", reader)
	if err != nil {
		return &NotSentError{Backend: l.vm.ID, Cause: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", api.ContentTypeJSON)
	req.Header.Set(api.HeaderFencingToken, strconv.FormatInt(l.fence.Token, 10))
	telemetry.Inject(ctx, req.Header)
	resp, err := l.client.http.Do(req)
	switch {
	case err != nil && !sent.Load():
		return &NotSentError{Backend: l.vm.ID, Cause: err}
	case err != nil:
		return &UncertainError{Backend: l.vm.ID, Order: id, Cause: err}
	}
	_ = resp.Body.Close()
	switch code := resp.StatusCode; {
	case code == http.StatusOK || code == http.StatusNoContent:
		return nil
	case code == http.StatusPreconditionFailed:
		return &StaleTokenError{Backend: l.vm.ID, Token: l.fence.Token}
	case code >= http.StatusBadRequest && code < http.StatusInternalServerError && code != http.StatusRequestTimeout:
		return &RejectedError{Backend: l.vm.ID, Status: code}
	default:
		return &UncertainError{Backend: l.vm.ID, Order: id, Cause: &kv.StatusError{Status: code}}
	}
}

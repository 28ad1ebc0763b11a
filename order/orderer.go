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
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Defaults of Options.
const (
	DefaultTTL             = 10 * time.Second
	DefaultMaxInFlightTime = 5 * time.Second
	DefaultMinRemaining    = time.Second
	DefaultLoadSlots       = 4
	// renewalsPerTTL is the number of renewals in one lease time during a wait,
	// so that one lost renewal does not end the lease.
	renewalsPerTTL = 3
	dialTimeout    = time.Second
)

// Store is the part of the key-value service that orders need.
type Store interface {
	kv.Getter
	kv.Swapper
	kv.Leaser
}

// Options configure an Orderer. Zero fields take the defaults.
type Options struct {
	// TTL is the lease time. Default DefaultTTL.
	TTL time.Duration
	// MaxInFlightTime is the longest time for which the network may hold an order
	// back after its sender gave up. Default DefaultMaxInFlight.
	MaxInFlightTime time.Duration
	// MinRemaining is the least remaining lease time at which an order is
	// sent. Default DefaultMinRemaining.
	MinRemaining time.Duration
	// LoadSlots is the number of loads that may run in the whole fleet. All
	// operators must use the same number. Default DefaultLoadSlots.
	LoadSlots int
	// WaitForSlot says that a load waits for a slot when all are taken.
	WaitForSlot bool
	// Now reads the clock. Default time.Now.
	Now func() time.Time
	// Sleep waits for a span of Now's clock. Default a timer.
	Sleep func(context.Context, time.Duration) error
	// Transport sends orders. Default a transport without keep-alive.
	Transport http.RoundTripper
}

// holdTime is the time during which orders of a holder may take effect after its
// last renewal.
func (o Options) holdTime() time.Duration { return o.TTL + o.MaxInFlightTime }

func (o *Options) applyDefaults() {
	set(&o.TTL, DefaultTTL)
	set(&o.MaxInFlightTime, DefaultMaxInFlightTime)
	set(&o.MinRemaining, DefaultMinRemaining)
	set(&o.LoadSlots, DefaultLoadSlots)
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
		// net/http repeats nothing on a connection that is used once.
		o.Transport = &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	}
}

func set[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Client gives orders to backend servers.
type Client struct {
	store Store
	opts  Options
	http  *http.Client
}

// New returns an orderer on top of the key-value service.
func New(store Store, opts Options) *Client {
	opts.applyDefaults()
	return &Client{store: store, opts: opts, http: &http.Client{
		Transport:     opts.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send gives an order once, after the wait for orders of the previous holder. A
// load takes a slot first and keeps it until the lease is released. Errors are
// *InvalidError, *LapsedError, *SlotsTakenError, *SlotUnavailableError,
// *NotSentError, *StaleTokenError and *RejectedError, after which the order had
// no effect, and *UncertainError.
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
		delete(l.uncertain, order.ID) // A late copy is one of an id already applied.
	}
	return err
}

func (l *Lease) post(ctx context.Context, id string, body []byte) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	reader := struct{ io.Reader }{bytes.NewReader(body)} // Cannot be rewound, so net/http repeats nothing.
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

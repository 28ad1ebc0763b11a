package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/order"
)

// AppliedOrder is an order that took effect, with its fencing token.
type AppliedOrder struct {
	order.Order
	Token int64 `json:"token"`
}

// orderLog applies and records the orders that a backend server receives.
type orderLog struct {
	bookMu        sync.Mutex
	checksFencing bool
	highestToken  int64
	applied       []AppliedOrder
	loader        Loader
}

// SetLoader sets the loader that downloads the weights of a model before an
// order for it is acknowledged. Without a loader, no weights are downloaded.
func (b *orderLog) SetLoader(l Loader) {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	b.loader = l
}

// load downloads the weights that an order needs.
func (b *orderLog) load(ctx context.Context, o order.Order) error {
	b.bookMu.Lock()
	loader := b.loader
	b.bookMu.Unlock()
	if loader == nil || o.Model == "" {
		return nil
	}
	return loader(ctx, o.Model)
}

// SetChecksFencing sets whether orders with an outdated fencing token are rejected.
func (b *orderLog) SetChecksFencing(on bool) {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	b.checksFencing = on
}

// Orders returns the applied orders, first to last.
func (b *orderLog) Orders() []AppliedOrder {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	return slices.Clone(b.applied)
}

// apply records an order once per id and returns the HTTP status of the response.
func (b *orderLog) apply(o order.Order, token int64) int {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	if b.checksFencing && token < b.highestToken {
		return http.StatusPreconditionFailed
	}
	b.highestToken = max(b.highestToken, token)
	if !slices.ContainsFunc(b.applied, func(a AppliedOrder) bool { return a.ID == o.ID }) {
		b.applied = append(b.applied, AppliedOrder{Order: o, Token: token})
	}
	return http.StatusOK
}

// handleOrders registers the handlers of POST /orders and GET /orders.
func (b *orderLog) handleOrders(mux *http.ServeMux, faults *faultInjector) {
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, b.Orders()) })
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		if !faults.applyFaults(w, r) {
			return
		}
		var o order.Order
		token, err := strconv.ParseInt(r.Header.Get(api.HeaderFencingToken), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil || o.Validate() != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if b.load(r.Context(), o) != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		status := b.apply(o, token)
		if faults.CurrentFaults().LoseAnswers {
			Drop(w)
			return
		}
		w.WriteHeader(status)
	})
}

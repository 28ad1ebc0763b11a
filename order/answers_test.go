package order_test

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/testnet"
	"github.com/vanillaarch/vanillaarch/order"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against an order that counts as accepted by an answer whose head is none.
func TestBrokenHeadsAreUncertain(t *testing.T) {
	for name, head := range testnet.BrokenHeads {
		t.Run(name, func(t *testing.T) {
			vm := vmlist.VM{ID: "engine-1", Address: testnet.ServeAnswer(t, head+"Content-Length: 0\r\n\r\n"), ChecksFencing: true}
			lease, err := order.New(newStore(), order.Options{}).Acquire(t.Context(), vm, "operator")
			if err != nil {
				t.Fatal(err)
			}
			err = lease.Send(t.Context(), roleOrder("order"))
			if _, uncertain := errors.Into[*order.UncertainError](err); !uncertain {
				t.Errorf("%v, want an UncertainError", err)
			}
		})
	}
}

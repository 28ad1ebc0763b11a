package vmlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// Guards against a list in an answer whose head is none.
func TestBrokenHeadsAreErrors(t *testing.T) {
	const body = `{"revision":3,"vms":[]}`
	for name, head := range testnet.BrokenHeads {
		t.Run(name, func(t *testing.T) {
			answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			client := NewClient("http://"+testnet.ServeAnswer(t, answer), 5*time.Second)
			defer client.Close()
			list, err := client.Fetch(t.Context(), 0)
			if _, unavailable := errors.Into[*UnavailableError](err); !unavailable {
				t.Errorf("list %+v, %v", list, err)
			}
		})
	}
}

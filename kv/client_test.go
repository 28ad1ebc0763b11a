package kv_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/testnet"
	"github.com/vanillaarch/vanillaarch/kv"
)

// Guards against an answer of the key-value service whose head is none and that counts: the revision in a
// field that was not seen would be 0.
func TestBrokenHeadsAreErrors(t *testing.T) {
	heads := map[string]string{"revision not seen": "HTTP/1.1 200 OK\r\nX-Revision : 7\r\n"}
	for name, head := range testnet.BrokenHeads {
		heads[name] = head
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			client := kv.NewClient("http://"+testnet.ServeAnswer(t, head+"Content-Length: 1\r\n\r\n1"), 5*time.Second)
			defer client.Close()
			entry, err := client.Get(t.Context(), "k")
			if _, unavailable := errors.Into[*kv.UnavailableError](err); !unavailable {
				t.Errorf("entry %+v, %v", entry, err)
			}
			revision, err := client.CompareAndSwap(t.Context(), "k", nil, 1, 0)
			if _, uncertain := errors.Into[*kv.UncertainError](err); !uncertain {
				t.Errorf("written at revision %d, %v", revision, err)
			}
		})
	}
}

package kv_test

import (
	"compress/gzip"
	"fmt"
	"strings"
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

// Guards against a part of a value that counts as the value, also as a part of a protobuf message: an answer
// without a length ends like one whose connection was closed early.
func TestValueWithoutALengthIsAnError(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		whole  bool
	}{
		"no length":        {"HTTP/1.1 200 OK\r\nX-Revision: 7\r\n\r\nval", false},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nX-Revision: 7\r\n\r\nval", false},
		"HTTP/2.0":         {"HTTP/2.0 200 OK\r\nX-Revision: 7\r\n\r\nval", false},
		"length":           {"HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: 5\r\n\r\nvalue", true},
		"length, cut":      {"HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: 5\r\n\r\nval", false},
		"chunks":           {"HTTP/1.1 200 OK\r\nX-Revision: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", true},
		"chunks, cut":      {"HTTP/1.1 200 OK\r\nX-Revision: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n", false},
		"encoded, in part": {"HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Encoding: gzip\r\n\r\n" + gzipped("value")[:20], false},
	} {
		t.Run(name, func(t *testing.T) {
			client := kv.NewClient("http://"+testnet.ServeAnswer(t, test.answer), 5*time.Second)
			defer client.Close()
			entry, err := client.Get(t.Context(), "k")
			_, unavailable := errors.Into[*kv.UnavailableError](err)
			if test.whole != (err == nil && string(entry.Value) == "value") || test.whole == unavailable {
				t.Errorf("%q, %v", entry.Value, err)
			}
		})
	}
}

func gzipped(text string) string {
	var b strings.Builder
	w := gzip.NewWriter(&b)
	_, _ = w.Write([]byte(text))
	_ = w.Close()
	return b.String()
}

// Guards against the beginning of a value beyond the limit that counts as the value.
func TestValueBeyondTheLimitIsAnError(t *testing.T) {
	for _, size := range []int{kv.MaxValueBytes, kv.MaxValueBytes + 1, kv.MaxValueBytes + 2} {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("v", size))
		client := kv.NewClient("http://"+testnet.ServeAnswer(t, answer), 5*time.Second)
		defer client.Close()
		entry, err := client.Get(t.Context(), "k")
		_, tooLarge := errors.Into[*kv.ValueTooLargeError](err)
		if whole := size <= kv.MaxValueBytes; whole != (err == nil && len(entry.Value) == size) || whole == tooLarge {
			t.Errorf("%d of %d bytes, %v", len(entry.Value), size, err)
		}
	}
}

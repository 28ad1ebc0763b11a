package vanillaarch_test

import (
	"net"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/config"
)

// Guards against a server that leaks listeners, goroutines or files when it cannot
// start because an address is already in use.
func TestNewReleasesOnFailure(t *testing.T) {
	defer goleak.VerifyNone(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peerAddress := free.Addr().String()
	_ = free.Close()
	cfg := &config.Config{
		VMID: "vm-1", Zone: "z", Region: "r",
		Listen:        config.Listen{HTTP: taken.Addr().String(), Peer: peerAddress},
		Platform:      config.Platform{KV: "http://127.0.0.1:1", VMList: "http://127.0.0.1:1"},
		Trace:         config.Trace{File: filepath.Join(t.TempDir(), "spans")},
		TraceRecorder: config.TraceRecorder{File: filepath.Join(t.TempDir(), "requests"), Model: "m"},
	}
	cfg.ApplyDefaults()
	if _, err := vanillaarch.New(cfg, vanillaarch.Options{Log: zap.NewNop()}); err == nil {
		t.Fatal("the server started on an address that is already in use")
	}
	again, err := net.Listen("tcp", peerAddress)
	if err != nil {
		t.Fatalf("the peer address is still in use: %v", err)
	}
	_ = again.Close()
}

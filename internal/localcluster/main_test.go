package localcluster_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// TestMain fails the package if goroutines are still running after all tests.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// testTimeout bounds the context of a test started with startCluster.
const testTimeout = 20 * time.Second

// shortTimeouts sets timeouts short enough for failures to be detected within a test.
func shortTimeouts(c *config.Config) {
	c.Platform.KVTimeout = config.Duration(300 * time.Millisecond)
	c.Timeouts.FirstToken = config.Duration(400 * time.Millisecond)
	c.Timeouts.StreamIdle = config.Duration(200 * time.Millisecond)
	c.Timeouts.Queue = config.Duration(400 * time.Millisecond)
}

// startCluster starts a cluster with a bundle in force and marks the test as
// parallel.
func startCluster(t *testing.T, o localcluster.Options) (*localcluster.Cluster, context.Context) {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	if o.Configure == nil {
		o.Configure = shortTimeouts
	}
	c, err := localcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.RollOut(ctx, localcluster.Document(1)); err != nil {
		t.Fatal(err)
	}
	return c, ctx
}

// addBackend adds a backend server implemented by h to the VM list and waits until
// each VM has discovered it. If h is nil, nothing listens on its address.
func addBackend(t *testing.T, c *localcluster.Cluster, role vmlist.Role, id string, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	if h == nil {
		server.Close()
	}
	vm := vmlist.VM{ID: id, Role: role, State: vmlist.StateLive, Address: server.Listener.Addr().String()}
	if role == vmlist.RoleEngine {
		vm.Models = []string{localcluster.Model}
	} else {
		vm.Services = []string{localcluster.Service}
	}
	c.VMList.Put(vm)
	eventually(t, id+" is listed", func() bool {
		for _, entry := range c.VMs {
			if _, ok := entry.Server.Snapshot().Backends[id]; !ok {
				return false
			}
		}
		return true
	})
	return server
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout / 2); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// resetConnection resets the TCP connection without sending a response.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// problemOf returns the problem document of an error, or fails the test.
func problemOf(t *testing.T, err error) *api.Problem {
	t.Helper()
	p, ok := errors.Into[*api.Problem](err)
	if !ok {
		t.Fatalf("got error %v, want a problem document", err)
	}
	return p
}

func prompt(tokens int) api.CompletionRequest {
	return api.CompletionRequest{Model: localcluster.Model, Prompt: fmt.Sprintf("fuse board [tokens=%d]", tokens)}
}

package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// Guards against a request that is counted at its server after its caller has left:
// net/http goes on dialling, and a request that is started but never finished takes the
// place of another one after a pause.
func TestNoCheckAfterTheRequestHasReturned(t *testing.T) {
	engines, services := NewEngineClient(), NewServiceClient(1<<20)
	t.Cleanup(engines.Close)
	calls := map[string]struct {
		client *http.Client
		do     func(context.Context, Target, func() error) error
	}{
		"engine": {engines.streams, func(ctx context.Context, target Target, check func() error) error {
			_, err := engines.Start(ctx, target, api.CompletionRequest{}, StartOptions{FirstTokenTimeout: time.Minute, BeforeSend: check})
			return err
		}},
		"service": {services.http, func(ctx context.Context, target Target, check func() error) error {
			_, err := services.Do(ctx, target, Call{Path: "/", BeforeSend: check})
			return err
		}},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) { checkNoLateCall(t, call.client, call.do) })
	}
}

// checkNoLateCall holds the connection of a request back until the request has returned.
func checkNoLateCall(t *testing.T, client *http.Client, do func(context.Context, Target, func() error) error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialling, release, dialled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	transport := client.Transport.(httphead.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		defer close(dialled)
		close(dialling)
		<-release
		return dial(ctx, network, address)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-dialling
		cancel()
	}()
	var checks atomic.Int64
	err = do(ctx, Target{ID: "s", Address: listener.Addr().String()}, func() error {
		checks.Add(1)
		return nil
	})
	if err == nil {
		t.Fatal("no error for a request whose caller has left")
	}
	close(release)
	<-dialled
	if n := checks.Load(); n != 0 {
		t.Errorf("the check ran %d times after the request had returned", n)
	}
}

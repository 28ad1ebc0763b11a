package callerlimits

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// streamsPerConnection is the number of requests that a caller sends at once over HTTP/2.
const streamsPerConnection = 8

// stoppingBody is a body that stops before its end until its request is cancelled.
type stoppingBody struct {
	io.Reader
	cancelled <-chan struct{}
}

// Read implements io.Reader.
func (b stoppingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		<-b.cancelled
	}
	return n, err
}

// http2Caller sends bodies that stop before their end on several streams of one connection.
func http2Caller(ctx context.Context, path string) caller {
	return func(c net.Conn) {
		_ = c.SetDeadline(time.Time{}) // The connection is read until the end of the test.
		transport := &http.Transport{
			DialContext:       func(context.Context, string, string) (net.Conn, error) { return c, nil },
			TLSClientConfig:   &tls.Config{InsecureSkipVerify: true}, // The certificate is the test's own.
			ForceAttemptHTTP2: true, MaxConnsPerHost: 1,
		}
		for range streamsPerConnection {
			go postStopping(ctx, transport, "https://h"+path)
		}
		time.Sleep(sendLimit)
	}
}

// postStopping sends a request. Errors say that the VM has refused it, which it may.
func postStopping(ctx context.Context, transport http.RoundTripper, url string) {
	body := stoppingBody{Reader: bytes.NewReader(largestServerBody[:len(largestServerBody)-1]), cancelled: ctx.Done()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return
	}
	r.ContentLength = int64(len(largestServerBody))
	r.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	if answer, err := transport.RoundTrip(r); err == nil {
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

// certificate returns the files of a certificate for callers. VMs need none among each other.
func certificate(t *testing.T) config.TLS {
	t.Helper()
	authority, err := testnet.NewAuthority(t.TempDir(), "callers")
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue("vm")
	if err != nil {
		t.Fatal(err)
	}
	files.CAFile = ""
	return files
}

// Guards against bodies that stop before their end on many streams of HTTP/2 connections, whose
// receive windows, frames and streams were counted by no budget.
func TestBodiesOverHTTP2(t *testing.T) {
	for name, path := range map[string]string{"completions": completionsPath, "refused": "/status"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := startServing(t, completionsPath, serverSettings{files: certificate(t)})
			checkLargestBody(d)
			runCrowd(d, d.callers, func(int) caller { return http2Caller(ctx, path) })
		})
	}
}

// checkLargestBody checks that one of the largest bodies is served over HTTP/2.
func checkLargestBody(d *daemon) {
	d.t.Helper()
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true, DisableKeepAlives: true,
	}, Timeout: answerLimit}
	r, err := http.NewRequest(http.MethodPost, "https://"+d.callers+completionsPath, bytes.NewReader(largestServerBody))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	answer, err := client.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK || answer.ProtoMajor != 2 {
		d.t.Errorf("one of the largest bodies: %s over %s", answer.Status, answer.Proto)
	}
}

// Guards against the bodies of TestBodiesOfCompletions over TLS, whose records are buffered too.
func TestBodiesOverTLS(t *testing.T) {
	d := startServing(t, completionsPath, serverSettings{files: certificate(t)})
	mixed := mixedBodies(func() string { return beginRequest(completionsPath, "") })
	runCrowd(d, d.callers, func(n int) caller {
		return func(c net.Conn) { mixed(n)(tls.Client(c, &tls.Config{InsecureSkipVerify: true})) }
	})
}

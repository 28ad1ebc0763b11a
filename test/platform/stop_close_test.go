package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
)

// Guards against answers of a VM that stops after which it closes the connection without having
// announced that: their callers send the next request into the close. Among the requests are
// those that http.Server answers by itself.
func TestStopAnnouncesTheCloseOfEachConnection(t *testing.T) {
	const auth = "Host: " + host + "\r\nAuthorization: Bearer " + key + "\r\nRequest-Id: close-NN\r\nDeadline-Ms: 2000\r\n"
	s := newSite(t, options{vms: 1, engines: 1, plainServers: 1, events: 20, interval: 5 * time.Millisecond, bounds: func(b *config.Bounds) { b.Grace = 8 * time.Second }})
	vm := s.vms[0]
	kinds := []struct {
		name, method, request string
		status                int
	}{
		{"get", "GET", "GET /look/1 HTTP/1.1\r\n" + auth + "\r\n", 200},
		{"head", "HEAD", "HEAD /look/1 HTTP/1.1\r\n" + auth + "\r\n", 200},
		{"get of HTTP/1.0, kept", "GET", "GET /look/1 HTTP/1.0\r\nConnection: keep-alive\r\n" + auth + "\r\n", 200},
		{"post", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Content-Length: 1\r\n\r\nx", 200},
		{"post in chunks", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200},
		{"post after 100", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", 200},
		{"stream", "POST", "POST /check/1 HTTP/1.1\r\n" + auth + "Model: m\r\nToken-Count: 300,80\r\nContent-Length: 1\r\n\r\nx", 200},
		{"unknown path", "GET", "GET /unknown/1 HTTP/1.1\r\n" + auth + "\r\n", 404},
		{"wrong key", "GET", "GET /look/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer x\r\nRequest-Id: close-NN\r\n\r\n", 401},
		{"body over the limit", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), 413},
		{"part of a body", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Content-Length: 2\r\n\r\nx", 408},
		{"head over the limit", "GET", "GET /look/1 HTTP/1.1\r\n" + auth + "X: " + strings.Repeat("x", 100_000) + "\r\n\r\n", 431},
		{"no HTTP", "GET", "rubbish\r\n\r\n", 400},
		{"unknown expectation", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Expect: more\r\nContent-Length: 1\r\n\r\nx", 417},
		{"unknown version", "GET", "GET /look/1 HTTP/3.0\r\n" + auth + "\r\n", 505},
		{"unknown coding", "POST", "POST /book/1 HTTP/1.1\r\n" + auth + "Transfer-Encoding: x\r\n\r\n", 501},
	}
	kept := make([]*rawCaller, len(kinds))
	for i := range kept {
		kept[i] = dialVM(t, vm.Addresses().Callers)
		kept[i].send(bookOnWire(fmt.Sprintf("kept-%d", i)))
		if status, err := kept[i].readStatus(); err != nil || status != http.StatusOK {
			t.Fatalf("before the stop: status %d, %v", status, err)
		}
	}
	vm.Stop()
	s.eventually(time.Second, "the VM is not ready", func() bool {
		resp, err := http.Get("http://" + vm.Addresses().Ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	for i, k := range kinds {
		kept[i].send(strings.Replace(k.request, "NN", fmt.Sprintf("%02d", i), 1))
	}
	var callers sync.WaitGroup
	for i, k := range kinds {
		callers.Go(func() {
			resp, err := kept[i].readAnswerHead(k.method)
			if err != nil {
				t.Errorf("%s: no answer: %v", k.name, err)
			} else if resp.StatusCode != k.status || !resp.Close {
				t.Errorf("%s: status %d, want %d; the answer announces the close: %t", k.name, resp.StatusCode, k.status, resp.Close)
			}
		})
	}
	callers.Wait()
	<-vm.Done
}

// readAnswerHead reads the head of the answer, after 100 Continue if there is one.
func (c *rawCaller) readAnswerHead(method string) (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || resp.StatusCode != http.StatusContinue {
			return resp, err
		}
	}
}

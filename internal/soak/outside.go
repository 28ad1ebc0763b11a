package soak

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outsideConnections is how many connections outside the limits each VM has of each kind.
	outsideConnections = 4
	// outsideHold is how long such a connection stays open.
	outsideHold = 2 * time.Second
	// outsideHeadBytes is just below the limit on the head of a request, 64 KiB.
	outsideHeadBytes = 62 << 10
	// endlessBytes is what is sent of a head, of empty lines or of a body without end.
	endlessBytes = 1 << 20
	// outsideBodyBytes is the limit on a body in the configuration of the stand-in.
	outsideBodyBytes = 64 << 10
	// outsideIDPlace stands for the id of a request in outsideMessages.
	outsideIDPlace = "$ID"
	// outsideBodyHead is the head of a request but for the lines that frame its body.
	outsideBodyHead = "POST /look/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + outsideIDPlace + "\r\nAuthorization: Bearer " + stableKey + "\r\n"
)

// outsideMessages are what callers outside the limits send before they fall silent. None of
// them reaches a backend server.
var outsideMessages = []string{
	"",
	"GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", outsideHeadBytes),
	"GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", endlessBytes),
	strings.Repeat("\r\n", endlessBytes/2),
	// Its path has no route, so that the connection is kept after 404.
	"GET /none HTTP/1.1\r\nHost: h\r\n\r\n",
	strings.Repeat("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 8) + "GET / HTTP/1.1\r\nHost: h\r\n",
	// Bodies that stop short, or are far over the limit.
	outsideBodyHead + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", outsideBodyBytes-1),
	outsideBodyHead + "Content-Length: 65536\r\n\r\n",
	outsideBodyHead + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", outsideBodyBytes/2) + "\r\n",
	outsideBodyHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;name=value\r\nx\r\n", outsideBodyBytes/2),
	outsideBodyHead + "Content-Length: 100000000000\r\n\r\n" + strings.Repeat("x", endlessBytes),
	outsideBodyHead + "Transfer-Encoding: chunked\r\n\r\n4000000000000000\r\n" + strings.Repeat("x", endlessBytes),
}

// runOutsideCallers keeps connections outside the limits open to every VM until ctx ends. They
// may be refused or closed; the checks of processes and of ordinary callers cover the rest.
func (h *harness) runOutsideCallers(ctx context.Context) {
	var callers sync.WaitGroup
	var sent atomic.Int64
	for _, v := range h.vms {
		for _, message := range outsideMessages {
			for range outsideConnections {
				callers.Go(func() {
					for ctx.Err() == nil {
						// Each request has an id of its own: the log of a VM tells one end of each.
						id := requestID(v, "outside-"+strconv.FormatInt(sent.Add(1), 10))
						holdOutside(ctx, v.callers, strings.Replace(message, outsideIDPlace, id, 1))
					}
				})
			}
		}
	}
	callers.Wait()
}

// holdOutside sends a message and reads until the VM closes the connection, ctx ends or
// outsideHold has passed.
func holdOutside(ctx context.Context, address, message string) {
	ctx, cancel := context.WithTimeout(ctx, outsideHold)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		defer context.AfterFunc(ctx, func() { _ = c.Close() })()
		defer c.Close()
		_, _ = io.WriteString(c, message) // Fails if the VM closes the connection, which it may.
		_, _ = io.Copy(io.Discard, c)
	}
	<-ctx.Done() // So that a VM that refuses connections is not asked without pause.
}

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Pauses of the callers of TestPlannedWorkLosesNoRequest.
const (
	lostPause   = 250 * time.Millisecond
	lostRedial  = 30 * time.Millisecond
	lostPartGap = 500 * time.Millisecond
	// One in lateFirstShare connections sends its first request up to lateFirst late. The VM
	// closes a connection without a request after 5 s.
	lateFirstShare = 4
	lateFirst      = 4900 * time.Millisecond
	lostBodySize   = 3000
	// largeBodySize is below the limit of the configuration, and more than one read takes.
	largeBodySize = 50_000
	// lostDeadline is the time that a stream may take.
	lostDeadline = 6 * time.Second
)

// lostKind is a kind of request.
type lostKind struct {
	name, method, path string
	// header holds further lines of the head, each with its end.
	header string
	// body is the number of bytes of the body, parts the number of chunks in which it is
	// sent, with pauses of up to gap. It has a length if parts is 0.
	body, parts int
	gap         time.Duration
	// expects waits for 100 Continue, pipelined sends the request twice at once, idle waits
	// for the moment at which the VM closes the connection.
	expects, pipelined, idle bool
	streams                  bool
}

const streamHeader = "Model: m\r\nToken-Count: 300,240\r\n"

// lostKinds are the kinds of requests, drawn with equal probability.
var lostKinds = []lostKind{
	{name: "get", method: "GET", path: "/look/"},
	{name: "get on an idle connection", method: "GET", path: "/look/", idle: true},
	{name: "get, last of its connection", method: "GET", path: "/look/", header: "Connection: close\r\n"},
	{name: "head", method: "HEAD", path: "/look/"},
	{name: "pipelined get", method: "GET", path: "/look/", pipelined: true},
	{name: "post", method: "POST", path: "/book/", body: lostBodySize},
	{name: "post on an idle connection", method: "POST", path: "/book/", body: lostBodySize, idle: true},
	{name: "post in chunks", method: "POST", path: "/book/", body: lostBodySize, parts: 4, gap: 20 * time.Millisecond},
	{name: "post in slow chunks", method: "POST", path: "/book/", body: lostBodySize, parts: 4, gap: lostPartGap / 3},
	{name: "post that expects 100", method: "POST", path: "/book/", body: lostBodySize, header: "Expect: 100-continue\r\n", expects: true},
	{name: "post, refused early", method: "POST", path: "/unknown/", body: largeBodySize},
	{name: "short stream", method: "POST", path: "/check/", header: streamHeader, body: lostBodySize, streams: true},
	{name: "short stream, slow chunks", method: "POST", path: "/check/", header: streamHeader, body: lostBodySize, parts: 4, gap: lostPartGap, streams: true},
	{name: "stream that runs once", method: "POST", path: "/draft/", header: streamHeader, body: lostBodySize, streams: true},
	{name: "stream that runs once, in chunks", method: "POST", path: "/draft/", header: streamHeader, body: lostBodySize, parts: 4, gap: lostPartGap, streams: true},
}

// lostResult is a request and what its caller saw.
type lostResult struct {
	id, vm string
	// process is that of the VM as the request was sent.
	process *process
	kind    *lostKind
	// sent is the time at which the last byte was written, ended that of the response or of
	// the end of the connection.
	sent, ended time.Time
	status      int
	events      int
	// first is set for the first request of its connection.
	first bool
	err   error
}

// lostCaller sends requests to one VM and uses each connection until the VM closes it.
type lostCaller struct {
	load   *lostLoad
	vm     *vm
	prefix string
	random *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	// used counts the requests on the connection, sent all requests.
	used, sent int
}

func newLostCaller(l *lostLoad, v *vm, i, n int) *lostCaller {
	prefix := fmt.Sprintf("%x-%d-%d", l.opts.Seed, i, n)
	return &lostCaller{load: l, vm: v, prefix: prefix, random: l.rand(prefix)}
}

// run sends requests until ctx ends. The last one is read to its end.
func (c *lostCaller) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			time.Sleep(lostRedial)
			continue
		}
		if c.used == 0 && c.random.IntN(lateFirstShare) == 0 {
			time.Sleep(c.rand(lateFirst))
		}
		k := &lostKinds[c.random.IntN(len(lostKinds))]
		pause := c.rand(lostPause)
		if k.idle {
			pause = lostIdleTimeout + c.rand(20*time.Millisecond) - 10*time.Millisecond
		}
		time.Sleep(pause)
		c.exchange(k)
	}
}

func (c *lostCaller) rand(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *lostCaller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.vm.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return true
}

func (c *lostCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// exchange sends a request, or two at once, and reads the responses.
func (c *lostCaller) exchange(k *lostKind) {
	if !k.pipelined {
		r, whole := c.send(k)
		c.finish(r, whole)
		return
	}
	first, second := c.newResult(k), c.newResult(k)
	if _, err := io.WriteString(c.conn, c.head(k, first.id)+c.head(k, second.id)); err != nil {
		c.drop()
		return
	}
	first.sent = time.Now()
	second.sent = first.sent
	c.finish(first, true)
	if c.conn != nil { // Else the VM has announced that it reads no further request.
		c.finish(second, true)
	}
}

func (c *lostCaller) newResult(k *lostKind) *lostResult {
	c.sent++
	c.used++
	return &lostResult{id: fmt.Sprintf("%s.%s-%d", c.vm.name, c.prefix, c.sent), vm: c.vm.name, process: c.vm.currentProcess(), kind: k, first: c.used == 1}
}

func (c *lostCaller) head(k *lostKind, id string) string {
	framing := ""
	switch {
	case k.parts > 0:
		framing = "Transfer-Encoding: chunked\r\n"
	case k.body > 0:
		framing = fmt.Sprintf("Content-Length: %d\r\n", k.body)
	}
	return k.method + " " + k.path + "1 HTTP/1.1\r\nHost: " + siteHost + "\r\nAuthorization: Bearer " + stableKey + "\r\nRequest-Id: " + id +
		fmt.Sprintf("\r\nDeadline-Ms: %d\r\n", lostDeadline.Milliseconds()) + k.header + framing + "\r\n"
}

// send sends one request. whole is false if it was not sent to its end.
func (c *lostCaller) send(k *lostKind) (r *lostResult, whole bool) {
	r = c.newResult(k)
	if _, err := io.WriteString(c.conn, c.head(k, r.id)); err != nil {
		return r, false
	}
	if k.expects && !c.awaitContinue(r) {
		return r, r.status > 0
	}
	whole = c.sendBody(k)
	r.sent = time.Now()
	return r, whole
}

// awaitContinue returns false if the VM answers at once, and then records that answer.
func (c *lostCaller) awaitContinue(r *lostResult) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	line, err := c.reader.Peek(len("HTTP/1.1 100"))
	if err != nil {
		return false
	}
	if strings.HasSuffix(string(line), " 100") {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	}
	r.sent = time.Now()
	return false
}

func (c *lostCaller) sendBody(k *lostKind) bool {
	if k.parts == 0 {
		_, err := io.WriteString(c.conn, strings.Repeat("b", k.body))
		return err == nil
	}
	size := k.body / k.parts
	for range k.parts {
		time.Sleep(c.rand(k.gap))
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", size, strings.Repeat("b", size)); err != nil {
			return false
		}
	}
	time.Sleep(c.rand(k.gap))
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err == nil
}

// finish reads the response to a request that was sent whole, and records it.
func (c *lostCaller) finish(r *lostResult, whole bool) {
	if !whole && r.sent.IsZero() {
		c.drop()
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.kind.method})
	closes := true
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		r.status, r.events, closes = resp.StatusCode, strings.Count(string(text), "data: "), resp.Close
	}
	r.err, r.ended = err, time.Now()
	if whole {
		c.load.mu.Lock()
		c.load.results = append(c.load.results, *r)
		c.load.mu.Unlock()
	}
	if err != nil || closes || !whole || strings.HasPrefix(r.kind.header, "Connection: close") {
		c.drop()
	}
}

package callerlimits

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// crowd is the number of callers outside the limits.
	crowd = 600
	// headBytes is just below the limit on the head of a request, 64 KiB.
	headBytes = 62 << 10
	// endlessBytes bounds what a caller sends of a head or of empty lines without end.
	endlessBytes = 2 << 20
	// sendLimit bounds how long a caller sends, holdTime how long the crowd then stays.
	sendLimit, holdTime = 5 * time.Second, time.Second
)

// caller sends something outside the limits on its connection. The connection stays open
// after it has returned.
type caller func(net.Conn)

// send writes b. Errors say that the VM has closed the connection, which it may.
func send(parts ...[]byte) caller {
	return func(c net.Conn) {
		for _, b := range parts {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}
}

var (
	beginOfHead = []byte("POST /book/1 HTTP/1.1\r\nHost: " + host + "\r\n")
	longLine    = append([]byte("X-Long: "), bytes.Repeat([]byte("x"), headBytes)...)
)

// ordinaryHead is the head of a request that is served.
func ordinaryHead(id string, bodyBytes int) []byte {
	return fmt.Appendf(nil, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		host, id, apiKey, bodyBytes)
}

// runCrowd lets every caller send at once and checks the VM while their connections are held
// and after an ordinary request.
func runCrowd(d *daemon, address string, behaviour func(n int) caller) {
	d.t.Helper()
	runCrowdOf(crowd, d, address, behaviour)
}

// runCrowdOf is runCrowd with another number of callers.
func runCrowdOf(size int, d *daemon, address string, behaviour func(n int) caller) {
	d.t.Helper()
	conns := make([]net.Conn, size)
	var group sync.WaitGroup
	for n := range size {
		group.Go(func() {
			c, err := net.DialTimeout("tcp", address, sendLimit)
			if err != nil {
				return
			}
			conns[n] = c
			_ = c.SetDeadline(time.Now().Add(sendLimit))
			behaviour(n)(c)
		})
	}
	group.Wait()
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}()
	time.Sleep(holdTime)
	d.check()
	d.awaitAnswer(answerLimit)
	d.check()
	d.t.Logf("resident memory peaked at %d MB, %d descriptors are open", d.peakMemory()>>20, d.descriptors())
}

// listeners are the listeners of an entry VM that serve HTTP.
var listeners = map[string]func(*daemon) string{
	"callers": func(d *daemon) string { return d.callers },
	"ready":   func(d *daemon) string { return d.ready },
	"metrics": func(d *daemon) string { return d.metrics },
}

// atEachListener runs a crowd at each listener of an entry VM, with a VM of its own.
func atEachListener(t *testing.T, behaviour caller) {
	for name, address := range listeners {
		t.Run(name, func(t *testing.T) {
			d := startEntry(t)
			runCrowd(d, address(d), func(int) caller { return behaviour })
		})
	}
}

// Guards against heads that stay just under the limit and then stop: each was held until its
// time limit, and no bound covered them together.
func TestSilentHeads(t *testing.T) { atEachListener(t, send(beginOfHead, longLine)) }

// Guards against heads without end: the listeners for readiness and metrics had the limit of
// package net/http, 1 MB.
func TestEndlessHeads(t *testing.T) {
	atEachListener(t, send(beginOfHead, []byte("X-Long: "), bytes.Repeat([]byte("x"), endlessBytes)))
}

// Guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) {
	atEachListener(t, send(bytes.Repeat([]byte("\r\n"), endlessBytes/2)))
}

// Guards against empty lines between two requests, after which the lines of the second head were
// not counted: 62 KiB of short lines take 1.1 MB when parsed.
func TestEmptyLinesBeforeShortLines(t *testing.T) {
	d := startEntry(t)
	runCrowd(d, d.callers, func(n int) caller {
		return func(c net.Conn) {
			send(ordinaryHead(fmt.Sprintf("first-%d", n), 0))(c)
			readAnswers(c, 1)
			send([]byte("\r\n\r\n"), beginOfHead, bytes.Repeat([]byte("a:\r\n"), headBytes/4))(c)
		}
	})
}

// Guards against kept connections that fall silent between requests.
func TestSilentKeptConnections(t *testing.T) {
	d := startEntry(t)
	runCrowd(d, d.callers, func(n int) caller {
		return func(c net.Conn) {
			send(ordinaryHead(fmt.Sprintf("kept-%d", n), 0))(c)
			readAnswers(c, 1)
		}
	})
}

// readAnswers reads up to n answers.
func readAnswers(c net.Conn, n int) {
	reader := bufio.NewReader(c)
	for range n {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

// Guards against slow heads that take the memory which bodies of other requests need.
func TestSlowHeadsBesideLargeBodies(t *testing.T) {
	const (
		// bodyBytes is just below the limit on a body in the stand-in's configuration.
		bodyBytes = 63 << 10
		// slowParts is the number of parts in which a slow head arrives.
		slowParts = 16
	)
	body := bytes.Repeat([]byte("b"), bodyBytes)
	d := startEntry(t)
	runCrowd(d, d.callers, func(n int) caller {
		if n%2 == 0 {
			return send(ordinaryHead(fmt.Sprintf("large-%d", n), bodyBytes), body[:bodyBytes-1])
		}
		return func(c net.Conn) {
			send(beginOfHead)(c)
			for part := range slowParts {
				send(longLine[part*len(longLine)/slowParts : (part+1)*len(longLine)/slowParts])(c)
				time.Sleep(holdTime / slowParts)
			}
		}
	})
}

// Guards against pipelined requests, and a head after them that stays just under the limit.
func TestPipelinedRequests(t *testing.T) {
	const requests = 8
	d := startEntry(t)
	runCrowd(d, d.callers, func(n int) caller {
		var all []byte
		for i := range requests {
			all = append(all, ordinaryHead(fmt.Sprintf("pipelined-%d-%d", n, i), 0)...)
		}
		return send(all, beginOfHead, longLine)
	})
}

package callerlimits

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

const (
	// bodyCrowd is the number of connections on which callers send bodies. Each is opened again
	// as soon as the VM has closed it.
	bodyCrowd = 40
	// bodyLimit is the limit on a body in the configuration of these tests.
	bodyLimit = 4 << 20
	// bodyParts is the number of parts in which a body arrives that is sent piece by piece.
	bodyParts = 64
	// overLimitBytes bounds what a caller sends of a body far over the limit on one connection.
	overLimitBytes = 4 * bodyLimit
)

// largeBodyConfig is the configuration of the stand-in with bodies of up to bodyLimit, and time
// for them.
func largeBodyConfig() []byte {
	config := string(userplatform.Config(2, apiKey))
	config = strings.Replace(config, `"maxBodyBytes":65536`, fmt.Sprintf(`"maxBodyBytes":%d`, bodyLimit), 1)
	return []byte(strings.Replace(config, `"timeoutMs":1000`, `"timeoutMs":20000`, 1))
}

// bodyHead is the head of a request whose body is framed by the given line.
func bodyHead(framing string) []byte {
	return fmt.Appendf(nil, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: body-%d\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
		host, time.Now().UnixNano(), apiKey, framing)
}

// withHead sends the head of a request and then parts of its body.
func withHead(framing string, parts ...[]byte) caller {
	return func(c net.Conn) { send(append([][]byte{bodyHead(framing)}, parts...)...)(c) }
}

// pieces divides a body into bodyParts parts.
func pieces(body []byte) [][]byte {
	var parts [][]byte
	size := len(body) / bodyParts
	for ; len(body) > size; body = body[size:] {
		parts = append(parts, body[:size])
	}
	return append(parts, body)
}

// repeat sends b until n bytes were sent.
func repeat(c net.Conn, b []byte, n int) {
	for sent := 0; sent < n; sent += len(b) {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

const chunked = "Transfer-Encoding: chunked"

var (
	announced     = fmt.Sprintf("Content-Length: %d", bodyLimit)
	wholeBody     = bytes.Repeat([]byte("b"), bodyLimit)
	bodyLessAByte = wholeBody[:bodyLimit-1]
	// largeChunk is a chunk of 1 MiB, smallChunks as many bytes of chunks as the VM reads at once.
	largeChunk     = append(append([]byte("100000\r\n"), wholeBody[:1<<20]...), "\r\n"...)
	smallChunks    = bytes.Repeat([]byte("1\r\nb\r\n"), 64<<10)
	extendedChunks = bytes.Repeat([]byte("1;name=value\r\nb\r\n"), 32<<10)
)

// bodyBehaviours are callers whose bodies stop short, are far over the limit, or are many.
var bodyBehaviours = map[string]caller{
	"less its last byte":            withHead(announced, bodyLessAByte),
	"less its last byte, in pieces": withHead(announced, pieces(bodyLessAByte)...),
	"chunks of 1 MiB":               withHead(chunked, largeChunk, largeChunk, largeChunk, largeChunk[:1<<20]),
	"chunks of one byte":            withHead(chunked, smallChunks, smallChunks),
	"chunks with extensions":        withHead(chunked, extendedChunks, extendedChunks),
	"without the last chunk":        withHead(chunked, largeChunk, largeChunk, largeChunk),
	"half a chunk":                  withHead(chunked, []byte("3fffff\r\n"), wholeBody[:bodyLimit/2]),
	"100 GB announced":              overLimit("Content-Length: 100000000000", wholeBody),
	"a length beyond 64 bits":       overLimit("Content-Length: 99999999999999999999999", wholeBody),
	"chunks without end":            overLimit(chunked, largeChunk),
	"a chunk of 2^62 bytes":         withHead(chunked, []byte("4000000000000000\r\n"), wholeBody),
	"announced, never sent":         withHead(announced),
	"half of it after 100 Continue": func(c net.Conn) {
		send(bodyHead(announced + "\r\nExpect: 100-continue"))(c)
		if _, err := c.Read(make([]byte, len("HTTP/1.1 100"))); err == nil {
			send(wholeBody[:bodyLimit/2])(c)
		}
	},
	"whole": withHead(announced, wholeBody),
}

// overLimit sends a body far over the limit.
func overLimit(framing string, part []byte) caller {
	return func(c net.Conn) {
		withHead(framing)(c)
		repeat(c, part, overLimitBytes)
	}
}

// reopened lets a caller send on one connection after the other, each held until the VM closes it
// or sendLimit has passed. The last one is held until the end of the test.
func reopened(d *daemon, behaviour caller) caller {
	return func(c net.Conn) {
		for end := time.Now().Add(sendLimit); ; {
			behaviour(c)
			_, _ = io.Copy(io.Discard, c) // Ends with the connection, or at its deadline.
			if !time.Now().Before(end) {
				return
			}
			again, err := net.DialTimeout("tcp", d.callers, sendLimit)
			if err != nil {
				return
			}
			_ = c.Close()
			_ = again.SetDeadline(end)
			d.t.Cleanup(func() { _ = again.Close() })
			c = again
		}
	}
}

// Guards against bodies that stop short of their end, are far over the limit, or are many at once:
// in a trial they ended a process, which ran out of memory.
func TestBodiesThatFillTheMemory(t *testing.T) {
	for name, behaviour := range bodyBehaviours {
		t.Run(name, func(t *testing.T) {
			d := startEntryWith(t, largeBodyConfig())
			runCrowdOf(bodyCrowd, d, d.callers, func(int) caller { return reopened(d, behaviour) })
		})
	}
}

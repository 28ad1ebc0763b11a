package review

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is one consumer attempt.
type call struct {
	id, method, path, body string
	headers                map[string]string
	timeLimit              time.Duration
	// gap is how long the consumer waits for the next bytes of a stream.
	gap time.Duration
}

// outcome is what the consumer has seen.
type outcome struct {
	sentAt, readAt, endAt time.Duration
	status                int
	signed                bool
	notRunAfter           string
	body                  []byte
	events                []int
	// complete is set if a whole answer arrived. gaveUp is set if the consumer left.
	complete, gaveUp bool
	err              error
	closed           bool
}

var lastID atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s-%04d", prefix, lastID.Add(1)) }

func (c call) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path, host, c.id, c.timeLimit.Milliseconds(), apiKey)
	for k, v := range c.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.Bytes()
}

// consumer is a connection of a consumer.
type consumer struct {
	net.Conn
	r *bufio.Reader
}

func connect(address string) (*consumer, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{c, bufio.NewReader(c)}, nil
}

// do sends a call on an open connection and reads the answer.
func (k *consumer) do(c call) (o outcome) {
	o.sentAt = since()
	defer func() { o.endAt = since() }()
	limit := time.Now().Add(c.timeLimit)
	if _, err := k.Write(c.bytes()); err != nil {
		o.err = err
		return o
	}
	wait := func() {
		d := limit
		if c.gap > 0 && time.Now().Add(c.gap).Before(d) {
			d = time.Now().Add(c.gap)
		}
		_ = k.SetReadDeadline(d)
	}
	fail := func(err error) outcome {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			o.gaveUp = true
		} else {
			o.closed = true
		}
		o.err = err
		return o
	}
	wait()
	resp, err := http.ReadResponse(k.r, &http.Request{Method: c.method})
	if err != nil {
		return fail(err)
	}
	o.readAt, o.status, o.signed = since(), resp.StatusCode, resp.Header.Get("Response-Signature") != ""
	if got := resp.Header.Get("Request-Id"); got != c.id {
		o.err = fmt.Errorf("answer of %q", got)
	}
	buffer := make([]byte, 4096)
	for {
		wait()
		n, err := resp.Body.Read(buffer)
		o.body = append(o.body, buffer[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil {
			return fail(err)
		}
	}
	o.complete = true
	o.events = eventIDs(o.body)
	return o
}

func eventIDs(body []byte) []int {
	var ids []int
	for line := range strings.SplitSeq(string(body), "\n") {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(v))
			ids = append(ids, n)
		}
	}
	return ids
}

// send makes a call on a new connection.
func send(address string, c call) outcome {
	k, err := connect(address)
	if err != nil {
		return outcome{sentAt: since(), endAt: since(), err: err}
	}
	defer k.Close()
	return k.do(c)
}

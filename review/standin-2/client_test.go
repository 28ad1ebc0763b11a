package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client has got for a request.
type outcome struct {
	status   int
	events   int
	complete bool
	err      error
	header   http.Header
}

const (
	host   = "site.example"
	apiKey = "xd9dnn2ctnfzs989anu6"
)

// send sends a request over a new connection, and reads the whole answer.
func send(rec *record, to, path, id, body string, fields map[string]string) outcome {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer c.Close()
	b := &strings.Builder{}
	fmt.Fprintf(b, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", path, host, id, apiKey, len(body))
	for k, v := range fields {
		fmt.Fprintf(b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(b, "\r\n%s", body)
	rec.add("client: sends %s to %s%s %v", id, to, path, fields)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		rec.add("client: %s gets no answer: %v", id, err)
		return outcome{err: err}
	}
	defer resp.Body.Close()
	out := outcome{status: resp.StatusCode, header: resp.Header}
	lines := bufio.NewScanner(resp.Body)
	text := ""
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			out.events++
		} else if len(text) < 300 {
			text += lines.Text() + " "
		}
	}
	out.err = lines.Err()
	out.complete = out.err == nil
	if resp.StatusCode == 200 {
		text = ""
	}
	rec.add("client: %s gets %d with %d events, complete %v, error %v %s", id, out.status, out.events, out.complete, out.err, strings.TrimSpace(text))
	return out
}

// keptClient sends short streams one after another over a connection that is kept. It counts the
// requests whose connection was closed without a byte of an answer.
func keptClient(b *bench, v *vm, name string, stop <-chan struct{}, unanswered func(id string)) {
	var c net.Conn
	var in *bufio.Reader
	for n, served := 0, 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", v.front, time.Second); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			in, served = bufio.NewReader(c), 0
		}
		id := fmt.Sprintf("%s-%d", name, n)
		c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "POST /check/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 6000\r\nModel: m\r\nToken-Count: 350,12\r\nLength-Hint: 12\r\nPrompt-Prefix: c3:300,%s:50\r\nContent-Length: 6\r\n\r\nprompt",
			host, id, apiKey, id)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			b.record.add("client: %s gets no answer after %d on its connection: %v", id, served, err)
			if served > 0 && b.fleet.hasArrived(id) {
				unanswered(id)
			}
			c.Close()
			c = nil
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		served++
		if err != nil || resp.Close {
			c.Close()
			c = nil
		}
		if resp.StatusCode != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

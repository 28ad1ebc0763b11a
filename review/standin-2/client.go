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

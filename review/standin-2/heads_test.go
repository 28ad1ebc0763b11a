package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["long-prefixes"] = longPrefixes }

const (
	// crowd is the number of clients that come at once.
	crowd = 1000
	// prefixParts is the number of parts of their prompts. The head stays below maxHeaderBytes, 16,384.
	prefixParts = 3160
	// sound is the number of clients that book over kept connections.
	sound = 24
)

// longPrefixes serves sound clients beside a crowd at one entry VM. With trouble, the
// crowd sends prompts of many small parts; without, ordinary ones.
func longPrefixes(b *bench) (result, error) {
	for n := range 2 {
		if _, err := b.fleet.startWorker(fmt.Sprintf("i-worker%d", n), "drafter", zones[n], 24); err != nil {
			return notRun, err
		}
	}
	for n := range 3 {
		w, err := b.fleet.startWorker(fmt.Sprintf("i-desk%d", n), "jobdesk", zones[n], 6)
		if err != nil {
			return notRun, err
		}
		w.plain = true
	}
	if err := b.start(3, 100); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var unanswered []string
	ends, peaks := make([]int, len(b.vms)), make([]int, len(b.vms))
	for i, v := range b.vms {
		all.Go(func() { b.enforceMemory(v, stop, &peaks[i], &ends[i]) })
	}
	for n := range sound {
		all.Go(func() {
			bookingClient(b, b.vms[0], fmt.Sprintf("book-%d", n), stop, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				unanswered = append(unanswered, id)
			})
		})
	}
	time.Sleep(5 * time.Second)
	prefix, tokens := "a1:79,b2:121", 200
	if b.trouble {
		prefix, tokens = strings.Repeat("a1:4,", prefixParts)+"b2:121", 4*prefixParts+121
	}
	b.record.add("a crowd of %d clients comes to %s, with a Prompt-Prefix of %d bytes", crowd, b.vms[0].name, len(prefix))
	for n := range crowd {
		all.Go(func() { crowdClient(b, b.vms[0], n, prefix, tokens, stop) })
	}
	time.Sleep(25 * time.Second)
	close(stop)
	all.Wait()
	for i, v := range b.vms {
		b.record.say("%s: peak of anonymous memory %d kB, ended %d times for memory", v.name, peaks[i], ends[i])
	}
	b.record.say("%d requests of sound clients from kept connections were with a worker and got no answer", len(unanswered))
	if len(unanswered) > maxUnanswered {
		b.record.say("LOST is broken")
		return broken, nil
	}
	b.record.say("LOST held")
	return held, nil
}

// crowdClient sends drafts one after another, each over a connection of its own.
func crowdClient(b *bench, v *vm, n int, prefix string, tokens int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", v.front, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(16 * time.Second))
		fmt.Fprintf(c, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 15000\r\nModel: m\r\nToken-Count: %d,200\r\nLength-Hint: 10\r\nPrompt-Prefix: %s\r\nContent-Length: 6\r\n\r\nprompt",
			host, n, i, apiKey, tokens, prefix)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		c.Close()
	}
}

// bookingClient books one deposit after another over a connection that is kept.
func bookingClient(b *bench, v *vm, name string, stop <-chan struct{}, unanswered func(id string)) {
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
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 1000\r\nContent-Length: 7\r\n\r\ndeposit", host, id, apiKey)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			arrived := len(b.fleet.spansOf(id)) > 0
			b.record.add("client: %s gets no answer after %d on its connection, reached a worker: %v, %v", id, served, arrived, err)
			if served > 0 && arrived {
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
	}
}

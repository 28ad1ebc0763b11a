package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// softwareStream is a stream and what its caller saw of it in all attempts.
type softwareStream struct {
	kind kind
	name string
	// vm is the VM that took it first.
	vm       *vm
	attempts []streamAttempt
	events   []userplatform.Event
	// done is closed when the first attempt has ended.
	done chan struct{}
}

// streamAttempt is a request for a stream and its response.
type streamAttempt struct {
	id, vm string
	// takesUp is set if it takes the stream up.
	takesUp    bool
	took       time.Duration
	status     int
	retryAfter string
	events     int
	err        error
}

func (a streamAttempt) String() string {
	return fmt.Sprintf("%s at %s, status %d, %d events, %v, %v", a.id, a.vm, a.status, a.events, a.took.Round(time.Millisecond), a.err)
}

// refused reports whether the VM refused the attempt as one that may come back.
func (a streamAttempt) refused() bool {
	return a.err == nil && a.status == http.StatusServiceUnavailable && a.retryAfter != ""
}

func (a streamAttempt) goesOn() bool { return a.status == http.StatusOK && a.events > 0 }

func (s *softwareStream) attemptID(v *vm, n int) string {
	return requestID(v, s.name+"-try-"+strconv.Itoa(n))
}

// version returns the software version that began the stream, "" before its first event.
func (s *softwareStream) version() string {
	if len(s.events) == 0 {
		return ""
	}
	return s.events[0].Version
}

// whole reports whether the last attempt ended as the end of the stream does.
func (s *softwareStream) whole() bool {
	last := s.attempts[len(s.attempts)-1]
	return last.err == nil && last.status == http.StatusOK
}

// joined reports whether the stream holds events of two versions, or lacks one or holds one twice.
func (s *softwareStream) joined() bool {
	for i, e := range s.events {
		if e.Version != s.version() || e.ID != i+1 {
			return true
		}
	}
	return s.whole() && len(s.events) != softwareEvents
}

// begin lets callers begin streams at all VMs, one after the other within a time.
func (l *softwareLoad) begin(k kind, n int, spread time.Duration) {
	for i := range n {
		s := &softwareStream{kind: k, name: fmt.Sprintf("%s-%d", k, i), vm: l.vms[i%len(l.vms)], done: make(chan struct{})}
		l.streams = append(l.streams, s)
		l.callers.Go(func() {
			defer close(s.done)
			time.Sleep(spread * time.Duration(i) / time.Duration(n))
			l.attempt(l.t.Context(), s, s.vm)
		})
	}
}

// awaitBegins waits until engines have worked on all streams for a while.
func (l *softwareLoad) awaitBegins() {
	waits := func(s *softwareStream) bool { return len(l.fleet.Runs(s.attemptID(s.vm, 0))) == 0 }
	for begin := time.Now(); slices.ContainsFunc(l.streams, waits) && time.Since(begin) < longestBegin; {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(beforeKill)
}

// awaitStreams waits for the ends of the first attempts of some streams.
func (l *softwareLoad) awaitStreams(of func(*softwareStream) bool) {
	for _, s := range l.streams {
		if of(s) {
			<-s.done
		}
	}
}

// takeUp lets callers take up those of some streams that broke off, each at another VM than before,
// and waits for the ends.
func (l *softwareLoad) takeUp(of func(*softwareStream) bool, vms []*vm) {
	var ended []*softwareStream
	for _, s := range l.streams {
		if of(s) && s.kind == kindCheck && len(s.events) > 0 && !s.whole() {
			ended = append(ended, s)
		}
	}
	done := make(chan struct{})
	for i, s := range ended {
		next := vms[i%len(vms)]
		if next == s.vm {
			next = vms[(i+1)%len(vms)]
		}
		go func() {
			l.attempt(l.t.Context(), s, next)
			done <- struct{}{}
		}()
	}
	for range ended {
		<-done
	}
}

// attempt sends a request for a stream, which takes it up if it has events.
func (l *softwareLoad) attempt(ctx context.Context, s *softwareStream, v *vm) {
	a := streamAttempt{id: s.attemptID(v, len(s.attempts)), vm: v.name, takesUp: len(s.events) > 0}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := l.send(ctx, s, v, a.id)
	if a.err = err; err == nil {
		defer resp.Body.Close()
		var text []byte
		text, a.err = io.ReadAll(resp.Body)
		a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		if a.status == http.StatusOK {
			events := userplatform.ParseEvents(string(text))
			a.events, s.events = len(events), append(s.events, events...)
		}
	}
	a.took = time.Since(sent)
	if a.took > softwareSlow {
		l.t.Logf("slow: %v; executions %v\n%s", a, l.fleet.Executions(a.id), l.linesOf(v.name, "request="+a.id+" "))
	}
	s.attempts = append(s.attempts, a)
}

func (l *softwareLoad) send(ctx context.Context, s *softwareStream, v *vm, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/"+s.kind.String()+"/"+s.name, strings.NewReader("prompt"))
	if err != nil {
		return nil, err
	}
	req.Host, req.Header = siteHost, userplatform.CallerHeaders(id, stableKey)
	// The stride of userplatform.Config is 4 tokens for each event.
	req.Header.Set("Token-Count", "300,"+strconv.Itoa(4*softwareEvents))
	if len(s.events) > 0 {
		userplatform.SetTakenUp(req.Header, s.events[0].Request, len(s.events))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// beginsStream reports whether a VM begins a stream, which is then abandoned.
func (l *softwareLoad) beginsStream(ctx context.Context, v *vm, n int) bool {
	s := &softwareStream{kind: kindCheck, name: "probe"}
	resp, err := l.send(ctx, s, v, requestID(v, fmt.Sprintf("probe-%d-%d", time.Now().UnixNano(), n)))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	return err == nil && resp.StatusCode == http.StatusOK
}

// streamCounts counts the streams of a case, and the take-ups.
type streamCounts struct {
	streams, whole, cut, notBegun, joined   int
	takeUps, wentOn, refused, otherAnswered int
}

func (c streamCounts) String() string {
	return fmt.Sprintf("%d streams: %d complete, %d cut, %d without an event, %d joined; %d take-ups: %d went on, %d refused with 503 and Retry-After, %d answered otherwise",
		c.streams, c.whole, c.cut, c.notBegun, c.joined, c.takeUps, c.wentOn, c.refused, c.otherAnswered)
}

// count counts the streams that a version began, all if it is "".
func (l *softwareLoad) count(version string) (c streamCounts) {
	for _, s := range l.streams {
		if version != "" && s.version() != version {
			continue
		}
		c.streams++
		switch {
		case len(s.events) == 0:
			c.notBegun++
		case s.whole():
			c.whole++
		default:
			c.cut++
		}
		if s.joined() {
			c.joined++
		}
		for _, a := range s.attempts {
			switch {
			case !a.takesUp:
				continue
			case a.goesOn():
				c.wentOn++
			case a.refused():
				c.refused++
			default:
				c.otherAnswered++
			}
			c.takeUps++
		}
	}
	return c
}

// checkStreams reports the counts, and each joined stream.
func (l *softwareLoad) checkStreams() {
	all := l.count("")
	l.t.Log(all)
	if all.notBegun > all.streams/4 {
		l.t.Errorf("%d of %d streams brought no event", all.notBegun, all.streams)
	}
	if all.joined == 0 {
		return
	}
	l.t.Errorf("%d of %d streams are joined", all.joined, all.streams)
	i := slices.IndexFunc(l.streams, (*softwareStream).joined)
	l.t.Logf("one of them: %v, events %s", l.streams[i].attempts, describeEvents(l.streams[i].events))
}

// describeEvents returns the attempts and versions from which events are, and the first event of each.
func describeEvents(events []userplatform.Event) string {
	var parts []string
	for i, e := range events {
		if i == 0 || e.Request != events[i-1].Request || e.Version != events[i-1].Version || e.ID != events[i-1].ID+1 {
			parts = append(parts, fmt.Sprintf("from %d at %s by %s", e.ID, e.Version, e.Request))
		}
	}
	return strings.Join(parts, ", ")
}

// checkWhole checks that at least half of the streams are complete, which is due beside engines that
// leave or crash while others of their version serve.
func (l *softwareLoad) checkWhole() {
	if c := l.count(""); 2*c.whole < c.streams {
		l.t.Errorf("%d of %d streams are complete", c.whole, c.streams)
	}
}

// checkShare checks that at least half of the take-ups of a version, of all if it is "", go on. That is
// due if there are 12 or more.
func (l *softwareLoad) checkShare(version string) {
	c := l.count(version)
	if version != "" {
		l.t.Logf("%s: %v", version, c)
	}
	if c.takeUps >= 12 && 2*c.wentOn < c.takeUps {
		l.t.Errorf("%d of %d take-ups went on, although engines of their version serve", c.wentOn, c.takeUps)
	}
}

// checkRefusals checks that all take-ups of a version that has left are refused at once.
func (l *softwareLoad) checkRefusals(version string) {
	c := l.count(version)
	l.t.Logf("%s, which has left: %v", version, c)
	if c.takeUps == 0 || c.refused < c.takeUps {
		l.t.Errorf("%d of %d take-ups at %s, which has left, were refused with 503 and Retry-After", c.refused, c.takeUps, version)
	}
	for _, s := range l.streams {
		for _, a := range s.attempts {
			if s.version() == version && a.takesUp && a.refused() && a.took > refusalTime {
				l.t.Errorf("%s was refused after %v", a.id, a.took.Round(time.Millisecond))
			}
		}
	}
}

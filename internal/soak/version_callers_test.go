package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// versionResult is a draft and what its caller saw.
type versionResult struct {
	id, vm      string
	chunked     bool
	sent, ended time.Time
	status      int
	events      int
	err         error
}

// sendDrafts sends one draft after another, each to the VM that most of this caller's go to.
func (l *versionLoad) sendDrafts(ctx context.Context, r *rand.Rand, client *http.Client, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		v := l.vms[caller%len(l.vms)]
		if r.IntN(4) == 0 {
			v = l.vms[r.IntN(len(l.vms))]
		}
		gap := time.Duration(0)
		if r.IntN(2) == 0 {
			gap = maxChunkGap
		}
		// A draft that was sent is read to its end after the load has ended.
		one, cancel := context.WithTimeout(l.t.Context(), draftDeadline)
		result := l.sendDraft(one, r, client, v, fmt.Sprintf("d%d-%d", caller, n), gap)
		cancel()
		l.mu.Lock()
		l.results = append(l.results, result)
		l.mu.Unlock()
		time.Sleep(requestPause)
	}
}

// chunkedBody is a body that is sent in chunks with pauses of up to gap.
type chunkedBody struct {
	parts  int
	gap    time.Duration
	random *rand.Rand
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(time.Duration(b.random.Int64N(int64(b.gap))))
	return copy(p, "part of a prompt"), nil
}

// newDraftClient returns a client that keeps its connections, or opens one for each request.
func newDraftClient(kept bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
}

func (l *versionLoad) sendDraft(ctx context.Context, r *rand.Rand, client *http.Client, v *vm, name string, gap time.Duration) (out versionResult) {
	out = versionResult{id: requestID(v, name), vm: v.name, chunked: gap > 0}
	var body io.Reader = strings.NewReader("prompt")
	if gap > 0 {
		body = &chunkedBody{parts: chunkedBodyParts, gap: gap, random: r}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/draft/"+out.id, body)
	if err != nil {
		l.t.Error(err)
		return out
	}
	req.Host, req.Header = siteHost, userplatform.CallerHeaders(out.id, stableKey)
	req.Header.Set("Token-Count", "3000,932")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(draftDeadline.Milliseconds(), 10))
	out.sent = time.Now()
	defer func() { out.ended = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	out.err, out.events = err, strings.Count(string(text), "data: ")
	return out
}

func (l *versionLoad) sendBooks(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		v := l.vms[(caller+n)%len(l.vms)]
		one, cancel := context.WithTimeout(l.t.Context(), callerTimeout)
		_ = exchange(one, client, &request{id: requestID(v, fmt.Sprintf("b%d-%d", caller, n)), kind: kindBook, vm: v, key: stableKey})
		cancel()
		time.Sleep(requestPause)
	}
}

// report counts the outcomes, and reports each draft that a VM has cut although all its
// engines were sound.
func (l *versionLoad) report() {
	outcomes := map[string]int{}
	for _, r := range l.results {
		outcome := l.outcome(r)
		outcomes[outcome]++
		if outcome == "cut, engine sound" {
			l.t.Errorf("%s to %s, in chunks: %t, was cut after %v, %d events, status %d, %v after a version: %v; ran %v\n%s", r.id, r.vm, r.chunked,
				r.ended.Sub(r.sent).Round(time.Millisecond), r.events, r.status, l.sinceVersion(r.ended), r.err, l.fleet.Executions(r.id), l.logLines(r))
		}
	}
	l.t.Logf("%d drafts, %d versions: %v", len(l.results), len(l.versions), outcomes)
}

func (l *versionLoad) outcome(r versionResult) string {
	took := r.ended.Sub(r.sent)
	switch {
	case r.err == nil && r.status == http.StatusOK && r.events == draftEvents:
		return "whole"
	case r.err == nil && r.status == http.StatusOK:
		return "cut, engine sound" // It looks complete.
	case r.err == nil:
		return fmt.Sprint(r.status)
	case took >= shortTimeout && l.timedOut(r), took > draftDeadline-noticedCut:
		return "time-out"
	case len(l.fleet.Runs(r.id)) == 0 && l.isStopping(r.vm, r.ended):
		return "not read"
	}
	for _, e := range l.fleet.Executions(r.id) {
		if l.crashedDuring(e, r.ended) {
			return "cut, engine broke off"
		}
	}
	return "cut, engine sound"
}

// crashedDuring reports whether the engine of an execution has crashed between its begin and a time.
func (l *versionLoad) crashedDuring(e userplatform.Execution, end time.Time) bool {
	return slices.ContainsFunc(l.crashes[e.Server], func(at time.Time) bool { return at.After(e.Begin) && !at.After(end) })
}

// isStopping reports whether a VM stops at a time, or starts again after a stop.
func (l *versionLoad) isStopping(name string, at time.Time) bool {
	return slices.ContainsFunc(l.stoppedAt[name], func(stopped time.Time) bool {
		return at.After(stopped) && at.Before(stopped.Add(stopTimeout+startBound))
	})
}

// timedOut reports whether the VM ended a draft since its time was up.
func (l *versionLoad) timedOut(r versionResult) bool {
	lines := l.logLines(r)
	return strings.Contains(lines, "context deadline exceeded") || strings.Contains(lines, "i/o timeout")
}

func (l *versionLoad) sinceVersion(at time.Time) time.Duration {
	since := time.Duration(-1)
	for _, v := range l.versions {
		if v.Before(at) {
			since = at.Sub(v).Round(time.Millisecond)
		}
	}
	return since
}

// logLines returns the lines of the VM's log that name a request.
func (l *versionLoad) logLines(r versionResult) string {
	return l.linesOf(r.vm, "request="+r.id+" ")
}

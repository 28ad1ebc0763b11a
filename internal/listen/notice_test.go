package listen

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a drain that closes a connection as soon as an answer ends that could not
// announce the close, so that the next request on it gets no answer.
func TestDrainGivesNoticeAfterAnAnswerThatBeganBefore(t *testing.T) {
	l, release := startHeldServer(t)
	l.GiveNotice(Notice{Period: time.Minute})
	c := dial(t, l)
	drained := drainDuringAnswer(t, l, c, release)
	time.Sleep(5 * drainPollInterval)
	c.write(t, requestFor("second"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || !resp.Close {
		t.Errorf("the response closes its connection: %t, %v", resp.Close, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if n := l.Unannounced(); n != 0 {
		t.Errorf("%d connections count as ended without an announcement", n)
	}
}

// Guards against a notice that outlasts the drain: the connection would be cut at its end.
func TestNoticeEndsWithTheDrain(t *testing.T) {
	l, release := startHeldServer(t)
	l.GiveNotice(Notice{Period: time.Minute, Until: time.Now().Add(10 * drainPollInterval)})
	c := dial(t, l)
	if err := <-drainDuringAnswer(t, l, c, release); err != nil {
		t.Error(err)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the connection", err)
	}
	if n := l.Unannounced(); n != 1 {
		t.Errorf("%d connections count as ended without an announcement, want 1", n)
	}
}

// Guards against a drain that lasts to its limit for a new connection without a request: one that
// is read just before that is cut.
func TestNewConnectionsEndWithTheNotice(t *testing.T) {
	l, _ := startHeldServer(t)
	l.GiveNotice(Notice{Period: time.Minute, Until: time.Now().Add(10 * drainPollInterval)})
	c := dial(t, l)
	waitForConnections(t, l, 1)
	ctx, cancel := context.WithTimeout(t.Context(), firstRequestTimeout/2)
	defer cancel()
	if err := l.DrainConnections(ctx); err != nil {
		t.Errorf("the drain ended with %v", err)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

// Guards against a notice that counts from the begin of the drain, or from that of the answer.
func TestNoticeCountsFromTheLastAnswer(t *testing.T) {
	answered := time.Unix(100, 0)
	n := Notice{Period: 3 * time.Second, Until: answered.Add(5 * time.Second)}
	for _, test := range []struct {
		notice Notice
		after  time.Duration
		want   bool
	}{
		{n, 0, false},
		{n, 2999 * time.Millisecond, false},
		{n, 3 * time.Second, true},
		{Notice{Period: 9 * time.Second, Until: n.Until}, 4999 * time.Millisecond, false},
		{Notice{Period: 9 * time.Second, Until: n.Until}, 5 * time.Second, true},
		{Notice{Period: 9 * time.Second}, 8 * time.Second, false},
		{Notice{}, 0, true},
	} {
		if got := test.notice.over(answered.Add(test.after), answered); got != test.want {
			t.Errorf("%+v is over %v after the answer: %t, want %t", test.notice, test.after, got, test.want)
		}
	}
}

// startHeldServer serves a listener. The first answer ends when release is closed, and later ones
// announce the close of their connection.
func startHeldServer(t *testing.T) (l *Listener, release chan struct{}) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release = make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") != "first" {
			w.Header().Set("Connection", "close")
			return
		}
		_ = http.NewResponseController(w).Flush() // A failure shows in the answer.
		<-release
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, release
}

// drainDuringAnswer begins a drain while the first answer is sent, and reads the answer.
func drainDuringAnswer(t *testing.T, l *Listener, c *caller, release chan struct{}) (drained chan error) {
	t.Helper()
	c.write(t, requestFor("first"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	drained = make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	go func() { drained <- l.DrainConnections(ctx) }()
	<-l.ended
	close(release)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
		t.Fatalf("the first response closes its connection: %t, %v", resp.Close, err)
	}
	return drained
}

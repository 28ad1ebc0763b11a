package listen

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// largeAnswerBytes exceeds the window of a slowCaller, and fits into the send buffer of its server.
	largeAnswerBytes = 1 << 20
	// callerReceiveBuffer is the receive buffer of a slowCaller, which bounds its window.
	callerReceiveBuffer = 4 << 10
	// afterTheAnswer is how long a slowCaller waits after the server has written its answers:
	// longer than http.Server waits between the end of an answer and the close.
	afterTheAnswer = 800 * time.Millisecond
)

// largeServer answers with largeAnswerBytes. The path /close makes the answer close the
// connection, /refuse as well, and the body is not read then, /late answers once the body does
// not arrive in time.
type largeServer struct {
	l *Listener
	// entered receives when a handler begins, proceed lets it answer, answered receives when it has.
	entered, proceed, answered chan struct{}
	undelivered                chan Undelivered
}

func startLargeServer(t *testing.T, maxConnections int) *largeServer {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.LimitWith(nil, maxConnections)
	s := newLargeServer(l)
	l.ReportUndelivered(func(u Undelivered) { s.undelivered <- u })
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: s, MaxHeaderBytes: 1 << 10}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return s
}

func newLargeServer(l *Listener) *largeServer {
	return &largeServer{
		l: l, entered: make(chan struct{}, 8), proceed: make(chan struct{}, 8), answered: make(chan struct{}, 8),
		undelivered: make(chan Undelivered, 8),
	}
}

// ServeHTTP implements http.Handler.
func (s *largeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.entered <- struct{}{}
	<-s.proceed
	if r.URL.Path == "/late" {
		_ = DiscardBody(w, r, func() time.Duration { return unreadBodyPause / 10 })
	}
	if r.URL.Path != "/keep" {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", fmt.Sprint(largeAnswerBytes))
	_, _ = w.Write(make([]byte, largeAnswerBytes))
	s.answered <- struct{}{}
}

// dialSlow opens a connection with a small window.
func dialSlow(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerReceiveBuffer)
		})
	}}
	c, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Fatal(err)
	}
}

// checkLargeAnswer reads a whole answer.
func checkLargeAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if n, err := io.Copy(io.Discard, answer.Body); n != largeAnswerBytes {
		t.Errorf("got %d of %d bytes of the answer: %v", n, largeAnswerBytes, err)
	}
}

// slowCallers are callers that send something after their request.
var slowCallers = []struct {
	name string
	// request is sent first, during while it is handled, after once the server has answered.
	request, during, after string
	// refusal is the status of the answer that http.Server gives to what was sent during the
	// first one, if it gives any.
	refusal int
}{
	{name: "next request while the answer is made", request: "GET /close HTTP/1.1\r\nHost: h\r\n\r\n", during: testRequest},
	{name: "next request after the answer", request: "GET /close HTTP/1.1\r\nHost: h\r\n\r\n", after: testRequest},
	{name: "HTTP/1.0", request: "GET /close HTTP/1.0\r\n\r\n", after: testRequest},
	{name: "body of a refused request", request: "POST /close HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n", during: strings.Repeat("x", 600_000)},
	{name: "body after its time", request: "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", after: "xx"},
	{name: "malformed request", request: "GET /keep HTTP/1.1\r\nHost: h\r\n\r\n", during: "x\r\n\r\n" + strings.Repeat("x", 10_000), refusal: http.StatusBadRequest},
	{name: "large head", request: "GET /keep HTTP/1.1\r\nHost: h\r\n\r\n", during: "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 20_000) + "\r\n\r\n", refusal: http.StatusRequestHeaderFieldsTooLarge},
}

// Guards against answers of which the rest is lost since the connection is closed while the
// caller still sends: the kernel resets it and drops what the caller has not received.
func TestClosedConnectionDeliversItsAnswer(t *testing.T) {
	for _, test := range slowCallers {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startLargeServer(t, 0)
			c := dialSlow(t, s.l)
			send(t, c, test.request)
			<-s.entered
			send(t, c, test.during)
			s.proceed <- struct{}{}
			<-s.answered
			time.Sleep(afterTheAnswer)
			if test.after != "" {
				send(t, c, test.after)
				time.Sleep(afterTheAnswer / 10)
			}
			reader := bufio.NewReader(c)
			checkLargeAnswer(t, reader)
			if test.refusal == 0 {
				return
			}
			answer, err := http.ReadResponse(reader, nil)
			if err != nil || answer.StatusCode != test.refusal {
				t.Errorf("second answer: %v, %v", answer, err)
			}
		})
	}
}

// Guards against answers that are cut since the process ends before their callers have received
// them: the kernel then closes connections with bytes that were not read, and resets them.
func TestDrainConnectionsWaitsForAnswersInFlight(t *testing.T) {
	s := startLargeServer(t, 0)
	c := dialSlow(t, s.l)
	send(t, c, "GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	send(t, c, testRequest)
	s.proceed <- struct{}{}
	<-s.answered
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.l.DrainConnections(ctx) }()
	select {
	case err := <-drained:
		t.Fatalf("the drain ended before the caller had the answer: %v", err)
	case <-time.After(afterTheAnswer):
	}
	checkLargeAnswer(t, bufio.NewReader(c))
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against an answer that is lost since the next request on its connection arrives after a
// drain has closed that as idle.
func TestDrainConnectionsDeliversTheAnswerBefore(t *testing.T) {
	s := startLargeServer(t, 0)
	c := dialSlow(t, s.l)
	send(t, c, "GET /keep HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	s.proceed <- struct{}{}
	<-s.answered
	go func() { _ = s.l.DrainConnections(t.Context()) }()
	waitForConnections(t, s.l, 0)
	send(t, c, testRequest)
	time.Sleep(afterTheAnswer)
	checkLargeAnswer(t, bufio.NewReader(c))
	if len(s.entered) != 0 {
		t.Error("the request after the close was handled")
	}
}

// Guards against callers that never read, or never stop sending, and keep a closed connection, and
// against their answers not being reported.
func TestLingeringEnds(t *testing.T) {
	for name, request := range map[string]string{
		"caller does not read":     "GET /close HTTP/1.1\r\nHost: h\r\n\r\n",
		"caller sends without end": "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startLargeServer(t, 0)
			c := dialSlow(t, s.l)
			send(t, c, request)
			<-s.entered
			s.proceed <- struct{}{}
			<-s.answered
			go func() { _, _ = io.Copy(c, neverEnding{}) }()
			waitForClose(t, s.l, lingerTime/2)
			if u := <-s.undelivered; u.Bytes == 0 || u.Lingered == 0 {
				t.Errorf("reported %+v", u)
			}
		})
	}
}

// neverEnding is a reader of zeros.
type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// waitForClose waits until no connection is open.
func waitForClose(t *testing.T, l *Listener, limit time.Duration) {
	t.Helper()
	for begin := time.Now(); l.openConnections() > 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > limit {
			t.Fatalf("%d connections are open after %v", l.openConnections(), limit)
		}
	}
}

// Guards against a crowd of callers that do not read and take all connections of a listener after
// their requests.
func TestFewConnectionsLinger(t *testing.T) {
	const callers = 6
	s := startLargeServer(t, 2*lingeringDivisor) // Two may linger.
	for range callers {
		c := dialSlow(t, s.l)
		send(t, c, "GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.entered
		s.proceed <- struct{}{}
		<-s.answered
	}
	for begin := time.Now(); s.l.openConnections() > 2; time.Sleep(time.Millisecond) {
		if time.Since(begin) > lingerStall/2 {
			t.Fatalf("%d connections linger, want 2", s.l.openConnections())
		}
	}
	if n := s.l.lingers(); n != 2 {
		t.Errorf("%d connections linger, want 2", n)
	}
	if n := len(s.undelivered); n != callers-2 {
		t.Errorf("%d answers are reported, want %d", n, callers-2)
	}
}

// Guards against connections that linger although nothing is in flight, which would delay each
// stop.
func TestCloseWithoutBytesInFlightDoesNotLinger(t *testing.T) {
	open := make(chan struct{})
	close(open)
	l, closing := startServer(t, open)
	close(closing)
	for range 20 {
		c := dial(t, l)
		c.write(t, testRequest)
		c.checkAnswered(t)
		_ = c.Close()
	}
	waitForClose(t, l, lingerQuiet/2)
}

// Guards against an answer of a cut request that looks complete, since its connection lingers
// instead of being reset.
func TestResetOnCloseDoesNotLinger(t *testing.T) {
	c, server := acceptOne(t)
	server.l.ConnState(server, http.StateActive)
	c.write(t, testRequest)
	if _, err := server.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	if err := ResetOnClose(ConnContext(t.Context(), server)); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if _, err := io.ReadAll(c); err == nil {
		t.Error("the connection ends without a reset")
	}
}

// Guards against a next request that is read and dropped: its caller could not tell that nobody
// has read it, and that it may be sent again.
func TestLingeringDoesNotReadTheNextRequest(t *testing.T) {
	s := startLargeServer(t, 0)
	c := dialSlow(t, s.l)
	send(t, c, "GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	server := s.l.tracked()[0]
	s.proceed <- struct{}{}
	<-s.answered
	waitForConnections(t, s.l, 0)
	send(t, c, testRequest)
	time.Sleep(afterTheAnswer)
	if s.l.lingers() != 1 || server.queueSize(unix.TIOCINQ) != len(testRequest) {
		t.Errorf("%d connections linger, %d bytes are unread", s.l.lingers(), server.queueSize(unix.TIOCINQ))
	}
	checkLargeAnswer(t, bufio.NewReader(c))
}

// Guards against a handler that reads the next request from a connection that lingers, and against
// a second close, that of a process which ends, that does not close it.
func TestConnectionThatLingersIsClosed(t *testing.T) {
	c, server := acceptOne(t)
	server.l.ConnState(server, http.StateActive)
	c.write(t, testRequest)
	ExpectInput(ConnContext(t.Context(), server))
	if err := server.Close(); err != nil || server.l.lingers() != 1 {
		t.Fatalf("%d connections linger, %v", server.l.lingers(), err)
	}
	if n, err := server.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	_ = server.Close()
	waitForClose(t, server.l, lingerQuiet/2)
}

// Guards against answers over TLS that are cut as those in TestClosedConnectionDeliversItsAnswer.
func TestClosedTLSConnectionDeliversItsAnswer(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newLargeServer(l)
	server := httptest.NewUnstartedServer(s)
	_ = server.Listener.Close()
	server.Listener, server.Config.ConnState, server.Config.ConnContext = l, l.ConnState, ConnContext
	server.StartTLS()
	t.Cleanup(server.Close)
	c := tls.Client(dialSlow(t, l), &tls.Config{RootCAs: server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"})
	send(t, c, "GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	s.proceed <- struct{}{}
	<-s.answered
	time.Sleep(afterTheAnswer)
	send(t, c, testRequest)
	time.Sleep(afterTheAnswer / 10)
	checkLargeAnswer(t, bufio.NewReader(c))
}

// Guards against connections that linger, and delay a stop, although nothing is in flight: an
// earlier request on them was refused, and its long body was read to its end.
func TestKeptConnectionDoesNotLingerForABodyThatWasRead(t *testing.T) {
	const bodyBytes = unreadBodyBytes + 1<<10
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 2 { // The first call reads a part.
			if err := DiscardBody(w, r, func() time.Duration { return time.Minute }); err != nil {
				t.Error(err)
			}
		}
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, make([]byte, bodyBytes))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
		t.Fatalf("the connection is closed: %v, %v", answer.Close, err)
	}
	waitForConnections(t, l, 1)
	kept := l.tracked()[0]
	for begin := time.Now(); kept.describe().State != http.StateIdle; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the connection is not idle")
		}
	}
	if kept.expectsInput.Load() {
		t.Error("the rest of the body is still expected")
	}
}

// Guards against a refusal that is lost since a caller that was asked for its body still sends it,
// and against a connection that waits for the rest of that body without a limit.
func TestRefusalAfterContinueOutlivesTheRestOfTheBody(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = r.Body.Read(make([]byte, 1)) // Asks for the body.
		_ = DiscardBody(w, r, func() time.Duration { return time.Minute })
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	reader := bufio.NewReader(c)
	if answer, err := http.ReadResponse(reader, nil); err != nil || answer.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v", answer, err)
	}
	send(t, c, "x")
	waitForConnections(t, l, 0) // It is closed, or lingers.
	for range 2 {
		send(t, c, "x")
		time.Sleep(10 * time.Millisecond)
	}
	if answer, err := http.ReadResponse(reader, nil); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", answer, err)
	}
}

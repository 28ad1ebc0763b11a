package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against bodies that stop short and take the memory of a VM from those who come next: they
// were refused until the last moment of these requests.
func TestBodiesThatStopShortGiveWay(t *testing.T) {
	const (
		vmBytes = 8 << 20 // The budget of a VM of this size is 4.4 MB.
		// bodies of bodyBytes, less a byte, and wholeBytes are more than the budget.
		bodies, bodyBytes, wholeBytes = 10, 1 << 20, 400 << 10
		// held is what the bodies hold before the ordinary request is sent.
		held = 3 << 20
	)
	r := newGatewayRig(t, 1)
	r.requestMemory = newRequestMemory(vmBytes)
	var conns []net.Conn
	for n := range bodies {
		conn := r.serve()
		conns = append(conns, conn)
		go func() {
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: short-%d\r\nContent-Length: %d\r\n\r\n", plainPath, n, bodyBytes)
			_, _ = conn.Write(make([]byte, bodyBytes-1))
		}()
	}
	for end := time.Now().Add(5 * time.Second); r.requestMemory.Used() < held && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for n := range bodies {
		conn := r.serve()
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: whole-%d\r\nContent-Length: %d\r\n\r\n", plainPath, n, wholeBytes); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(make([]byte, wholeBytes)); err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, conn, 10*time.Second, http.StatusOK)
	}
	if r.Metrics.bodiesEvicted.Count() == 0 {
		t.Error("no body gave way")
	}
	refused := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			refused++
			if answer.StatusCode != http.StatusServiceUnavailable || !answer.Close {
				t.Errorf("status %d, closes the connection: %v", answer.StatusCode, answer.Close)
			}
		}
		_ = conn.Close()
	}
	if refused == 0 {
		t.Error("no caller whose body gave way got an answer")
	}
}

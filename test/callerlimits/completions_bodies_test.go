package callerlimits

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
)

const (
	// serverBodyBytes is the limit on a body of the completions API, its default.
	serverBodyBytes = 1 << 20
	// serverBodyParts is the number of parts of a body that arrives piece by piece.
	serverBodyParts = 8
	// serverSmallChunks is the number of chunks of one byte that a caller sends.
	serverSmallChunks = 64 << 10
	// serverEndlessChunks is the number of large chunks that stand for a body without end.
	serverEndlessChunks = 16
)

// largestServerBody is a completion request of the largest legal size.
var largestServerBody = completionBody(serverBodyBytes)

// completionBody returns a completion request of some size.
func completionBody(size int) []byte {
	begin, end := []byte(`{"model":"`+localcluster.Model+`","stream":true,"max_tokens":4,"prompt":"`), []byte(`"}`)
	return append(append(begin, bytes.Repeat([]byte("p"), size-len(begin)-len(end))...), end...)
}

// serverBodyKind sends the body of a request. begin is its head without the lines that describe the body.
type serverBodyKind func(begin string) caller

func withLength(length, rest string, parts ...[]byte) serverBodyKind {
	return func(begin string) caller {
		return send(append([][]byte{[]byte(begin + "Content-Length: " + length + "\r\n" + rest + "\r\n")}, parts...)...)
	}
}

func inChunks(parts ...[]byte) serverBodyKind {
	return func(begin string) caller {
		return send(append([][]byte{[]byte(begin + "Transfer-Encoding: chunked\r\n\r\n")}, parts...)...)
	}
}

// chunk returns a chunk with an extension, which may be empty.
func chunk(data []byte, extension string) []byte {
	return append(append(fmt.Appendf(nil, "%x%s\r\n", len(data), extension), data...), "\r\n"...)
}

// pieceByPiece sends all but the last byte of a legal body with pauses.
func pieceByPiece(begin string) caller {
	return func(c net.Conn) {
		withLength(legalLength, "")(begin)(c)
		body := largestServerBody[:len(largestServerBody)-1]
		for part := range serverBodyParts {
			send(body[part*len(body)/serverBodyParts : (part+1)*len(body)/serverBodyParts])(c)
			time.Sleep(holdTime / serverBodyParts)
		}
	}
}

// halfAfterContinue sends half of a legal body once the VM has asked for it.
func halfAfterContinue(begin string) caller {
	return func(c net.Conn) {
		withLength(legalLength, "Expect: 100-continue\r\n")(begin)(c)
		if _, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))); err == nil {
			send(largestServerBody[:len(largestServerBody)/2])(c)
		}
	}
}

var legalLength = fmt.Sprint(serverBodyBytes)

// serverBodyKinds are bodies that take memory and do not end, or that are far over the limit.
var serverBodyKinds = map[string]serverBodyKind{
	"whole":                       withLength(legalLength, "", largestServerBody),
	"short of the end":            withLength(legalLength, "", largestServerBody[:len(largestServerBody)-1]),
	"piece by piece":              pieceByPiece,
	"large chunks":                inChunks(chunk(largestServerBody[:len(largestServerBody)-1], "")),
	"small chunks":                inChunks(bytes.Repeat(chunk([]byte("x"), ""), serverSmallChunks)),
	"small chunks with extension": inChunks(bytes.Repeat(chunk([]byte("x"), ";name=value"), serverSmallChunks)),
	"half a chunk":                inChunks(chunk(largestServerBody, "")[:len(largestServerBody)/2]),
	"chunks without end":          inChunks(bytes.Repeat(chunk(largestServerBody, ""), serverEndlessChunks)),
	"chunk of 2^62 bytes":         inChunks([]byte("4000000000000000\r\n"), largestServerBody),
	"100 GB announced":            withLength("100000000000", "", largestServerBody, largestServerBody),
	"length beyond 64 bits":       withLength("100000000000000000000000", "", largestServerBody),
	"announced and never sent":    withLength(legalLength, ""),
	"half after 100 Continue":     halfAfterContinue,
}

// beginRequest returns the head of a request of the completions API without the lines that
// describe its body.
func beginRequest(path, lines string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer " + localcluster.APIKey + "\r\n" + lines
}

const completionsPath = "/v1/completions"

// servicePath returns the path of a route.
func servicePath(route string) string { return "/v1/services/" + route }

// startServing starts a VM of the completions API with an engine and a service behind it. An
// ordinary request is a small one to path.
func startServing(t *testing.T, path string, o serverSettings) *daemon {
	t.Helper()
	cluster, err := localcluster.Start(localcluster.Options{Engines: 1, Services: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := cluster.RollOut(ctx, localcluster.Document(1)); err != nil {
		t.Fatal(err)
	}
	d := startServerOn(t, cluster.KVURL(), cluster.VMListURL(), o)
	scheme := schemeOf(o.files)
	d.ordinary = func() (*http.Request, error) { return ordinaryRequest(scheme+d.callers+path, path) }
	d.awaitAnswer(startLimit)
	return d
}

func ordinaryRequest(url, path string) (*http.Request, error) {
	body := string(completionBody(200))
	if path != completionsPath {
		body = "{}"
	}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	key, err := client.NewIdempotencyKey()
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	r.Header.Set(api.HeaderIdempotencyKey, key)
	return r, nil
}

// Guards against bodies of completion requests that do not end, or are far over the limit. No
// bound covered the bodies of requests in progress together.
func TestBodiesOfCompletions(t *testing.T) {
	for name, kind := range serverBodyKinds {
		t.Run(name, func(t *testing.T) {
			d := startServing(t, completionsPath, serverSettings{})
			runCrowd(d, d.callers, func(int) caller { return kind(beginRequest(completionsPath, "")) })
		})
	}
}

// mixedBodies lets each caller send the next kind of body.
func mixedBodies(begin func() string) func(int) caller {
	names := slices.Sorted(maps.Keys(serverBodyKinds))
	return func(n int) caller { return serverBodyKinds[names[n%len(names)]](begin()) }
}

// Guards against the same bodies of service calls, which were read as a whole as well.
func TestBodiesOfServiceCalls(t *testing.T) {
	for name, route := range map[string]string{"repeatable": localcluster.LookupRoute, "claimed": localcluster.BookingRoute} {
		t.Run(name, func(t *testing.T) {
			path := servicePath(route)
			d := startServing(t, path, serverSettings{})
			runCrowd(d, d.callers, mixedBodies(func() string {
				key, err := client.NewIdempotencyKey()
				if err != nil {
					t.Error(err)
				}
				return beginRequest(path, api.HeaderIdempotencyKey+": "+key+"\r\n")
			}))
		})
	}
}

// Guards against the same bodies of requests that resume a run, which need none and were read.
func TestBodiesOfResumedRuns(t *testing.T) {
	d := startServing(t, completionsPath, serverSettings{})
	runCrowd(d, d.callers, mixedBodies(func() string {
		return beginRequest(completionsPath, api.HeaderLastEventID+": unknown:1\r\n")
	}))
}

// Guards against the same bodies of requests that are refused before their body is read, at the
// listeners for callers and for operators.
func TestBodiesOfRefusedRequests(t *testing.T) {
	for name, address := range map[string]func(*daemon) string{
		"callers": func(d *daemon) string { return d.callers }, "operators": func(d *daemon) string { return d.admin },
	} {
		t.Run(name, func(t *testing.T) {
			d := startServer(t)
			runCrowd(d, address(d), mixedBodies(func() string { return beginRequest("/status", "") }))
		})
	}
}

// Guards against the same bodies at the listeners of an entry VM for readiness and metrics.
func TestBodiesToReadinessAndMetrics(t *testing.T) {
	for name, path := range map[string]string{"ready": "/readyz", "metrics": "/metrics"} {
		t.Run(name, func(t *testing.T) {
			d := startEntry(t)
			runCrowd(d, listeners[name](d), mixedBodies(func() string { return beginRequest(path, "") }))
		})
	}
}

// Guards against bodies sent to the listener for peers, which is no HTTP server.
func TestBodiesToPeers(t *testing.T) {
	d := startEntry(t)
	runCrowd(d, d.peers, mixedBodies(func() string { return beginRequest("/", "") }))
}

// Guards against bodies that are announced and never sent, on all connections that callers may
// have: they kept every other caller out for as long as timeouts.body allows, since they take too
// little memory to give way for its sake.
func TestBodiesNeverSentLeaveConnections(t *testing.T) {
	// With 100 descriptors there are 40 connections, whose requests fit into the memory.
	d := startServing(t, completionsPath, serverSettings{descriptors: 100, bodyTimeout: "5m"})
	runCrowd(d, d.callers, func(int) caller {
		return serverBodyKinds["announced and never sent"](beginRequest(completionsPath, ""))
	})
}

// Guards against the same at an entry VM, where the time limit of a route bounds the wait.
func TestBodiesNeverSentLeaveConnectionsOfEntry(t *testing.T) {
	d := startEntryWith(t, []byte(strings.Replace(string(largeBodyConfig()), `"timeoutMs":20000`, `"timeoutMs":300000`, 1)))
	runCrowd(d, d.callers, func(n int) caller {
		return send(fmt.Appendf(nil, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: never-%d\r\nDeadline-Ms: 300000\r\nAuthorization: Bearer %s\r\nContent-Length: 64\r\n\r\n",
			host, n, apiKey))
	})
}

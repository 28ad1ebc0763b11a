package localcluster_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// versionedEngine is an engine that can start again under its id and address. Each start is another
// process, which may have another software version.
type versionedEngine struct {
	id     string
	server *httptest.Server
	// process serves the requests of the current start.
	process atomic.Pointer[engineProcess]
}

// engineProcess is one start of an engine.
type engineProcess struct {
	*standin.Engine
	// sent counts the tokens that it was about to send.
	sent atomic.Int64
	// atToken, if set, is called when the token at an offset is about to be sent.
	atToken func(offset int)
}

// used reports whether a process has begun a generation, or sent a token of one.
func (p *engineProcess) used() bool { return p.Started() > 0 || p.sent.Load() > 0 }

const (
	versionedTokens        = 40
	versionedTokenInterval = 4 * time.Millisecond
)

func newProcess(id string, atToken func(offset int)) *engineProcess {
	p := &engineProcess{
		Engine:  standin.NewEngine(standin.EngineOptions{ID: id, TokenInterval: versionedTokenInterval}),
		atToken: atToken,
	}
	p.BeforeToken(func(offset int) {
		p.sent.Add(1)
		if p.atToken != nil {
			p.atToken(offset)
		}
	})
	return p
}

// addVersioned adds an engine to a cluster.
func addVersioned(t *testing.T, c *localcluster.Cluster, id string, atToken func(offset int)) *versionedEngine {
	t.Helper()
	e := &versionedEngine{id: id}
	e.process.Store(newProcess(id, atToken))
	e.server = addBackend(t, c, vmlist.RoleEngine, id, func(w http.ResponseWriter, r *http.Request) { e.process.Load().ServeHTTP(w, r) })
	return e
}

// restart ends the process with its connections, and starts another one under the same id and address.
func (e *versionedEngine) restart() (next *engineProcess) {
	next = newProcess(e.id, nil)
	e.process.Store(next)
	e.server.CloseClientConnections()
	return next
}

// resumeAt asks a VM for the rest of a generation.
func resumeAt(ctx context.Context, t *testing.T, vm *localcluster.VM, last api.EventID) (status int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.URL()+"/v1/generations/"+last.Generation, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	req.Header.Set(api.HeaderLastEventID, last.String())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(content)
}

// readSome reads the first tokens of a stream, and leaves. It returns the id of the last one.
func readSome(ctx context.Context, t *testing.T, vm *localcluster.VM, tokens int) (last api.EventID) {
	t.Helper()
	_ = clientFor(vm).Stream(ctx, prompt(versionedTokens), func(token client.Token) error {
		last = token.ID
		if token.ID.Offset == tokens {
			return io.ErrClosedPipe
		}
		return nil
	})
	if last.Offset != tokens {
		t.Fatalf("the last token is %v, want %d", last, tokens)
	}
	return last
}

// versionedPair starts a cluster with two engines, of which the first gets the first request: the other
// one is listed when the test calls the returned function.
func versionedPair(t *testing.T, atToken func(offset int)) (c *localcluster.Cluster, ctx context.Context, first *versionedEngine, addOther func() *versionedEngine) {
	t.Helper()
	c, ctx = startCluster(t, localcluster.Options{VMs: 2})
	first = addVersioned(t, c, "engine-1", atToken)
	return c, ctx, first, func() *versionedEngine { return addVersioned(t, c, "engine-2", nil) }
}

// Guards against an answer that is joined from two software versions, since its engine starts again after
// a token that the caller has: neither the next start nor another engine may go on with it.
func TestAnswerDoesNotGoOnAtTheNextStartOfItsEngine(t *testing.T) {
	const lastToken = 5
	restart := make(chan struct{})
	c, ctx, first, addOther := versionedPair(t, func(offset int) {
		if offset == lastToken+1 {
			<-restart
		}
	})
	var next *engineProcess
	var other *versionedEngine
	tokens, err := checkedStream(ctx, t, clientFor(c.VMs[0]), prompt(versionedTokens), func(offset int) {
		if offset == lastToken {
			other = addOther()
			next = first.restart()
			close(restart)
		}
	})
	wantProblem(t, err, api.ProblemStreamInterrupted, api.OutcomeFailed)
	if tokens != lastToken {
		t.Errorf("%d tokens, want %d", tokens, lastToken)
	}
	if next.used() || other.process.Load().used() {
		t.Errorf("the next start sent %d tokens, the other engine %d", next.sent.Load(), other.process.Load().sent.Load())
	}
}

// Guards against an answer that goes on at another engine although its own still has the generation, when
// its connection breaks or stalls.
func TestAnswerGoesOnAtItsEngine(t *testing.T) {
	for name, fault := range map[string]standin.Faults{"connection breaks": {TruncateAfter: 3}, "stalls": {Stall: true}} {
		t.Run(name, func(t *testing.T) {
			const lastToken = 5
			var other *versionedEngine
			c, ctx, first, addOther := versionedPair(t, nil)
			tokens, err := checkedStream(ctx, t, clientFor(c.VMs[0]), prompt(versionedTokens), func(offset int) {
				if offset == lastToken {
					other = addOther()
					first.process.Load().SetFaults(fault)
					time.AfterFunc(50*time.Millisecond, func() { first.process.Load().SetFaults(standin.Faults{}) })
				}
			})
			if err != nil || tokens != versionedTokens {
				t.Errorf("%d tokens, %v", tokens, err)
			}
			if other.process.Load().used() || first.process.Load().Started() != 1 {
				t.Errorf("%d generations, and %d tokens of the other engine", first.process.Load().Started(), other.process.Load().sent.Load())
			}
		})
	}
}

// Guards against a generation that is resumed by its id at another engine, or at another start of its own:
// at the VM that began it and at another one.
func TestGenerationIsResumedAtTheStartThatBeganIt(t *testing.T) {
	const lastToken = 5
	for name, act := range map[string]struct {
		do func(*localcluster.Cluster, *versionedEngine)
		// status is that of the answer.
		status int
	}{
		"engine serves":       {func(*localcluster.Cluster, *versionedEngine) {}, http.StatusOK},
		"engine starts again": {func(_ *localcluster.Cluster, e *versionedEngine) { e.restart() }, http.StatusGone},
		"engine is not listed": {func(c *localcluster.Cluster, e *versionedEngine) {
			c.VMList.Remove(e.id)
		}, http.StatusGone},
	} {
		for vm := range 2 {
			t.Run(fmt.Sprintf("%s, VM %d", name, vm), func(t *testing.T) {
				c, ctx, first, addOther := versionedPair(t, nil)
				last := readSome(ctx, t, c.VMs[0], lastToken)
				other, began := addOther(), first.process.Load()
				act.do(c, first)
				if act.status != http.StatusOK {
					eventually(t, "the VM knows it", func() bool { return !strings.Contains(name, "listed") || !lists(c.VMs[vm], first.id) })
				}
				status, body := resumeAt(ctx, t, c.VMs[vm], last)
				if status != act.status {
					t.Errorf("status %d, want %d: %s", status, act.status, body)
				}
				if n := strings.Count(body, "\nid: ") + strings.Count(body[:min(4, len(body))], "id: "); status == http.StatusOK && n != versionedTokens-lastToken {
					t.Errorf("%d tokens, want %d: %s", n, versionedTokens-lastToken, body)
				}
				if now := first.process.Load(); now != began && now.used() || other.process.Load().used() {
					t.Error("another start or engine has worked on the generation")
				}
			})
		}
	}
}

func lists(vm *localcluster.VM, id string) bool {
	_, ok := vm.Server.Snapshot().Backends[id]
	return ok
}

// Guards against an answer with tokens of two starts of an engine, or of two engines, when a request is
// started anew since its caller has nothing of it: before the first token, and in an answer that is sent as
// one document after some tokens.
func TestAnswerThatStartsAnewIsWhollyOfOneStart(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		for _, atToken := range []int{1, 5} {
			if streamed && atToken > 1 {
				continue // The caller has tokens: see TestAnswerDoesNotGoOnAtTheNextStartOfItsEngine.
			}
			t.Run(fmt.Sprintf("streamed=%v, at token %d", streamed, atToken), func(t *testing.T) {
				reached, restarted := make(chan struct{}), make(chan struct{})
				var once atomic.Bool
				c, ctx, first, addOther := versionedPair(t, func(offset int) {
					if offset == atToken && once.CompareAndSwap(false, true) {
						close(reached)
						<-restarted
					}
				})
				var all sync.WaitGroup
				all.Go(func() {
					if streamed {
						if tokens, err := checkedStream(ctx, t, clientFor(c.VMs[0]), prompt(versionedTokens), nil); err != nil || tokens != versionedTokens {
							t.Errorf("%d tokens, %v", tokens, err)
						}
						return
					}
					answer, err := clientFor(c.VMs[0]).Complete(ctx, prompt(versionedTokens))
					if err != nil {
						t.Error(err)
						return
					}
					checkDocument(t, answer, prompt(versionedTokens), versionedTokens)
				})
				select {
				case <-reached:
				case <-ctx.Done():
					t.Fatal(ctx.Err())
				}
				addOther()
				first.restart()
				close(restarted)
				all.Wait()
			})
		}
	}
}

// Package e2e runs the programs as separate processes, driven by scripts.
package e2e

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/cli"
	"github.com/vanillaarch/vanillaarch/internal/daemon"
	"github.com/vanillaarch/vanillaarch/internal/freeport"
	"github.com/vanillaarch/vanillaarch/internal/standin/standincmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vanillaarch":  cli.Main,
		"vanillaarchd": daemon.Main,
		"standin":      standincmd.Main,
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = processes{}
			root, err := filepath.Abs("../..")
			if err != nil {
				return err
			}
			env.Setenv("REPO", root)
			// Without this the race detector delays each exit by a second.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			key, err := client.NewIdempotencyKey()
			env.Setenv("KEY", key)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addresses": addresses,
			"start":     start,
			"signal":    signal,
			"waitexit":  waitExit,
			"waithttp":  waitHTTP,
			"waitbody":  waitBody,
			"put":       put,
			"substenv":  substEnv,
		},
	})
}

// processes maps names to the processes of a script.
type processes map[string]*exec.Cmd

type processesKey struct{}

func scriptProcesses(ts *testscript.TestScript) processes {
	return ts.Value(processesKey{}).(processes)
}

// addresses NAME... sets each variable to a free loopback address.
func addresses(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		address, err := freeport.Address()
		ts.Check(err)
		ts.Defer(func() { freeport.Release(address) })
		ts.Setenv(name, address)
	}
}

// start NAME PROGRAM ARG... starts a process that is killed at the end of the
// script. Its output goes to NAME.log.
func start(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	cmd := exec.Command(path, args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout, cmd.Stderr = log, log
	ts.Check(cmd.Start())
	scriptProcesses(ts)[name] = cmd
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
}

// signals maps the names used in scripts to signals.
var signals = map[string]syscall.Signal{
	"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signal SIGNAL NAME... sends a signal to processes of the script.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		ts.Check(scriptProcesses(ts)[name].Process.Signal(signals[args[0]]))
	}
}

// waitExit NAME CODE waits for a process to exit and checks its exit code.
func waitExit(ts *testscript.TestScript, _ bool, args []string) {
	cmd := scriptProcesses(ts)[args[0]]
	_ = cmd.Wait()
	if code := strconv.Itoa(cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s exited with code %s, want %s", args[0], code, args[1])
	}
}

// pollInterval is the time between two attempts of a waiting command, and
// pollTimeout its default time limit.
const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 15 * time.Second
)

// waitHTTP URL STATUS waits until a GET request returns the status.
func waitHTTP(ts *testscript.TestScript, _ bool, args []string) {
	client := &http.Client{Timeout: time.Second}
	last := ""
	for deadline := time.Now().Add(pollTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		resp, err := client.Get(args[0])
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if last = strconv.Itoa(resp.StatusCode); last == args[1] {
			return
		}
	}
	ts.Fatalf("%s: got %s, want %s", args[0], last, args[1])
}

// waitBody URL [LIMIT] PATTERN... waits until the body returned for a GET request
// matches all patterns.
func waitBody(ts *testscript.TestScript, _ bool, args []string) {
	limit, patterns := pollTimeout, args[1:]
	if d, err := time.ParseDuration(args[1]); err == nil {
		limit, patterns = d, args[2:]
	}
	client := &http.Client{Timeout: time.Second}
	var body []byte
	begin := time.Now()
	for ; time.Since(begin) < limit; time.Sleep(pollInterval) {
		resp, err := client.Get(args[0])
		if err != nil {
			continue
		}
		body, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		missing := slices.ContainsFunc(patterns, func(p string) bool { return !regexp.MustCompile(p).Match(body) })
		if !missing {
			ts.Logf("after %v", time.Since(begin).Round(time.Millisecond))
			return
		}
	}
	ts.Fatalf("%s: body does not match %v after %v: %s", args[0], patterns, limit, body)
}

// put URL BODY sends a PUT request and expects status 200.
func put(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPut, args[0], strings.NewReader(args[1]))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("%s: got status %d", args[0], resp.StatusCode)
	}
}

// substEnv FILE... replaces $NAME in files by the variables of the script.
func substEnv(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o644))
	}
}

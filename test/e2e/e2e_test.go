// Package e2e runs the programs as separate processes.
package e2e

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaarch/vanillaarch/internal/cli"
	"github.com/vanillaarch/vanillaarch/internal/daemon"
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
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addresses": addresses,
			"start":     start,
			"signal":    signal,
			"waitexit":  waitExit,
			"waithttp":  waitHTTP,
			"waitbody":  waitBody,
			"substenv":  substEnv,
		},
	})
}

// processes of a script by name, kept in the script's values.
type processes map[string]*exec.Cmd

type processesKey struct{}

func running(ts *testscript.TestScript) processes { return ts.Value(processesKey{}).(processes) }

// addresses NAME... sets each variable to a free loopback address.
func addresses(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ts.Setenv(name, l.Addr().String())
		ts.Check(l.Close())
	}
}

// start NAME PROGRAM ARG... starts a process that the script's end kills. Its
// output goes to NAME.log.
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
	running(ts)[name] = cmd
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
}

// signals by name, as the scripts use them.
var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signal SIGNAL NAME... sends a signal to processes started before.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		ts.Check(running(ts)[name].Process.Signal(signals[args[0]]))
	}
}

// waitExit NAME CODE waits for a process to end with an exit code.
func waitExit(ts *testscript.TestScript, _ bool, args []string) {
	cmd := running(ts)[args[0]]
	_ = cmd.Wait()
	if code := strconv.Itoa(cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s ended with code %s, want %s", args[0], code, args[1])
	}
}

// pollPause is the time between attempts of waiting commands, pollLimit their end.
const (
	pollPause = 20 * time.Millisecond
	pollLimit = 15 * time.Second
)

// waitHTTP URL STATUS waits until a GET answers with the status.
func waitHTTP(ts *testscript.TestScript, _ bool, args []string) {
	client := &http.Client{Timeout: time.Second}
	last := ""
	for deadline := time.Now().Add(pollLimit); time.Now().Before(deadline); time.Sleep(pollPause) {
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

// waitBody URL LIMIT PATTERN... waits until the body of a GET matches all patterns.
func waitBody(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	client := &http.Client{Timeout: time.Second}
	var body []byte
	begin := time.Now()
	for ; time.Since(begin) < limit; time.Sleep(pollPause) {
		resp, err := client.Get(args[0])
		if err != nil {
			continue
		}
		body, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		missing := slices.ContainsFunc(args[2:], func(p string) bool { return !regexp.MustCompile(p).Match(body) })
		if !missing {
			ts.Logf("after %v", time.Since(begin).Round(time.Millisecond))
			return
		}
	}
	ts.Fatalf("%s: not %v after %v: %s", args[0], args[2:], limit, body)
}

// substEnv FILE... replaces $NAME in files by the script's variables.
func substEnv(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o644))
	}
}

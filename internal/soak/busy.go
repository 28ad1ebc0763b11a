package soak

import (
	"io"
	"os"
	"os/exec"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// BusyArgument is the argument with which the program calls UseProcessor.
const BusyArgument = "use-processor"

// startBusy starts processes that use a processor each. The returned function ends them.
// They end with this process, too, since that closes their standard input.
func startBusy(n int) (end func(), err error) {
	var started []*exec.Cmd
	end = func() {
		for _, cmd := range started {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // The error is that it was killed.
		}
	}
	program, err := os.Executable()
	if err != nil {
		return end, errors.Wrap(err, "path of the program")
	}
	for range n {
		cmd := exec.Command(program, BusyArgument)
		if _, err := cmd.StdinPipe(); err != nil {
			return end, errors.Wrap(err, "standard input of a busy process")
		}
		if err := cmd.Start(); err != nil {
			return end, errors.Wrap(err, "start a busy process")
		}
		started = append(started, cmd)
	}
	return end, nil
}

// UseProcessor keeps one processor busy until the input ends.
func UseProcessor(input io.Reader) {
	var ended atomic.Bool
	go func() {
		defer ended.Store(true)
		_, _ = io.Copy(io.Discard, input)
	}()
	for !ended.Load() {
	}
}

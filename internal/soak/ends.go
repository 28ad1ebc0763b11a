package soak

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/explain"
)

// logDelay is the time within which a VM writes the last lines of requests that were answered.
const logDelay = 3 * time.Second

// readRequest is a request of which its caller, or a backend server, knows that a process has read
// it.
type readRequest struct {
	id      string
	process *process
}

// processLog is what a process has written.
type processLog struct {
	vm      string
	process *process
	text    []byte
	// killed is set if the process ended without a chance to write its last lines.
	killed bool
}

type processLogs []processLog

// logs returns what each process of a VM has written, in the order of their starts.
func (v *vm) logs() (processLogs, error) {
	text, err := os.ReadFile(v.logPath)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var out processLogs
	for i, p := range v.processes {
		end := int64(len(text))
		if i+1 < len(v.processes) {
			end = v.processes[i+1].logOffset
		}
		own := text[min(p.logOffset, end):end]
		out = append(out, processLog{v.name, p, own, p.wasKilled(bytes.Contains(own, []byte("event=vm_started")))})
	}
	return out, nil
}

// wasKilled reports whether a process had no chance to write its last lines: it got a signal that
// it can't handle, or any before its first line, or was made to dump its stacks.
func (p *process) wasKilled(started bool) bool {
	if p.running() {
		return false
	}
	if p.dumped.Load() {
		return true
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && (status.Signal() == syscall.SIGKILL || !started)
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// endFaults returns what is wrong with the ends of the requests in the log of one process. read
// are requests that it has read. ended is false while the process runs, killed is set if it ended
// without a chance to write its last lines.
func endFaults(log []byte, read []string, ended, killed bool) (faults []string) {
	var ends explain.Ends
	if err := ends.Read(bytes.NewReader(log)); err != nil {
		return []string{err.Error()}
	}
	processes := ends.Processes()
	if len(processes) == 0 {
		if len(read) > 0 && !killed {
			faults = append(faults, fmt.Sprintf("%d requests were read, the log has no line", len(read)))
		}
		return faults
	}
	p := processes[len(processes)-1]
	if len(processes) > 1 {
		faults = append(faults, "the log has lines of several processes")
	}
	if several := p.WithSeveralEnds(); len(several) > 0 {
		faults = append(faults, "more than one end: "+strings.Join(several, " "))
	}
	if killed {
		return faults
	}
	if ended && p.Started && !p.Stopped && p.Dropped == 0 {
		faults = append(faults, "it ended without vm_stopped")
	}
	if p.Stopped && p.Missing() != 0 {
		faults = append(faults, fmt.Sprintf("%d requests accepted, %d ended", p.Accepted, p.Ended))
	}
	if without := withoutEnd(p, read); len(without) > p.Dropped {
		faults = append(faults, fmt.Sprintf("no end, with %d lines dropped: %s", p.Dropped, strings.Join(without, " ")))
	}
	return faults
}

// withoutEnd returns the requests that the log names, or that were read, and that have no end.
func withoutEnd(p *explain.Process, read []string) []string {
	without := p.WithoutEnd()
	named := map[string]bool{}
	for _, id := range without {
		named[id] = true
	}
	for _, id := range read {
		if !p.HasEnd(id) && !named[id] {
			without = append(without, id)
		}
	}
	return without
}

// endFaultsOf returns what is wrong with the ends of the requests of a VM. It waits for lines that
// are being written.
func (v *vm) endFaultsOf(read []readRequest) (faults []string) {
	for begin := time.Now(); ; time.Sleep(logDelay / 30) {
		faults = v.endFaultsNow(read)
		if len(faults) == 0 || time.Since(begin) > logDelay {
			return faults
		}
	}
}

func (v *vm) endFaultsNow(read []readRequest) (faults []string) {
	logs, err := v.logs()
	if err != nil {
		return []string{err.Error()}
	}
	readBy := logs.assign(read)
	for i, l := range logs {
		for _, fault := range endFaults(l.text, readBy[i], !l.process.running(), l.killed) {
			faults = append(faults, fmt.Sprintf("%s, process %d: %s", v.name, l.process.cmd.Process.Pid, fault))
		}
	}
	return faults
}

// assign returns the requests that each process has read. A request that was sent while a VM was
// started again may have been read by the next process.
func (logs processLogs) assign(read []readRequest) [][]string {
	readBy := make([][]string, len(logs))
	for _, r := range read {
		i := slices.IndexFunc(logs, func(l processLog) bool { return l.process == r.process })
		if i >= 0 && i+1 < len(logs) && (logs[i+1].killed || logs[i+1].hasEnd(r.id)) {
			i++
		}
		if i >= 0 {
			readBy[i] = append(readBy[i], r.id)
		}
	}
	return readBy
}

// hasEnd reports whether a process has written the end of a request.
func (l processLog) hasEnd(id string) bool {
	return bytes.Contains(l.text, []byte("event=request_done vm="+l.vm+" request="+id+" "))
}

// checkEnds checks that the logs tell one end of each request that a VM has accepted, and the end of
// each process that was not killed.
func (h *harness) checkEnds() {
	read := map[*vm][]readRequest{}
	h.mu.Lock()
	for _, r := range h.requests {
		if r.process != nil && (r.status != 0 || len(h.fleet.Runs(r.id)) > 0) {
			read[r.vm] = append(read[r.vm], readRequest{r.id, r.process})
		}
	}
	h.mu.Unlock()
	for _, v := range h.vms {
		for _, fault := range v.endFaultsOf(read[v]) {
			h.violations.add(invariantOneEnd, "%s", fault)
		}
	}
}

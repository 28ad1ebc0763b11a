package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
)

const (
	reloadInterval = 130 * time.Millisecond
	// reloadsPerChange is the number of SIGHUPs to a VM for each one that finds changed settings.
	reloadsPerChange = 3
	// vanishTime is how long the entry of an engine is missing.
	vanishTime = 500 * time.Millisecond
	// reloadEngines is the number of engines of each service. Without two of them the others have room
	// for all drafts.
	reloadEngines = 5
)

// refusingEngines go on with no run of another engine, neither from a moved copy nor from a backup.
var refusingEngines = userplatform.ServerFaults{BackupDelay: time.Minute, RefuseCopies: true}

// reloadCase is what happens beside SIGHUPs.
type reloadCase struct {
	versionCase
	// moves is set if VMs move runs to other engines, cuts if engines crash and streams are cut.
	moves, cuts bool
}

// reloadCases holds the cases by name.
var reloadCases = map[string]reloadCase{
	"reloads alone": {},
	"engines crash, copies refused": {
		versionCase: versionCase{faults: refusingEngines, play: repeating((*versionLoad).crash)},
		cuts:        true,
	},
	"entries vanish, copies refused": {
		versionCase: versionCase{faults: refusingEngines, play: append(repeating((*versionLoad).vanish), (*versionLoad).forgetHistory)},
		moves:       true,
	},
	"entries vanish": {
		versionCase: versionCase{play: append(repeating((*versionLoad).vanish), (*versionLoad).forgetHistory)},
		moves:       true,
	},
	"engines crash": {versionCase: versionCase{play: repeating((*versionLoad).crash)}},
}

// Guards against drafts, which run once, that a VM cuts around SIGHUPs although their engines are sound,
// and against streams cut by crashes of engines that its log blames on something else. The other cases
// are played by hand, see versionsAll.
func TestReloadsCutNoStreamOfASoundEngine(t *testing.T) {
	names := []string{"reloads alone", "engines crash, copies refused"}
	if *versionsAll {
		names = append(names, "entries vanish", "engines crash")
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playReloads(t, reloadCases[name])
		})
	}
}

// Guards against drafts that several VMs cut around SIGHUPs: the entries of their engines are missing for a
// moment, so that the VMs have sound engines end the runs, and the next engines refuse the runs.
func TestRunsOfVanishedEnginesLastBesideReloads(t *testing.T) {
	t.Parallel()
	playReloads(t, reloadCases["entries vanish, copies refused"])
}

func playReloads(t *testing.T, c reloadCase) {
	c.engines, c.split, c.kept = reloadEngines, true, true
	c.play = append(slices.Clone(c.play), (*versionLoad).reload)
	l := playVersions(t, c.versionCase)
	l.checkReloads()
	l.checkCuts(c)
}

// reload sends SIGHUP to all VMs in a random order, again and again. Each VM finds changed settings in the
// first round and in some of the later ones.
func (l *versionLoad) reload(ctx context.Context, r *rand.Rand) {
	for round := 0; ; round++ {
		for _, i := range r.Perm(len(l.vms)) {
			if !wait.Sleep(ctx, reloadInterval) {
				return
			}
			v := l.vms[i]
			if round%reloadsPerChange == 0 {
				if err := v.writeSettingsOf(changedSettings(v, r)); err != nil {
					l.t.Error(err)
				}
			}
			v.signal(syscall.SIGHUP)
			l.reloads++
		}
	}
}

func changedSettings(v *vm, r *rand.Rand) userplatform.Settings {
	s := v.settingsOf(r.IntN(4))
	s.GraceSeconds += 1 + r.IntN(4)
	s.Revoke += time.Duration(r.IntN(4)) * time.Second
	s.Drain += time.Duration(r.IntN(4)) * time.Second
	return s
}

// vanish removes the entry of an engine for a moment. The engine serves on.
func (l *versionLoad) vanish(ctx context.Context, r *rand.Rand) {
	x := l.pick(r)
	x.Unregister()
	wait.Sleep(ctx, vanishTime)
	x.Register("ready")
}

// forgetHistory makes the store forget its revisions again and again, so that the VMs list the servers.
func (l *versionLoad) forgetHistory(ctx context.Context, r *rand.Rand) {
	for wait.Sleep(ctx, randomDuration(r, time.Second, 3*time.Second)) {
		l.store.Compact()
	}
}

// checkReloads checks that each VM has applied changed settings.
func (l *versionLoad) checkReloads() {
	l.t.Logf("%d reloads", l.reloads)
	for _, v := range l.vms {
		if l.linesOf(v.name, "bounds_changed=true") == "" {
			l.t.Errorf("%s has applied no changed settings", v.name)
		}
	}
}

// checkCuts checks that each draft is whole, was refused and not run, or was lost by the crash of its
// engine and is logged so, and that most are whole.
func (l *versionLoad) checkCuts(c reloadCase) {
	ends, moves := map[string]int{}, 0
	for _, r := range l.results {
		for _, line := range strings.Split(l.logLines(r), "\n") {
			if strings.Contains(line, "event=run_copied ") {
				moves++
			}
		}
		end, ok := l.checkEnd(r)
		ends[end]++
		if !ok {
			l.t.Errorf("%s: %s; status %d, %d events, %v, after %v, this process stood still for up to %v; ran %v\n%s", r.id, end,
				r.status, r.events, r.err, r.ended.Sub(r.sent).Round(time.Millisecond), l.delays.longest(r.sent, r.ended),
				l.fleet.Executions(r.id), l.logLines(r))
		}
	}
	l.t.Logf("%d drafts, %d planned moves: %v", len(l.results), moves, ends)
	if ends["whole"] < len(l.results)/2 {
		l.t.Error("few drafts are whole")
	}
	if c.moves && moves == 0 {
		l.t.Error("no run was moved")
	}
	if c.cuts && ends["cut: server engine_broke_off"] == 0 {
		l.t.Error("no stream was cut")
	}
}

// checkEnd returns what became of a draft, and whether that is allowed.
func (l *versionLoad) checkEnd(r versionResult) (end string, ok bool) {
	cut, lost := l.logLine(r, "stream_cut"), l.logLine(r, "answer_lost")
	answered := r.err == nil && cut == nil
	switch {
	case answered && r.status == http.StatusOK:
		return "whole", r.events == draftEvents && lost == nil
	case answered && r.status == http.StatusServiceUnavailable:
		return "refused", len(l.fleet.Executions(r.id)) == 0
	case r.ended.Sub(r.sent) > draftDeadline-noticedCut:
		return "time-out", false
	case cut != nil:
		return "cut: " + cut["ended_by"] + " " + cut["reason"], cut["reason"] == "engine_broke_off" && l.hasCrashed(cut["backend"], r)
	case lost != nil:
		return "lost: " + lost["ended_by"] + " " + lost["status"], r.events == 0 && lost["ended_by"] == "server" && l.hasCrashed(lost["backend"], r)
	default:
		return "not logged", false
	}
}

// hasCrashed reports whether an engine that ran a draft has crashed while it did.
func (l *versionLoad) hasCrashed(engine string, r versionResult) bool {
	return l.crashedDuring(userplatform.Execution{Server: engine, Begin: r.sent}, r.ended)
}

// logLine returns the fields of the log line of an event that names a draft, nil if there is none.
func (l *versionLoad) logLine(r versionResult, event string) map[string]string {
	for line := range strings.Lines(l.logLines(r)) {
		if strings.Contains(line, "event="+event+" ") {
			return logFields(line)
		}
	}
	return nil
}

func logFields(line string) map[string]string {
	fields := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields
}

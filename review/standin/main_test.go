// Package review plays the scripted cases of the review. It starts entry VMs as separate
// processes, with stand-ins of the platform's store, workers and consumers. It is built as a
// test binary (go test -c) that plays the case that its arguments name.
package review

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var cases = map[string]func(dir string, trouble bool) bool{
	"queued-at-stop":  queuedAtStop,
	"other-weights":   otherWeights,
	"moved-run":       movedRun,
	"burst-of-bodies": burstOfBodies,
}

// TestMain plays a case and exits with 1 if its rule was broken, 0 if it held, 2 if the case
// could not run.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE REPOSITORY CASE-FOLDER")
		os.Exit(2)
	}
	var err error
	repository, err = filepath.Abs(os.Args[2])
	must(err)
	recordFile, err = os.Create(filepath.Join(os.Args[3], "record.txt"))
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %v", os.Args[1], trouble)
	held := cases[os.Args[1]](dir, trouble)
	for _, v := range started {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	record("rule held: %v", held)
	fmt.Println("rule held:", held)
	if !held {
		os.Exit(1)
	}
	os.Exit(0)
}

// firstRoutes are the routes of the first manifest.
var firstRoutes = streamRoutes + "," + plainRoutes

// started are the entry VMs to end.
var started []*vm

// deploy starts a small deployment and waits until all VMs are ready.
func deploy(dir string, vms, engines, desks int) (*fleet, []*vm) {
	f, started, _ := deployWorkers(dir, vms, engines, desks)
	return f, started
}

// deployWorkers also returns the workers, the model workers first.
func deployWorkers(dir string, vms, engines, desks int) (*fleet, []*vm, []*worker) {
	var workers []*worker
	s := startStore()
	f := newFleet(s)
	s.put("op/config", manifest(1, firstRoutes))
	for i := range engines {
		workers = append(workers, f.startWorker(fmt.Sprintf("i-drafter-%d", i), "drafter", true))
	}
	for i := range desks {
		workers = append(workers, f.startWorker(fmt.Sprintf("i-desk-%d", i), "jobdesk", false))
	}
	for i := range vms {
		started = append(started, newVM(dir, fmt.Sprintf("front-%d", i), s.addr, true))
	}
	for _, v := range started {
		if !v.awaitReady() {
			fmt.Fprintln(os.Stderr, v.name, "is not ready")
			record("%s is not ready", v.name)
			for _, v := range started {
				v.kill()
			}
			os.Exit(2)
		}
	}
	return f, started, workers
}

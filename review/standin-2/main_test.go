// Package main plays one case of the review against processes of the deploy file. It is built as a test
// binary, so that its files stay out of the checks on sources.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// result is how a case ended. Its values are the exit codes.
type result int

const (
	held result = iota
	broken
	notRun
)

// bench is what all cases need: a store, workers and entry VMs.
type bench struct {
	record  *record
	store   *store
	fleet   *fleet
	vms     []*vm
	trouble bool
	dir     string
}

var cases = map[string]func(*bench) (result, error){}

// TestMain plays the case that the first argument names.
func TestMain(*testing.M) {
	daemon := flag.String("daemon", "target/vanillaarchd", "program of an entry VM")
	out := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("logs", "", "folder that keeps the logs of the entry VMs; a temporary one by default")
	flag.Parse()
	os.Exit(int(play(flag.Arg(0), *daemon, *out, *keep)))
}

func play(name, daemon, out, keep string) result {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return notRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-case-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		defer os.RemoveAll(dir)
	}
	b := &bench{record: rec, fleet: &fleet{record: rec}, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer b.close()
	rec.add("case %s, trouble %v", name, b.trouble)
	b.daemon(daemon)
	got, err := f(b)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return notRun
	}
	return got
}

var daemonPath string

func (b *bench) daemon(path string) { daemonPath = path }

func (b *bench) close() {
	for _, v := range b.vms {
		v.stop()
	}
	for _, w := range b.fleet.workers {
		w.exit()
	}
	if b.store != nil {
		b.store.close()
	}
}

// start starts the store, the configuration and a number of entry VMs, and waits until all are
// ready. The workers must have been started.
func (b *bench) start(vms int, firstRevision int64) error {
	var err error
	if b.store, err = newStore(firstRevision); err != nil {
		return err
	}
	b.store.put("op/config", b.config(7))
	for _, w := range b.fleet.workers {
		b.store.put("servers/"+w.id, w.entry("ready", 1))
	}
	for n := range vms {
		v, err := startVM(b.dir, daemonPath, b.store.addr, n)
		if v != nil && v.cmd.Process != nil {
			b.vms = append(b.vms, v)
		}
		if err != nil {
			return err
		}
	}
	for _, v := range b.vms {
		if err := v.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// config is a manifest like that of a small deployment.
func (b *bench) config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "draft", "host": host, "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 39000, "targetLatencyMs": 1800, "priority": 1, "service": "drafter", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 180},
			{"name": "check", "host": host, "pathPrefix": "/check/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 0, "service": "drafter", "maxAttempts": 2, "public": false, "sticky": true, "resumable": false, "gapAimMs": 180},
			{"name": "book", "host": host, "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "jobdesk", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "drafter", "healthPath": "/health", "maxConns": 538, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kvCapacity": engineTokens, "kvTokenBytes": tokenBytes, "linkMbps": linkMbps, "moves": true, "backups": true, "stride": tokensPerEvent,
				"most": 12, "pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "jobdesk", "healthPath": "/health", "maxConns": 244, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

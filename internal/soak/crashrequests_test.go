package soak

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// Guards against one identical request that is sent to one server after the other although
// each has ended that ran it, and against refusing sound requests beside it.
func TestSoakOfARequestThatCrashesServers(t *testing.T) {
	// The seeds draw a POST, a GET and a stream.
	for _, seed := range []uint64{9001, 9002, 9003} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, 14*time.Second, requestCrashes.name)
		})
	}
}

// Guards against seeds of earlier runs that mean another schedule since there are requests
// that crash servers.
func TestSeedsKeepTheirOtherFaults(t *testing.T) {
	const length = 16 * time.Second
	all, err := allowedKinds(nil)
	if err != nil {
		t.Fatal(err)
	}
	isNew := func(f fault) bool { return f.name == requestCrashes.name }
	before := slices.DeleteFunc(slices.Clone(all), isNew)
	seedsWith := 0
	for seed := range uint64(30) {
		with, without := schedule(seed, length, all), schedule(seed, length, before)
		kept := slices.DeleteFunc(slices.Clone(with), isNew)
		if len(kept) < len(with) {
			seedsWith++
		}
		same := func(a, b fault) bool {
			return a.name == b.name && a.at == b.at && a.seed == b.seed && a.duration == b.duration
		}
		if !slices.EqualFunc(kept, without, same) {
			t.Errorf("seed %d has other faults", seed)
		}
	}
	if seedsWith == 0 || seedsWith == 30 {
		t.Errorf("%d of 30 seeds have a request that crashes servers", seedsWith)
	}
}

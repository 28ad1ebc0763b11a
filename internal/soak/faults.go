package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// fault is one disturbance of a schedule.
type fault struct {
	at       time.Duration
	duration time.Duration
	name     string
	apply    func(w *world, r *rand.Rand, duration time.Duration)
	// seed chooses target and variant among what there is when the fault begins.
	seed uint64
}

// Times of a schedule.
const (
	// seriesPart is the part of faults that are repeated at once.
	seriesPart             = 0.2
	minFault, maxFault     = 300 * time.Millisecond, 3500 * time.Millisecond
	pauseLimit             = 2500 * time.Millisecond
	noticeTime             = 2 * time.Second
	stopLimit              = (graceSeconds + 1) * time.Second
	configStorm            = 6
	configStormGap         = 150 * time.Millisecond
	leastServersOfAService = 2
)

// faultGaps are mean times between the begins of two faults, of which each seed
// has one. Promises with a time bound need calm, others are broken by overlaps.
var faultGaps = []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}

// kindsOfFaults are chosen with equal chance, so some stand twice.
var kindsOfFaults = []fault{
	{name: "vm killed", apply: (*world).killVM},
	{name: "vm stopped", apply: (*world).stopVM},
	{name: "vm stopped", apply: (*world).stopVM},
	{name: "vm paused", apply: (*world).pauseVM},
	{name: "settings changed", apply: (*world).changeSettings},
	{name: "store link of a vm", apply: (*world).disturbStoreLink},
	{name: "store", apply: (*world).disturbStore},
	{name: "store history dropped", apply: (*world).compactStore},
	{name: "watches muted", apply: (*world).muteWatches},
	{name: "server link", apply: (*world).disturbServerLink},
	{name: "server misbehaves", apply: (*world).disturbServer},
	{name: "server leaves", apply: (*world).leaveWithNotice},
	{name: "server leaves", apply: (*world).leaveWithNotice},
	{name: "server leaves at once", apply: (*world).leaveAtOnce},
	{name: "server crashes", apply: (*world).crashServer},
	{name: "key replaced", apply: (*world).replaceKey},
	{name: "keys replaced in a row", apply: (*world).replaceKeys},
}

// schedule returns the faults of a seed, in order.
func schedule(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 1))
	gap := faultGaps[r.IntN(len(faultGaps))]
	var out []fault
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(gap)) {
		f := kindsOfFaults[r.IntN(len(kindsOfFaults))]
		f.at, f.seed = at, r.Uint64()
		f.duration = minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))
		out = append(out, f)
		if r.Float64() < seriesPart {
			again := f
			again.at, again.seed = at+f.duration/2, r.Uint64()
			out = append(out, again)
		}
	}
	slices.SortStableFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

// disturb applies the schedule and waits until all faults have ended.
func (w *world) disturb(ctx context.Context) {
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, f := range schedule(w.opts.Seed, w.opts.Duration-maxFault) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(f.at))):
		}
		w.log("%s for %v", f.name, f.duration.Round(time.Millisecond))
		running.Go(func() { f.apply(w, rand.New(rand.NewPCG(f.seed, 0)), f.duration) })
	}
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Since(w.started).Seconds()
	w.applied = append(w.applied, fmt.Sprintf("%7.3f s  ", at)+fmt.Sprintf(format, args...))
}

// takeVM returns a VM that no other fault holds, or nil, and holds it.
func (w *world) takeVM(r *rand.Rand) *vm {
	v := w.vms[r.IntN(len(w.vms))]
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy {
		return nil
	}
	v.busy = true
	return v
}

// killVM ends a VM without notice and starts it again.
func (w *world) killVM(r *rand.Rand, d time.Duration) {
	if v := w.takeVM(r); v != nil {
		w.restart(v, syscall.SIGKILL, d)
	}
}

// stopVM stops a VM as planned and starts it again.
func (w *world) stopVM(r *rand.Rand, d time.Duration) {
	if v := w.takeVM(r); v != nil {
		w.stops.note(v.running())
		w.restart(v, syscall.SIGTERM, d/4)
	}
}

func (w *world) restart(v *vm, s syscall.Signal, pause time.Duration) {
	w.log("%s gets %v", v.name, s)
	if s == syscall.SIGKILL {
		defer w.faults.begin(scopeVM(v.name))()
	}
	if err := v.end(s, stopLimit); err != nil {
		w.broken.add(promiseStop, "%v", err)
	}
	if s != syscall.SIGKILL {
		defer w.faults.begin(scopeVM(v.name))()
	}
	time.Sleep(pause)
	if err := v.start(); err != nil {
		w.broken.add(promiseProcess, "%s does not start: %v", v.name, err)
	}
}

// pauseVM suspends a process, as a frozen VM does.
func (w *world) pauseVM(r *rand.Rand, d time.Duration) {
	v := w.takeVM(r)
	if v == nil {
		return
	}
	w.log("%s is paused", v.name)
	defer w.faults.begin(scopeVM(v.name))()
	v.signal(syscall.SIGSTOP)
	time.Sleep(min(d, pauseLimit))
	v.signal(syscall.SIGCONT)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

// changeSettings writes other settings, with or without a signal.
func (w *world) changeSettings(r *rand.Rand, _ time.Duration) {
	v := w.vms[r.IntN(len(w.vms))]
	if err := v.writeSettings(r.IntN(40)); err != nil {
		w.broken.add(promiseProcess, "%v", err)
	}
	if r.IntN(2) == 0 {
		v.signal(syscall.SIGHUP)
	}
}

func (w *world) disturbStoreLink(r *rand.Rand, d time.Duration) {
	v, f := w.vms[r.IntN(len(w.vms))], 1+linkFault(r.IntN(int(linkFaults)-1))
	w.log("%s of %s is %v", "store link", v.name, f)
	defer w.faults.begin(scopeVM(v.name))()
	v.store.set(f)
	time.Sleep(d)
	v.store.set(linkSound)
}

// disturbStore makes the store misbehave for some or all VMs. Faults that
// overlap are joined.
func (w *world) disturbStore(r *rand.Rand, d time.Duration) {
	var f userplatform.StoreFaults
	names := []string{"*"}
	if r.IntN(2) == 0 {
		names = []string{w.vms[r.IntN(len(w.vms))].name}
	}
	switch r.IntN(5) {
	case 0:
		f = userplatform.StoreFaults{Refuse: names, RefuseStatus: http.StatusServiceUnavailable}
	case 1:
		f = userplatform.StoreFaults{Refuse: names, RefuseStatus: http.StatusTooManyRequests, Lapse: true}
	case 2:
		f = userplatform.StoreFaults{Silent: names}
	case 3:
		f = userplatform.StoreFaults{Delay: 200 * time.Millisecond}
	case 4:
		f = userplatform.StoreFaults{LoseWrites: true}
	}
	w.log("store %+v", f)
	defer w.faults.begin(scopeStore)()
	w.updateStoreFaults(func() { w.storeFaults[&f] = struct{}{} })
	time.Sleep(d)
	w.updateStoreFaults(func() { delete(w.storeFaults, &f) })
}

// updateStoreFaults changes the set of faults and puts all of it in force.
func (w *world) updateStoreFaults(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	var all userplatform.StoreFaults
	for x := range w.storeFaults {
		all.Refuse = append(all.Refuse, x.Refuse...)
		all.Silent = append(all.Silent, x.Silent...)
		all.RefuseStatus = max(all.RefuseStatus, x.RefuseStatus)
		all.Delay = max(all.Delay, x.Delay)
		all.LoseWrites = all.LoseWrites || x.LoseWrites
		all.Lapse = all.Lapse || x.Lapse
	}
	w.store.SetFaults(all)
}

func (w *world) compactStore(*rand.Rand, time.Duration) {
	defer w.faults.begin(scopeStore)()
	w.store.Compact()
}

func (w *world) muteWatches(*rand.Rand, time.Duration) { w.store.StallPendingWatches() }

// takeServer removes a server from those that faults choose from, and returns
// it. It returns nil if too few of its service would be left.
func (w *world) takeServer(r *rand.Rand, removes bool) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := r.IntN(len(w.servers))
	x := w.servers[i]
	if !removes {
		return x
	}
	same := 0
	for _, y := range w.servers {
		if y.IsEngine() == x.IsEngine() {
			same++
		}
	}
	if same <= leastServersOfAService {
		return nil
	}
	w.servers = append(w.servers[:i:i], w.servers[i+1:]...)
	return x
}

func (w *world) disturbServerLink(r *rand.Rand, d time.Duration) {
	x, f := w.takeServer(r, false), 1+linkFault(r.IntN(int(linkFaults)-1))
	w.log("link of %s is %v", x.ID(), f)
	defer w.faults.begin(scopeServers)()
	x.link.set(f)
	time.Sleep(d)
	x.link.set(linkSound)
}

func (w *world) disturbServer(r *rand.Rand, d time.Duration) {
	x := w.takeServer(r, false)
	f := []userplatform.ServerFaults{
		{Shed: true}, {Fail: true}, {Truncate: true}, {Extra: true}, {Unsigned: true}, {Hang: true}, {BreakAfter: 7},
	}[r.IntN(7)]
	w.log("%s %+v", x.ID(), f)
	defer w.faults.begin(scopeServers)()
	x.SetFaults(f)
	time.Sleep(d)
	x.SetFaults(userplatform.ServerFaults{})
}

// leaveWithNotice replaces a server that says that it leaves.
func (w *world) leaveWithNotice(r *rand.Rand, d time.Duration) { w.leave(r, d, true) }

// leaveAtOnce replaces a server whose entry goes first.
func (w *world) leaveAtOnce(r *rand.Rand, d time.Duration) { w.leave(r, d, false) }

func (w *world) leave(r *rand.Rand, d time.Duration, notice bool) {
	x := w.takeServer(r, true)
	if x == nil {
		return
	}
	w.log("%s leaves, notice %v", x.ID(), notice)
	w.replace(x)
	if notice {
		x.Register("draining")
	} else {
		x.Unregister()
	}
	w.mu.Lock()
	w.drained = append(w.drained, drained{server: x.Server, notice: time.Now()})
	w.mu.Unlock()
	time.Sleep(noticeTime + d)
	defer w.faults.begin(scopeServers)()
	x.Unregister()
	x.Crash()
}

// replace starts a server like another one.
func (w *world) replace(x *server) {
	if err := w.addServer(x.IsEngine()); err != nil {
		w.broken.add(promiseProcess, "%v", err)
	}
}

// crashServer ends a server whose entry stays for a while.
func (w *world) crashServer(r *rand.Rand, d time.Duration) {
	x := w.takeServer(r, true)
	if x == nil {
		return
	}
	w.log("%s crashes", x.ID())
	defer w.faults.begin(scopeServers)()
	w.replace(x)
	x.Crash()
	time.Sleep(d)
	x.Unregister()
}

func (w *world) replaceKey(*rand.Rand, time.Duration) { w.keys.rotate(w.store) }

func (w *world) replaceKeys(*rand.Rand, time.Duration) {
	for range configStorm {
		w.keys.rotate(w.store)
		time.Sleep(configStormGap)
	}
}

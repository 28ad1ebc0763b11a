package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
)

// engineServices are the services of the engines. The route of the drafts moves between them.
var engineServices = []string{"engines", "spares"}

// Targets of the route of the drafts.
const (
	oneService   = `"service":"engines"`
	otherService = `"service":"spares"`
	bothServices = `"trafficSplit":[{"service":"engines","weight":0.5},{"service":"spares","weight":0.5}]`
)

// draftRoute is what versions change.
type draftRoute struct {
	// targets holds the fields of the route that name its services.
	targets       string
	timeout, idle time.Duration
	// dropped is a service that the version does not have.
	dropped string
}

func (l *versionLoad) putVersion(d draftRoute) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	var services []string
	for _, name := range engineServices {
		if name != d.dropped {
			services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":100,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34295,"kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}}`, name))
		}
	}
	services = append(services, `{"name":"desk","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}`)
	l.store.Put(configKey, fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"draft","host":"site.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":%d,"targetLatencyMs":1800,"priority":1,%s,"maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":180},
{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1}],
"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":%d,"idleTimeoutMs":%d},
"tenants":[{"name":"acme","apiKeys":[%q,"key-%d"],"priority":1}]}`, l.version, d.timeout.Milliseconds(), d.targets, strings.Join(services, ",\n"),
		min(3*time.Second, d.idle).Milliseconds(), d.idle.Milliseconds(), stableKey, l.version))
	l.versions = append(l.versions, time.Now())
}

// writeVersions writes configurations, several in quick succession at times.
func (l *versionLoad) writeVersions(ctx context.Context, r *rand.Rand) {
	usual := draftRoute{targets: oneService, timeout: longTimeout, idle: 15 * time.Second}
	for wait.Sleep(ctx, randomDuration(r, 400*time.Millisecond, 1450*time.Millisecond)) {
		d := usual
		d.targets = []string{oneService, otherService, bothServices}[r.IntN(3)]
		switch r.IntN(6) {
		case 0:
			d.timeout = shortTimeout
		case 1:
			d.idle = time.Second
		case 2: // A service goes and comes back.
			d.targets, d.dropped = oneService, "spares"
			l.putVersion(d)
			wait.Sleep(ctx, randomDuration(r, time.Millisecond, 200*time.Millisecond))
			l.putVersion(draftRoute{targets: otherService, timeout: longTimeout, idle: 15 * time.Second, dropped: "engines"})
			wait.Sleep(ctx, randomDuration(r, time.Millisecond, 200*time.Millisecond))
			d = usual
		}
		l.putVersion(d)
	}
	l.putVersion(usual)
}

func (l *versionLoad) addEngine(service string) *server {
	l.mu.Lock()
	l.nextID++
	id := fmt.Sprintf("%s-%d", service, l.nextID)
	l.mu.Unlock()
	x := &server{}
	var err error
	x.Server, err = l.fleet.Start(userplatform.ServerOptions{
		ID: id, Service: service, Zone: "z", Model: "m", Slots: 24, Events: draftEvents, EventInterval: draftInterval,
		AdvertisedAddress: func(listens string) (string, error) {
			var err error
			if x.link, err = newProxy(listens, &l.closes); err != nil {
				return "", err
			}
			return x.link.address(), nil
		},
		ListenChanged: func(listens bool) {
			if !listens {
				x.link.refuse()
			} else if err := x.link.listen(); err != nil {
				l.t.Error(err)
			}
		},
	})
	if err != nil {
		l.t.Error(err)
		return nil
	}
	x.SetFaults(l.faults)
	l.addCleanup(func() { x.Crash(); x.link.close() })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines = append(l.engines, x)
	return x
}

// take takes up to n engines of one service off the list, all of which leave the deployment.
func (l *versionLoad) take(r *rand.Rand, n int) []*server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.engines) <= n {
		return nil
	}
	r.Shuffle(len(l.engines), func(i, j int) { l.engines[i], l.engines[j] = l.engines[j], l.engines[i] })
	service := l.engines[0].Service()
	var taken []*server
	l.engines = slices.DeleteFunc(l.engines, func(x *server) bool {
		if len(taken) == n || x.Service() != service {
			return false
		}
		taken = append(taken, x)
		return true
	})
	return taken
}

func (l *versionLoad) pick(r *rand.Rand) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[r.IntN(len(l.engines))]
}

// crashNow crashes an engine and records that.
func (l *versionLoad) crashNow(x *server) {
	l.mu.Lock()
	l.crashes[x.ID()] = append(l.crashes[x.ID()], time.Now())
	l.mu.Unlock()
	x.Crash()
}

// leave replaces an engine, which serves on for a while.
func (l *versionLoad) leave(_ context.Context, r *rand.Rand) { l.leaveMany(r, 1) }

func (l *versionLoad) leaveTwo(_ context.Context, r *rand.Rand) { l.leaveMany(r, 2) }

func (l *versionLoad) leaveMany(r *rand.Rand, n int) {
	withNotice := r.IntN(2) == 0
	for _, x := range l.take(r, n) {
		l.addEngine(x.Service())
		if withNotice {
			x.Register("draining")
		} else {
			x.Unregister()
		}
		time.AfterFunc(lingerTime, func() {
			x.Unregister()
			l.crashNow(x)
		})
	}
}

// lapse removes the entry of an engine, which serves on and comes back.
func (l *versionLoad) lapse(ctx context.Context, r *rand.Rand) {
	x := l.pick(r)
	x.Unregister()
	wait.Sleep(ctx, randomDuration(r, 50*time.Millisecond, 2500*time.Millisecond))
	x.Register("ready")
}

// crash crashes an engine, which is replaced. Its entry stays for a while.
func (l *versionLoad) crash(ctx context.Context, r *rand.Rand) {
	for _, x := range l.take(r, 1) {
		l.addEngine(x.Service())
		l.crashNow(x)
		wait.Sleep(ctx, randomDuration(r, 100*time.Millisecond, 2*time.Second))
		x.Unregister()
	}
}

// startAnew crashes an engine, which starts again at once and forgets all copies. The store
// learns of it later.
func (l *versionLoad) startAnew(ctx context.Context, r *rand.Rand) {
	x := l.pick(r)
	l.crashNow(x)
	if err := x.Resume(); err != nil {
		l.t.Error(err)
	}
	wait.Sleep(ctx, randomDuration(r, 50*time.Millisecond, time.Second))
	x.Restart()
	wait.Sleep(ctx, 3*time.Second)
}

// refuseVM makes the store refuse a VM for a while.
func (l *versionLoad) refuseVM(ctx context.Context, r *rand.Rand) {
	v := l.vms[r.IntN(len(l.vms))]
	l.store.SetFaults(userplatform.StoreFaults{Refuse: []string{v.name}, RefuseStatus: http.StatusServiceUnavailable})
	wait.Sleep(ctx, randomDuration(r, time.Second, 8*time.Second))
	l.store.SetFaults(userplatform.StoreFaults{})
}

// stopOne stops a VM and starts it again.
func (l *versionLoad) stopOne(_ context.Context, r *rand.Rand) {
	v := l.vms[r.IntN(len(l.vms))]
	l.mu.Lock()
	l.stoppedAt[v.name] = append(l.stoppedAt[v.name], time.Now())
	l.mu.Unlock()
	if err := v.terminate(syscall.SIGTERM, stopTimeout); err != nil {
		l.t.Error(err)
	}
	if err := v.start(); err != nil {
		l.t.Error(err)
	}
	v.awaitListening()
}

// starve lets the process of a VM stand still again and again.
func (l *versionLoad) starve(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	stall(ctx, l.vms[r.IntN(len(l.vms))])
}

package review

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const bookLimit = time.Second

func book() call {
	return call{id: newID("book"), method: http.MethodPost, path: "/book/1", body: strings.Repeat("x", 600), timeLimit: bookLimit}
}

func look() call {
	return call{id: newID("look"), method: http.MethodGet, path: "/look/1", timeLimit: bookLimit}
}

// otherWeights lets one consumer of each machine ask once for weights that no worker has, and
// then sends the usual traffic for 30 s.
//
// The rule: in steady state, machines get 20 or more requests on routes that were added later, and
// serve them less than a quarter as often as those on the first routes.
func otherWeights(dir string, trouble bool) bool {
	const length, settle = 30 * time.Second, 5 * time.Second
	// The operator adds the streaming routes later than the others.
	firstRoutes = plainRoutes
	f, vms := deploy(dir, 3, 4, 3)
	f.store.put("op/config", manifest(2, streamRoutes+","+plainRoutes))
	record("manifest 2 with the streaming routes is in the store")
	time.Sleep(settle)
	var consumers sync.WaitGroup
	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	ask := func(n int, kind string, c call) {
		consumers.Go(func() {
			o := send(vms[n%len(vms)].front, c)
			ok := o.complete && o.status == http.StatusOK && o.signed
			record("%s sent at %.3f to %s: status %d, served %v, %v", c.id, o.sentAt.Seconds(), vms[n%len(vms)].name, o.status, ok, o.err)
			mu.Lock()
			defer mu.Unlock()
			asked[kind]++
			if ok {
				served[kind]++
			}
		})
	}
	if trouble {
		for i := range vms {
			c := panel(3)
			c.headers["Expect-Version"] = "2"
			o := send(vms[i].front, c)
			record("%s expects other weights, sent to %s: status %d", c.id, vms[i].name, o.status)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(settle)
	end := time.Now().Add(length)
	every := func(interval time.Duration, f func(n int)) {
		consumers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				f(n)
				time.Sleep(interval)
			}
		})
	}
	// The traffic of the sheet, for 3 of 20 machines.
	every(900*time.Millisecond, func(n int) { ask(n, "panel-check", panel(3)) })
	every(1200*time.Millisecond, func(n int) { ask(n, "quote-draft", draft(60)) })
	every(220*time.Millisecond, func(n int) { ask(n, "deposit-book", book()) })
	every(550*time.Millisecond, func(n int) { ask(n, "job-lookup", look()) })
	consumers.Wait()
	share := func(kinds ...string) float64 {
		a, s := 0, 0
		for _, kind := range kinds {
			a, s = a+asked[kind], s+served[kind]
		}
		return float64(s) / float64(a)
	}
	for kind := range asked {
		record("%s: %d of %d served", kind, served[kind], asked[kind])
	}
	later, first := share("panel-check", "quote-draft"), share("deposit-book", "job-lookup")
	record("served of the routes added later: %.2f, of the first routes: %.2f", later, first)
	fmt.Printf("served of the routes added later: %.2f, of the first routes: %.2f\n", later, first)
	return later >= first/4
}

package soak

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against seeds whose other faults change with releases and kills of all VMs.
func TestReleasesAreDrawnApart(t *testing.T) {
	all, err := allowedKinds(nil)
	if err != nil {
		t.Fatal(err)
	}
	isNew := func(f fault) bool { return f.name == releases.name || f.name == killsOfAll.name }
	others := slices.DeleteFunc(slices.Clone(all), isNew)
	inCI := []int{1, 2, 3740, 3775} // See releaseSource.
	drawn := 0
	for _, n := range append(upTo(100), inCI...) {
		seed := uint64(n)
		got, want := schedule(seed, 20*time.Second, all), schedule(seed, 20*time.Second, others)
		drawn += len(got) - len(want)
		same := func(a, b fault) bool { return a.name == b.name && a.at == b.at && a.seed == b.seed }
		if slices.Contains(inCI, n) && len(got) != len(want) {
			t.Errorf("seed %d has a release or a kill of all VMs", seed)
		}
		if got = slices.DeleteFunc(got, isNew); !slices.EqualFunc(got, want, same) {
			t.Errorf("seed %d: other faults differ", seed)
		}
	}
	if drawn < 50 {
		t.Errorf("%d releases and kills of all VMs in %d seeds", drawn, 100)
	}
}

// Guards against streams of two versions that go unnoticed, in one answer or taken up, and against
// take-ups that begin anew or leave out an event.
func TestJoinedStreamsAreFound(t *testing.T) {
	versioned := func(numbers []int, version string) string {
		return strings.ReplaceAll(events("x", numbers...), "\n\n", " "+version+"\n\n")
	}
	up := &takenUp{first: "w", version: "a", last: 3}
	for name, c := range map[string]struct {
		takesUp       *takenUp
		body          string
		wrong, joined bool
	}{
		"one version":                 {nil, versioned(upTo(9), "a"), false, false},
		"two versions":                {nil, versioned(upTo(4), "a") + versioned([]int{5, 6}, "b"), false, true},
		"version cut in the middle":   {nil, versioned(upTo(4), "ab") + "id: 5\ndata: x 5 a", false, false},
		"taken up":                    {up, versioned([]int{4, 5}, "a"), false, false},
		"taken up at another version": {up, versioned([]int{4, 5}, "b"), false, true},
		"taken up from the start":     {up, versioned(upTo(5), "a"), true, false},
		"taken up with a gap":         {up, versioned([]int{5, 6}, "a"), true, false},
	} {
		h := newHarness(Options{})
		r := &request{id: "x", kind: kindCheck, vm: &vm{name: "vm-0"}, status: http.StatusOK, signed: true, err: net.ErrClosed, body: c.body, takesUp: c.takesUp}
		if err := r.validate(); (err != nil) != c.wrong {
			t.Errorf("%s: %v", name, err)
		}
		h.checkVersions(r)
		if got := len(h.violations.all()) > 0; got != c.joined {
			t.Errorf("%s: reported as joined: %t", name, got)
		}
		h.close()
	}
}

// Guards against streams that go on at another software version beside releases, servers that crash, and
// VMs that are killed.
func TestSoakWithReleases(t *testing.T) {
	t.Parallel()
	runSeed(t, 6, 8*time.Second, releases.name, killsOfAll.name, "vm killed", "server crashes", "server leaves without notice")
}

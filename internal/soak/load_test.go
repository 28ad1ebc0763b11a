package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// daemonUnderTest returns the path of the daemon: the given one, as in plays by hand of another
// version, or that of a build if it is empty.
func daemonUnderTest(t *testing.T, path string) string {
	t.Helper()
	if path != "" {
		return path
	}
	daemon, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	return daemon
}

// logDirectory returns a directory for the logs of a test: one below root, which keeps them, or
// a temporary one if root is empty.
func logDirectory(t *testing.T, root string) string {
	t.Helper()
	if root == "" {
		return t.TempDir()
	}
	dir := filepath.Join(root, strings.NewReplacer("/", "-", " ", "-").Replace(t.Name()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// rand returns a source of randomness for each name, the same one with the same seed.
func (h *harness) rand(name string) *rand.Rand {
	return rand.New(rand.NewPCG(h.opts.Seed, xxhash.Sum64String(name)))
}

// linesOf returns the lines of a VM's log that contain one of the texts.
func (h *harness) linesOf(vm string, texts ...string) string {
	log, err := os.ReadFile(filepath.Join(h.opts.Dir, vm+".log"))
	if err != nil {
		return err.Error()
	}
	var out []string
	for line := range strings.Lines(string(log)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				out = append(out, "    "+strings.TrimSpace(line))
				break
			}
		}
	}
	return strings.Join(out, "\n")
}

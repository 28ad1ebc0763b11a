package daemon

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against settings that are read while they are written.
func TestReadSettled(t *testing.T) {
	for _, c := range []struct {
		reads []string
		want  string
	}{
		{[]string{"graceS: 18", "graceS: 18"}, "graceS: 18"},
		{[]string{"", "graceS: 1", "graceS: 18", "graceS: 18"}, "graceS: 18"},
		{[]string{"a", "b", "a", "a"}, "a"},
	} {
		pauses := 0
		got, err := readSettled(func() ([]byte, error) { return []byte(c.reads[pauses]), nil }, func() { pauses++ })
		if err != nil || string(got) != c.want || pauses != len(c.reads)-1 {
			t.Errorf("%q: got %q after %d pauses, %v", c.reads, got, pauses, err)
		}
	}
	gone := errors.New("gone")
	if _, err := readSettled(func() ([]byte, error) { return nil, gone }, func() {}); !errors.Is(err, gone) {
		t.Errorf("got %v", err)
	}
}

// Guards against a grace period of 1 s in place of 18 s, after which a stop cuts requests, since the
// settings were read while they were half written as the reload signal came.
func TestHalfWrittenSettingsAreNotApplied(t *testing.T) {
	settings, ready := writeSettings(t)
	text, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	// The line with the bounds becomes the last one, in block style.
	var lines []string
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "bounds:") {
			lines = append(lines, line)
		}
	}
	half := strings.Join(lines, "") + "bounds:\n  drainMs: 2000\n  budgetWindowS: 10\n  graceS: 1"
	output, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	p := startDaemon(t, settings, output)
	awaitReadiness(t, ready, withoutConfiguration, 10*time.Second)
	from := int64(0)
	for begin := time.Now(); ; time.Sleep(3 * settingsSettleTime) {
		if from, err = output.Seek(0, io.SeekEnd); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(settings, []byte(half), 0o600); err != nil {
			t.Fatal(err)
		}
		written := time.Now()
		p.signal(syscall.SIGHUP)
		time.Sleep(settingsSettleTime / 4)
		if err := os.WriteFile(settings, []byte(half+"8\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		// A writer that pauses for longer than the settle time is not what this test is about.
		if time.Since(written) < settingsSettleTime/2 || time.Since(begin) > 30*time.Second {
			break
		}
	}
	var log string
	for begin := time.Now(); !strings.Contains(log, "grace=18s") && time.Since(begin) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(output.Name())
		if err != nil {
			t.Fatal(err)
		}
		log = string(text[from:])
	}
	if !strings.Contains(log, "grace=18s") || strings.Contains(log, "grace=1s") {
		t.Errorf("log:\n%s", log)
	}
}

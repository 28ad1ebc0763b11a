package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// DurationSummary is a histogram of durations.
type DurationSummary struct {
	// Excused durations count in no other field.
	Count, Excused int
	Longest        time.Duration
	// Bounds are the upper bounds of the classes. Classes has one more for the longer
	// durations.
	Bounds  []time.Duration
	Classes []int
}

func newDurationSummary(bounds []time.Duration) DurationSummary {
	return DurationSummary{Bounds: bounds, Classes: make([]int, len(bounds)+1)}
}

func (s *DurationSummary) add(d time.Duration, excused bool) {
	if excused {
		s.Excused++
		return
	}
	s.Count++
	s.Longest = max(s.Longest, d)
	class := slices.IndexFunc(s.Bounds, func(bound time.Duration) bool { return d < bound })
	if class < 0 {
		class = len(s.Bounds)
	}
	s.Classes[class]++
}

func (s DurationSummary) String() string {
	text := fmt.Sprintf("%d, longest %v, excused %d;", s.Count, s.Longest.Round(time.Millisecond), s.Excused)
	for i, bound := range s.Bounds {
		text += fmt.Sprintf(" under %v: %d,", bound, s.Classes[i])
	}
	return text + fmt.Sprintf(" longer: %d", s.Classes[len(s.Bounds)])
}

// Files with details in the directory of a run.
const (
	overlapFile = "overlaps.txt"
	noticeFile  = "notices.txt"
	limitFile   = "limits.txt"
)

func (h *harness) writeDetails() error {
	return errors.Join(h.writeLines(overlapFile, h.overlapDetails), h.writeLines(noticeFile, h.noticeDetails), h.writeLines(limitFile, h.limitDetails))
}

func (h *harness) writeLines(name string, lines []string) error {
	text := strings.Join(append(lines, ""), "\n")
	if err := os.WriteFile(filepath.Join(h.opts.Dir, name), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write "+name)
	}
	return nil
}

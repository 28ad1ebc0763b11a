package review

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	repository string
	startedAt  = time.Now()
	recordMu   sync.Mutex
	recordFile *os.File
)

func since() time.Duration { return time.Since(startedAt) }

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f s  %s\n", since().Seconds(), fmt.Sprintf(format, args...))
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}

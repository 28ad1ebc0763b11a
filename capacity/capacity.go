// Package capacity measures how the resource usage of each role grows with the
// size of a deployment, and extrapolates it to the size that docs/CAPACITY.md
// plans for.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// Sizes that docs/CAPACITY.md plans for.
const (
	TargetVMs            = 510
	TargetWorkers        = 12_000
	TargetOrganisations  = 2_400
	TargetTokensPerSec   = 4_400_000
	TargetRequestsPerSec = 14_000
	// TargetStreams is the number of concurrent streams of one VM: 14,000
	// requests/s of 314 tokens each at 56 ms per token, divided by 510 VMs.
	TargetStreams = 483
)

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Series holds the values of a quantity at several sizes.
type Series struct {
	Role     string
	Quantity string
	// SizeUnit and ValueUnit are the units of Size and Value of the points.
	SizeUnit  string
	ValueUnit string
	Points    []Point
	// Target is the size to extrapolate to.
	Target float64
}

// Fit returns the least-squares fit value = base + slope*size.
func (s Series) Fit() (base, slope float64) {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return sy / n, 0
	}
	slope = (n*sxy - sx*sy) / d
	return (sy - slope*sx) / n, slope
}

// AtTarget returns the value extrapolated to the target size.
func (s Series) AtTarget() float64 {
	base, slope := s.Fit()
	return base + slope*s.Target
}

// Print writes the series as a table, with the slope and the extrapolated value.
func Print(w io.Writer, all []Series) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ROLE\tQUANTITY\tMEASURED\tSLOPE\tAT TARGET")
	for _, s := range all {
		_, slope := s.Fit()
		measured := ""
		for i, p := range s.Points {
			if i > 0 {
				measured += ", "
			}
			measured += fmt.Sprintf("%g: %.4g", p.Size, p.Value)
		}
		fmt.Fprintf(t, "%s\t%s (%s)\t%s\t%.4g per %s\t%.4g at %g\n",
			s.Role, s.Quantity, s.ValueUnit, measured, slope, s.SizeUnit, s.AtTarget(), s.Target)
	}
	return t.Flush()
}

// measure appends the value of f at each size to the points of s.
func measure(s Series, sizes []int, f func(n int) (float64, error)) (Series, error) {
	for _, n := range sizes {
		v, err := f(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{Size: float64(n), Value: v})
	}
	return s, nil
}

// minMeasureTime is the minimum time for which an operation is repeated.
const minMeasureTime = 200 * time.Millisecond

// perOperation returns the mean duration of f in microseconds.
func perOperation(f func()) float64 {
	f() // Warms up caches.
	runs := 0
	start := time.Now()
	for time.Since(start) < minMeasureTime {
		f()
		runs++
	}
	return float64(time.Since(start).Microseconds()) / float64(runs)
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

package serverstate

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Pause is the time for which a server wants no requests of this VM.
type Pause struct {
	// Delay is the length of the pause from the answer on.
	Delay time.Duration
	// Limited is set if the server asked for more than the limit.
	Limited bool
	// Invalid is set if a value was no delay in seconds.
	Invalid bool
}

// ParsePause parses retry delays in seconds, which may have fractions and exponents. Of
// several values, which may also be joined by commas, the longest valid one counts, and
// none counts for more than limit. It returns false if no value asks for a pause:
// dates, hexadecimal, infinite and negative numbers are invalid, and 0 is no pause.
func ParsePause(values []string, limit time.Duration) (Pause, bool) {
	var p Pause
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			p.add(strings.Trim(item, " \t"), limit)
		}
	}
	return p, p.Delay > 0
}

func (p *Pause) add(item string, limit time.Duration) {
	seconds, ok := ParseDecimal(item)
	if !ok {
		p.Invalid = true
		return
	}
	if seconds > limit.Seconds() {
		p.Delay, p.Limited = limit, true
		return
	}
	p.Delay = max(p.Delay, min(time.Duration(math.Ceil(seconds*float64(time.Second))), limit))
}

// ParseDecimal parses a decimal number that is not negative, as backend servers name them
// in headers. A number that is too large for a float64 is infinite.
func ParseDecimal(s string) (float64, bool) {
	const characters = "0123456789.+-eE" // excludes what else strconv accepts: hexadecimal, inf, nan
	if s == "" || strings.Trim(s, characters) != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return n, n >= 0 && !math.Signbit(n)
}

package ratelimit

import (
	"strings"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Rate is a number of requests a second.
type Rate float64

// Limits of rates.
const (
	// MinRate is the lowest rate at which requests are sent. The answers to requests are
	// the only way to learn that a limit has ended, so a server that names 0 gets a few.
	MinRate Rate = 0.1
	// MaxRate is above what a fleet sends to one server.
	MaxRate Rate = 1e6
)

// ParseRate parses the values of a header that names a rate. Of several values, which may
// also be joined by commas, the lowest valid one counts. Rates are decimal numbers, which
// may have fractions and exponents. named is false if no value is valid, invalid is set if
// some value is not.
func ParseRate(values []string) (rate Rate, named, invalid bool) {
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			n, ok := serverstate.ParseDecimal(strings.Trim(item, " \t"))
			if !ok {
				invalid = true
				continue
			}
			if r := Rate(min(n, float64(MaxRate))); !named || r < rate {
				rate, named = r, true
			}
		}
	}
	return rate, named, invalid
}

// effective returns the rate at which requests are sent.
func (r Rate) effective() float64 { return float64(min(max(r, MinRate), MaxRate)) }

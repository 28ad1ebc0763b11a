package api

import (
	"strings"
	"testing"
)

const fuzzRandom = "0123456789abcdef0123456789abcdef"

// FuzzIDs guards against ids with more than one accepted spelling, with which a resume
// could refer to a generation or an offset that the engine knows by another spelling,
// and against ids that this package writes but does not parse.
func FuzzIDs(f *testing.F) {
	for _, seed := range []string{
		"", ":", "engine-1." + fuzzRandom, "engine-1." + fuzzRandom + ":7", "engine-1." + fuzzRandom + ":+7",
		"engine-1." + fuzzRandom + ":07", "engine-1." + fuzzRandom + ":-0", "a:b." + fuzzRandom, "a:b." + fuzzRandom + ":1",
		"a." + strings.ToUpper(fuzzRandom), "a." + strings.ToUpper(fuzzRandom) + ":1", "a." + fuzzRandom + ":99999999999999999999",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if id, err := ParseEventID(s); err == nil && id.String() != s {
			t.Errorf("%q is parsed as %q", s, id)
		}
		g, err := ParseGenerationID(s)
		if err != nil {
			return
		}
		if g.String() != s {
			t.Errorf("%q is parsed as %q", s, g)
		}
		if g.Token != strings.ToLower(g.Token) {
			t.Errorf("%q is accepted although NewGenerationID writes lower case", s)
		}
		if id, err := ParseEventID(EventID{Generation: s, Offset: 3}.String()); err != nil || id.Generation != s || id.Offset != 3 {
			t.Errorf("event 3 of %q is parsed as %v with error %v", s, id, err)
		}
	})
}

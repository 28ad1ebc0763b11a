package tracegen

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/replay"
)

// Guards against traces that differ from run to run or miss their load, and against
// a flood that changes the requests of other organisations, which would make its
// effect impossible to measure.
func TestGenerate(t *testing.T) {
	c := Capacity{TokensPerSecond: 700, RequestsPerSecond: 1.9, Concurrency: 40}
	p := rafmagnstilbod()
	options := Options{Name: "x", Seed: 3, Duration: time.Minute, Load: 0.9}
	calm, again := Generate(p, c, options), Generate(p, c, options)
	options.Flood = &Flood{Organisation: "raf-d", From: 10 * time.Second, Until: 20 * time.Second, Load: 1}
	flood := Generate(p, c, options)
	if !bytes.Equal(encode(t, calm), encode(t, again)) {
		t.Error("two traces generated with the same options differ")
	}
	tokens := 0
	for _, a := range calm.Arrivals {
		tokens += a.Tokens
	}
	if load := float64(tokens) / (c.TokensPerSecond * float64(p.Engines) * 60); math.Abs(load-0.9) > 0.02 {
		t.Errorf("load %.3f, want 0.9 within 0.02", load)
	}
	added := len(flood.Arrivals) - len(calm.Arrivals)
	calm.Arrivals, flood.Arrivals = withoutOrganisationD(calm), withoutOrganisationD(flood)
	if added < 100 || !bytes.Equal(encode(t, calm), encode(t, flood)) {
		t.Errorf("flood added %d requests, want at least 100, or changed requests of other organisations", added)
	}
	if _, err := replay.Read(bytes.NewReader(encode(t, flood))); err != nil {
		t.Errorf("read the generated trace: %v", err)
	}
}

func encode(t *testing.T, trace *replay.Trace) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := replay.Write(&buf, trace); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func withoutOrganisationD(t *replay.Trace) []replay.Arrival {
	var list []replay.Arrival
	for _, a := range t.Arrivals {
		if a.Organisation != "raf-d" {
			list = append(list, a)
		}
	}
	return list
}

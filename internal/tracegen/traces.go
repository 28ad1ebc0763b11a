package tracegen

import (
	"time"

	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
	"github.com/vanillaarch/vanillaarch/replay"
)

// Parameters of the committed traces.
const (
	// traceSeed and traceDuration apply to all of them. 7 minutes let queues build
	// up and the longest outputs, which take about 4 minutes, complete.
	traceSeed     = 20261204
	traceDuration = 7 * time.Minute
	// faultLoad leaves capacity to recover from faults and floods.
	faultLoad = 0.8
)

// GenerateAll generates all traces of both tenants.
func GenerateAll() ([]*replay.Trace, error) {
	var traces []*replay.Trace
	for _, p := range []Profile{rafmagnstilbod(), fellos()} {
		results, err := MeasureCapacity(p, enginemodel.DefaultSettings())
		if err != nil {
			return nil, err
		}
		for _, o := range traceVariants(p) {
			o.Name, o.Seed, o.Duration = p.Tenant+"-"+o.Name, traceSeed, traceDuration
			traces = append(traces, Generate(p, results[0], o))
		}
	}
	return traces, nil
}

// traceVariants lists the traces of a tenant. Floods and reclaimed engines are
// generated for the first tenant only, stalled streams for both.
func traceVariants(p Profile) []Options {
	list := []Options{
		{Name: "70", Load: 0.70},
		{Name: "95", Load: 0.95},
		{Name: "130", Load: 1.30},
		{Name: "stall", Load: faultLoad, Faults: stallFaults(p.Engines)},
	}
	if p.Tenant != rafmagnstilbod().Tenant {
		return list
	}
	flood := &Flood{Organisation: p.orgs[3].name, From: time.Minute, Until: 4 * time.Minute, Load: 0.8}
	return append(list,
		Options{Name: "calm", Load: faultLoad},
		Options{Name: "flood", Load: faultLoad, Flood: flood},
		Options{Name: "reclaim", Load: faultLoad, Faults: reclaimFaults()},
	)
}

// reclaimFaults reclaims 4 of the engines, half of them with notice. Two restart.
func reclaimFaults() []replay.Fault {
	return []replay.Fault{
		{AtMicros: micros(80 * time.Second), Kind: replay.FaultReclaim, Engine: replay.EngineID(1), DurationMS: 60_000},
		{AtMicros: micros(110 * time.Second), Kind: replay.FaultReclaim, Engine: replay.EngineID(4), NoticeMS: 5_000},
		{AtMicros: micros(110 * time.Second), Kind: replay.FaultReclaim, Engine: replay.EngineID(7), DurationMS: 90_000, NoticeMS: 5_000},
		{AtMicros: micros(150 * time.Second), Kind: replay.FaultReclaim, Engine: replay.EngineID(9)},
	}
}

// stallFaults stalls the streams of each engine every 50 seconds, in turn
// permanently, for longer and for less than the idle timeout.
func stallFaults(engines int) []replay.Fault {
	var faults []replay.Fault
	durations := []int64{0, 10_000, 1_500}
	for round := range 7 {
		for i := range engines {
			at := time.Duration(20+50*round)*time.Second + time.Duration(3*i)*time.Second
			faults = append(faults, replay.Fault{
				AtMicros: micros(at), Kind: replay.FaultStall, Engine: replay.EngineID(i), DurationMS: durations[(i+round)%len(durations)],
			})
		}
	}
	return faults
}

func micros(d time.Duration) int64 { return d.Microseconds() }

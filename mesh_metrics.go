package vanillaarch

import (
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/peer"
)

func (m *mesh) registerMetrics() {
	metrics.NewRegisteredFunctionalGauge("evacuation.zones", m.opts.Metrics, func() int64 {
		return int64(len(m.opts.Loop.Snapshot().Evacuations.Zones()))
	})
	registerGauges(m.opts.Metrics, m.gossip.Stats, map[string]func(gossip.Stats) int64{
		"gossip.requests":      func(st gossip.Stats) int64 { return st.Requests },
		"gossip.deltas":        func(st gossip.Stats) int64 { return st.Deltas },
		"gossip.wholes":        func(st gossip.Stats) int64 { return st.FullDocuments },
		"gossip.encoded_bytes": func(st gossip.Stats) int64 { return st.EncodedBytes },
		"gossip.unfit":         func(st gossip.Stats) int64 { return st.DeltaMismatches },
		"gossip.dropped":       func(st gossip.Stats) int64 { return st.Dropped },
	})
	registerGauges(m.opts.Metrics, m.sessions.Stats, map[string]func(peer.Stats) int64{
		"peer.bytes_sent":        func(st peer.Stats) int64 { return st.BytesSent },
		"peer.bytes_received":    func(st peer.Stats) int64 { return st.BytesReceived },
		"peer.sessions_opened":   func(st peer.Stats) int64 { return st.Opened },
		"peer.sessions_replaced": func(st peer.Stats) int64 { return st.Replaced },
		"peer.refused":           func(st peer.Stats) int64 { return st.Refused },
	})
}

// registerGauges registers one gauge for each of the named values of stats.
func registerGauges[S any](r metrics.Registry, stats func() S, values map[string]func(S) int64) {
	for name, value := range values {
		metrics.NewRegisteredFunctionalGauge(name, r, func() int64 { return value(stats()) })
	}
}

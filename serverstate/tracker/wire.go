package tracker

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// send sends departures to a peer, best effort.
func (t *Tracker) send(to string, servers []serverstate.Server) {
	for part := range slices.Chunk(servers, maxMessageServers) {
		t.counters.sent.Inc(1)
		if err := t.opts.Transport.Send(to, encode(part)); err != nil {
			t.opts.Log.Debug("departures_not_sent", zap.String("peer", to), zap.Error(err))
		}
	}
}

func encode(servers []serverstate.Server) *peerpb.Envelope {
	out := &peerpb.Departures{Servers: make([]*peerpb.LeavingServer, len(servers))}
	for i, s := range servers {
		out.Servers[i] = &peerpb.LeavingServer{Id: s.ID, Incarnation: s.Incarnation}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Departures{Departures: out}}
}

// decode returns the servers of a message, at most as many as this version sends.
func decode(in *peerpb.Departures) []serverstate.Server {
	servers := in.GetServers()
	servers = servers[:min(len(servers), maxMessageServers)]
	out := make([]serverstate.Server, len(servers))
	for i, s := range servers {
		out[i] = serverstate.Server{ID: s.GetId(), Incarnation: s.GetIncarnation()}
	}
	return out
}

// digest identifies a sorted list of servers, 0 being the empty one.
func digest(servers []serverstate.Server) uint64 {
	if len(servers) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range servers {
		// Errors of a hash are always nil.
		_, _ = d.WriteString(s.ID)
		_, _ = d.WriteString("\x00" + strconv.FormatInt(s.Incarnation, 10) + "\x00")
	}
	return max(d.Sum64(), 1)
}

package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// evacuationSource is the source of the evacuated availability zones, which the operator orders in
// the platform's store.
type evacuationSource struct{ loop *control.Loop }

func (s *evacuationSource) Version() int64 {
	return int64(s.loop.Snapshot().Evacuations.List().Version)
}

// Refuses rejects lists that an own read of the store has shown to be outdated.
func (s *evacuationSource) Refuses(version int64) bool {
	return evacuation.Version(version) <= s.loop.Snapshot().Evacuations.KnownTo()
}

func (s *evacuationSource) Encode() (int64, []byte, error) {
	list := s.loop.Snapshot().Evacuations.List()
	m := &peerpb.Evacuations{Version: int64(list.Version)}
	for _, z := range list.Zones {
		m.Zones = append(m.Zones, &peerpb.Evacuation{Zone: z.Name, Revision: z.Revision})
	}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return m.Version, content, err
}

func (s *evacuationSource) Accept(content []byte, version int64, from string) error {
	var m peerpb.Evacuations
	if err := proto.Unmarshal(content, &m); err != nil {
		return err
	}
	if m.GetVersion() != version {
		return &VersionError{Announced: version, Carried: m.GetVersion()}
	}
	var zones []evacuation.Zone
	for _, z := range m.GetZones() {
		zones = append(zones, evacuation.Zone{Name: z.GetZone(), Revision: z.GetRevision()})
	}
	s.loop.Post(control.EvacuationsReceived{List: evacuation.NewList(evacuation.Version(version), zones), Source: peerSourcePrefix + from})
	return nil
}

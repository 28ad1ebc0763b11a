package gossip

import (
	"crypto/ed25519"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// peerSourcePrefix is prepended to the peer's ID in the source of a document.
const peerSourcePrefix = "peer "

// Sources returns sources for the bundle and the VM list of a control loop. If keys
// is not empty, bundles must be signed by one of them.
func Sources(loop *control.Loop, keys []ed25519.PublicKey) map[peerpb.DocumentKind]Source {
	return map[peerpb.DocumentKind]Source{
		KindBundle: &bundleSource{loop: loop, keys: keys},
		KindVMList: &vmListSource{loop: loop},
	}
}

type bundleSource struct {
	loop *control.Loop
	keys []ed25519.PublicKey
}

func (b *bundleSource) Version() int64 {
	if ix := b.loop.Snapshot().Bundle; ix != nil {
		return ix.Version()
	}
	return 0
}

// Refuses always returns false, since bundles are signed.
func (b *bundleSource) Refuses(int64) bool { return false }

func (b *bundleSource) Encode() (int64, []byte, error) {
	signed := b.loop.Snapshot().Signed
	content, err := signed.Encode()
	return signed.Version, content, err
}

func (b *bundleSource) Accept(content []byte, version int64, from string) error {
	signed, err := bundle.DecodeSigned(content)
	if err != nil {
		return err
	}
	if signed.Version != version {
		return &VersionError{Announced: version, Carried: signed.Version}
	}
	index, err := signed.Open(b.keys)
	if err != nil {
		return err
	}
	b.loop.Post(control.BundleReceived{Signed: signed, Index: index, Source: peerSourcePrefix + from})
	return nil
}

type vmListSource struct {
	loop *control.Loop
	vmListCodec
}

func (v *vmListSource) Version() int64 { return v.loop.Snapshot().VMs.Revision }

// Refuses rejects revisions that the platform has contradicted.
func (v *vmListSource) Refuses(version int64) bool {
	ceiling := v.loop.Snapshot().VMListCeiling
	return ceiling > 0 && version >= ceiling
}

func (v *vmListSource) Encode() (int64, []byte, error) {
	return v.encode(v.loop.Snapshot().VMs)
}

func (v *vmListSource) Accept(content []byte, version int64, from string) error {
	list, err := v.decode(content, version)
	if err != nil {
		return err
	}
	v.loop.Post(control.VMListReceived{List: list, Source: peerSourcePrefix + from, FromPeer: true})
	return nil
}

// vmListCodec encodes and decodes VM lists. It is not safe for concurrent use:
// Gossip uses each source from a single goroutine.
type vmListCodec struct {
	encoder vmlist.Encoder
	decoder vmlist.Decoder
	// accepted is the last list decoded from a peer, content its encoding.
	accepted *vmlist.List
	content  []byte
}

// encode returns the revision and the encoding of a list. A list from a peer keeps
// the encoding in which it was received.
func (d *vmListCodec) encode(l *vmlist.List) (int64, []byte, error) {
	if l == d.accepted {
		return l.Revision, d.content, nil
	}
	content, err := d.encoder.Encode(l)
	return l.Revision, content, err
}

// decode decodes a list from a peer. It returns a *VersionError if the revision is
// not the announced one.
func (d *vmListCodec) decode(content []byte, version int64) (*vmlist.List, error) {
	l, err := d.decoder.Decode(content)
	if err != nil {
		return nil, err
	}
	if l.Revision != version {
		return nil, &VersionError{Announced: version, Carried: l.Revision}
	}
	d.accepted, d.content = l, content
	return l, nil
}

// RouteSources returns sources for the operator's configuration, the backend
// servers, the entry VMs and the evacuated zones of a control loop. The two lists are separate documents,
// so that neither has to carry an outdated state of the other. decode parses a
// configuration.
func RouteSources(loop *control.Loop, decode func([]byte) (*route.Table, error)) map[peerpb.DocumentKind]Source {
	return map[peerpb.DocumentKind]Source{
		KindBundle: &routeSource{loop: loop, decode: decode},
		KindVMList: &partialVMListSource{
			list:   func() *vmlist.List { return loop.Snapshot().Servers },
			accept: func(l *vmlist.List, source string) { loop.Post(control.ServersListed{List: l, Source: source}) },
		},
		KindEntryVMs: &partialVMListSource{
			list:   func() *vmlist.List { return loop.Snapshot().Members },
			accept: func(l *vmlist.List, source string) { loop.Post(control.MembersListed{List: l, Source: source}) },
		},
		KindEvacuations: &evacuationSource{loop: loop},
	}
}

// partialVMListSource is the source of one part of the VM list: the backend servers
// or the entry VMs.
type partialVMListSource struct {
	list   func() *vmlist.List
	accept func(l *vmlist.List, source string)
	vmListCodec
}

func (s *partialVMListSource) Version() int64 { return s.list().Revision }

// Refuses always returns false: lists and their revisions come from the platform's
// store, and a VM that reads the store corrects a wrong list.
func (s *partialVMListSource) Refuses(int64) bool { return false }

func (s *partialVMListSource) Encode() (int64, []byte, error) {
	return s.encode(s.list())
}

func (s *partialVMListSource) Accept(content []byte, version int64, from string) error {
	list, err := s.decode(content, version)
	if err != nil {
		return err
	}
	s.accept(list, peerSourcePrefix+from)
	return nil
}

// routeSource replaces bundleSource where the operator writes the configuration to
// the platform's store.
type routeSource struct {
	loop   *control.Loop
	decode func([]byte) (*route.Table, error)
}

func (r *routeSource) Version() int64 {
	if t := r.loop.Snapshot().Routes; t != nil {
		return t.Version
	}
	return 0
}

// Refuses always returns false, since only the operator can write a configuration.
func (r *routeSource) Refuses(int64) bool { return false }

func (r *routeSource) Encode() (int64, []byte, error) {
	snap := r.loop.Snapshot()
	return snap.Routes.Version, snap.RoutesContent, nil
}

func (r *routeSource) Accept(content []byte, version int64, from string) error {
	table, err := r.decode(content)
	if err != nil {
		return err
	}
	if table.Version != version {
		return &VersionError{Announced: version, Carried: table.Version}
	}
	r.loop.Post(control.RoutesReceived{Table: table, Content: content, Source: peerSourcePrefix + from})
	return nil
}

package gossip

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// inboxMessages bounds messages that wait for the gossip goroutine. Those
// beyond it are dropped: offers repeat with each heartbeat.
const inboxMessages = 256

// Document kinds, in short.
const (
	KindBundle = peerpb.DocumentKind_DOCUMENT_KIND_BUNDLE
	KindVMList = peerpb.DocumentKind_DOCUMENT_KIND_VM_LIST
)

// Source holds the documents of one kind.
type Source interface {
	// Version returns the version in force, 0 if there is none.
	Version() int64
	// Encode returns the document in force with its version.
	Encode() (version int64, content []byte, err error)
	// Accept verifies a document and puts it in force if it is newer.
	Accept(content []byte, version int64, from string) error
}

// RejectedError reports a document of a peer that failed verification.
type RejectedError struct {
	From    string
	Version int64
	Cause   error
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("document version %d of peer %s rejected: %v", e.Version, e.From, e.Cause)
}

func (e *RejectedError) Unwrap() error { return e.Cause }

// VersionError reports a document that carries another version than announced.
type VersionError struct{ Announced, Carried int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("announced as version %d, carries version %d", e.Announced, e.Carried)
}

// Gossip exchanges documents with peers.
type Gossip struct {
	sources  map[peerpb.DocumentKind]Source
	exchange *Exchange
	inbox    chan message
	log      *zap.Logger
	dropped  atomic.Int64
}

type message struct {
	from string
	m    *peerpb.Membership
}

// New returns an exchange of the given sources; Run must be called.
func New(sources map[peerpb.DocumentKind]Source, log *zap.Logger) *Gossip {
	return &Gossip{sources: sources, exchange: NewExchange(), inbox: make(chan message, inboxMessages), log: log}
}

// Receive takes a message from a peer. It does not block.
func (g *Gossip) Receive(from string, m *peerpb.Membership) {
	if !g.relevant(m) {
		return
	}
	select {
	case g.inbox <- message{from, m}:
	default:
		g.dropped.Add(1)
	}
}

// relevant drops heartbeats that offer nothing new before they take a place in the inbox.
func (g *Gossip) relevant(m *peerpb.Membership) bool {
	if m.GetDocumentRequest() != nil || m.GetDocument() != nil {
		return true
	}
	bundle, vmList := offers(m)
	return bundle > g.sources[KindBundle].Version() || vmList > g.sources[KindVMList].Version()
}

func offers(m *peerpb.Membership) (bundle, vmList int64) {
	if a := m.GetHeartbeatAck(); a != nil {
		return a.GetBundleVersion(), a.GetVmListRevision()
	}
	return m.GetHeartbeat().GetBundleVersion(), m.GetHeartbeat().GetVmListRevision()
}

// Run handles messages until ctx ends.
func (g *Gossip) Run(ctx context.Context, transport peer.Transport) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-g.inbox:
			for _, reply := range g.handle(time.Now(), in) {
				g.send(transport, in.from, reply)
			}
		}
	}
}

func (g *Gossip) send(transport peer.Transport, to string, m *peerpb.Membership) {
	err := transport.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_Membership{Membership: m}})
	if err != nil {
		g.log.Debug("gossip_not_sent", zap.String("peer", to), zap.Error(err))
	}
}

func (g *Gossip) handle(now time.Time, in message) []*peerpb.Membership {
	if r := in.m.GetDocumentRequest(); r != nil {
		return g.answer(r)
	}
	if d := in.m.GetDocument(); d != nil {
		if err := g.accept(now, in.from, d); err != nil {
			g.log.Warn("gossip_document_rejected", zap.Error(err))
		}
		return nil
	}
	bundle, vmList := offers(in.m)
	return append(g.offer(now, in.from, KindBundle, bundle), g.offer(now, in.from, KindVMList, vmList)...)
}

func (g *Gossip) offer(now time.Time, from string, k peerpb.DocumentKind, version int64) []*peerpb.Membership {
	g.exchange.Hold(k, g.sources[k].Version())
	held := g.exchange.Held(k)
	if !g.exchange.Offer(now, from, k, version) {
		return nil
	}
	return []*peerpb.Membership{{Message: &peerpb.Membership_DocumentRequest{
		DocumentRequest: &peerpb.DocumentRequest{Kind: k, AboveVersion: held},
	}}}
}

func (g *Gossip) answer(r *peerpb.DocumentRequest) []*peerpb.Membership {
	source := g.sources[r.GetKind()]
	if source == nil || source.Version() <= r.GetAboveVersion() {
		return nil
	}
	version, content, err := source.Encode()
	if err != nil {
		g.log.Error("gossip_encode_failed", zap.Error(err))
		return nil
	}
	return []*peerpb.Membership{{Message: &peerpb.Membership_Document{
		Document: &peerpb.Document{Kind: r.GetKind(), Version: version, Content: content},
	}}}
}

func (g *Gossip) accept(now time.Time, from string, d *peerpb.Document) error {
	source := g.sources[d.GetKind()]
	if source == nil {
		return &RejectedError{From: from, Version: d.GetVersion(), Cause: &VersionError{Announced: d.GetVersion()}}
	}
	g.exchange.Hold(d.GetKind(), source.Version())
	if !g.exchange.Wanted(from, d.GetKind(), d.GetVersion()) {
		return nil
	}
	if err := source.Accept(d.GetContent(), d.GetVersion(), from); err != nil {
		g.exchange.Refuse(now, from, d.GetKind())
		return &RejectedError{From: from, Version: d.GetVersion(), Cause: err}
	}
	g.exchange.Hold(d.GetKind(), d.GetVersion())
	return nil
}

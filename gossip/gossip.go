package gossip

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/delta"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// inboxMessages bounds messages queued for the gossip goroutine. Further ones are
// dropped, since every heartbeat repeats the offers.
const inboxMessages = 256

// Short names of the document kinds.
const (
	KindBundle = peerpb.DocumentKind_DOCUMENT_KIND_BUNDLE
	KindVMList = peerpb.DocumentKind_DOCUMENT_KIND_VM_LIST
	// KindEntryVMs is used where entry VMs and backend servers have separate lists.
	KindEntryVMs = peerpb.DocumentKind_DOCUMENT_KIND_ENTRY_VMS
	// KindEvacuations is used where the operator evacuates availability zones.
	KindEvacuations = peerpb.DocumentKind_DOCUMENT_KIND_EVACUATIONS
)

// Source provides and accepts the documents of one kind.
type Source interface {
	// Version returns the version in force, or 0 if there is none.
	Version() int64
	// Refuses reports whether a version must not be accepted from peers.
	Refuses(version int64) bool
	// Encode returns the document in force and its version. The encoding must be
	// identical on all VMs that hold the same version.
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

// VersionError reports a document whose version differs from the announced one.
type VersionError struct{ Announced, Carried int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("announced as version %d, carries version %d", e.Announced, e.Carried)
}

// UnknownBaseError reports a delta whose base version is not in the history.
type UnknownBaseError struct{ Fingerprint uint64 }

func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("no base version with fingerprint %016x in the history", e.Fingerprint)
}

// Stats holds the counters of document exchange.
type Stats struct {
	// Requests counts document requests sent. Deltas and FullDocuments count documents
	// sent.
	Requests, Deltas, FullDocuments int64
	// EncodedBytes counts the encoded bytes of sent documents, without message overhead.
	EncodedBytes int64
	// DeltaMismatches counts received deltas that could not be applied and led to a
	// fetch of the full document.
	DeltaMismatches int64
	// Dropped counts messages dropped because the inbox was full.
	Dropped int64
}

// Gossip exchanges documents with peers.
type Gossip struct {
	sources map[peerpb.DocumentKind]Source
	// kinds holds the keys of sources in ascending order.
	kinds     []peerpb.DocumentKind
	histories map[peerpb.DocumentKind]*History
	exchange  *Exchange
	inbox     chan message
	log       *zap.Logger

	requests, deltas, fullDocuments, encodedBytes, deltaMismatches, dropped atomic.Int64
}

type message struct {
	from string
	m    *peerpb.Membership
}

// New returns a Gossip for the given sources. The caller must call Run.
func New(sources map[peerpb.DocumentKind]Source, log *zap.Logger) *Gossip {
	g := &Gossip{
		sources: sources, exchange: NewExchange(), inbox: make(chan message, inboxMessages), log: log,
		histories: map[peerpb.DocumentKind]*History{},
	}
	for k := range sources {
		g.kinds = append(g.kinds, k)
		g.histories[k] = NewHistory(historyBytes(k))
	}
	slices.Sort(g.kinds)
	return g
}

// historyBytes returns the size limit of the history of a kind.
func historyBytes(k peerpb.DocumentKind) int {
	switch k {
	case KindBundle:
		return BundleHistoryBytes
	case KindEvacuations:
		return EvacuationsHistoryBytes
	default:
		return VMListHistoryBytes
	}
}

// Stats returns the counters.
func (g *Gossip) Stats() Stats {
	return Stats{
		Requests: g.requests.Load(), Deltas: g.deltas.Load(), FullDocuments: g.fullDocuments.Load(),
		EncodedBytes: g.encodedBytes.Load(), DeltaMismatches: g.deltaMismatches.Load(), Dropped: g.dropped.Load(),
	}
}

// Receive queues a message from a peer. It does not block: if the inbox is full,
// the message is dropped.
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

// relevant returns false for heartbeats that offer no newer version, so that they
// do not fill the inbox.
func (g *Gossip) relevant(m *peerpb.Membership) bool {
	if m.GetDocumentRequest() != nil || m.GetDocument() != nil {
		return true
	}
	for _, k := range g.kinds {
		if offeredVersion(m, k) > g.sources[k].Version() {
			return true
		}
	}
	return false
}

// versionOffers is implemented by the messages that offer versions: Heartbeat and
// HeartbeatAck.
type versionOffers interface {
	GetBundleVersion() int64
	GetVmListRevision() int64
	GetEntryVmsRevision() int64
	GetEvacuationsVersion() int64
}

// offeredVersion returns the version of a kind that a message offers.
func offeredVersion(m *peerpb.Membership, k peerpb.DocumentKind) int64 {
	var o versionOffers = m.GetHeartbeat()
	if a := m.GetHeartbeatAck(); a != nil {
		o = a
	}
	switch k {
	case KindBundle:
		return o.GetBundleVersion()
	case KindVMList:
		return o.GetVmListRevision()
	case KindEntryVMs:
		return o.GetEntryVmsRevision()
	case KindEvacuations:
		return o.GetEvacuationsVersion()
	default:
		return 0
	}
}

// Run handles messages until ctx is cancelled. changed signals that the sources may
// have new versions, which are added to the histories as delta bases.
func (g *Gossip) Run(ctx context.Context, transport peer.Transport, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			for _, k := range g.kinds {
				g.recordVersion(k)
			}
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

// recordVersion adds the version in force to the history of its kind. A version below
// the last one means that the platform has contradicted the peers.
func (g *Gossip) recordVersion(k peerpb.DocumentKind) {
	source, history := g.sources[k], g.histories[k]
	version := source.Version()
	if version < history.Version() {
		g.exchange.Reset(k, version)
	}
	g.exchange.Hold(k, version)
	if version == 0 || version == history.Version() {
		return
	}
	version, content, err := source.Encode()
	if err != nil {
		g.log.Error("gossip_encode_failed", zap.Error(err))
		return
	}
	history.Add(version, content)
}

func (g *Gossip) handle(now time.Time, in message) []*peerpb.Membership {
	if r := in.m.GetDocumentRequest(); r != nil {
		return g.handleRequest(r)
	}
	if d := in.m.GetDocument(); d != nil {
		replies, err := g.handleDocument(now, in.from, d)
		if err != nil {
			g.log.Warn("gossip_document_rejected", zap.Error(err))
		}
		return replies
	}
	var replies []*peerpb.Membership
	for _, k := range g.kinds {
		replies = append(replies, g.handleOffer(now, in.from, k, offeredVersion(in.m, k))...)
	}
	return replies
}

func (g *Gossip) handleOffer(now time.Time, from string, k peerpb.DocumentKind, version int64) []*peerpb.Membership {
	g.recordVersion(k)
	if g.sources[k].Refuses(version) || !g.exchange.Offer(now, from, k, version) {
		return nil
	}
	return g.request(k, g.histories[k].Fingerprint())
}

func (g *Gossip) request(k peerpb.DocumentKind, fingerprint uint64) []*peerpb.Membership {
	g.requests.Add(1)
	return []*peerpb.Membership{{Message: &peerpb.Membership_DocumentRequest{
		DocumentRequest: &peerpb.DocumentRequest{Kind: k, AboveVersion: g.exchange.Held(k), BaseFingerprint: fingerprint},
	}}}
}

func (g *Gossip) handleRequest(r *peerpb.DocumentRequest) []*peerpb.Membership {
	source := g.sources[r.GetKind()]
	if source == nil || source.Version() <= r.GetAboveVersion() {
		return nil
	}
	g.recordVersion(r.GetKind())
	history := g.histories[r.GetKind()]
	encoded, base, err := history.Encode(r.GetBaseFingerprint())
	if err != nil {
		g.log.Error("gossip_encode_failed", zap.Error(err))
		return nil
	}
	if base == 0 {
		g.fullDocuments.Add(1)
	} else {
		g.deltas.Add(1)
	}
	g.encodedBytes.Add(int64(len(encoded)))
	return []*peerpb.Membership{{Message: &peerpb.Membership_Document{Document: &peerpb.Document{
		Kind: r.GetKind(), Version: history.Version(), Encoded: encoded, BaseFingerprint: base,
	}}}}
}

// handleDocument decodes a document and passes it to its source. It returns a
// request for the full document if a delta cannot be applied.
func (g *Gossip) handleDocument(now time.Time, from string, d *peerpb.Document) ([]*peerpb.Membership, error) {
	k := d.GetKind()
	source := g.sources[k]
	if source == nil {
		return nil, &RejectedError{From: from, Version: d.GetVersion(), Cause: &VersionError{Announced: d.GetVersion()}}
	}
	g.recordVersion(k)
	canRefetch := d.GetBaseFingerprint() != 0 && g.exchange.CanRefetchFull(from, k)
	if !g.exchange.FinishFetch(from, k, d.GetVersion()) || source.Refuses(d.GetVersion()) {
		return nil, nil
	}
	content, err := g.histories[k].Decode(d.GetEncoded(), d.GetBaseFingerprint())
	if _, mismatched := errors.Into[*delta.BaseError](err); mismatched && canRefetch {
		g.deltaMismatches.Add(1)
		g.exchange.RefetchFull(now, from, k, d.GetVersion())
		return g.request(k, 0), nil
	}
	if err == nil {
		err = source.Accept(content, d.GetVersion(), from)
	}
	if err != nil {
		g.exchange.Refuse(now, from, k)
		return nil, &RejectedError{From: from, Version: d.GetVersion(), Cause: err}
	}
	g.exchange.Hold(k, d.GetVersion())
	return nil, nil
}

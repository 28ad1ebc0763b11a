package quarantine

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// gossipFanout is the number of peers to which a VM sends updates. Each VM receives an
// update from as many, so that the loss of one message hardly matters.
const gossipFanout = 3

// gossipTargets returns the peers to which this VM sends updates.
func gossipTargets(peers []string) []string { return peers[:min(len(peers), gossipFanout)] }

// syncInterval is the minimum time between two exchanges of all rules with a peer.
const syncInterval = time.Second

// Receive handles a message of a peer.
func (m *Manager) Receive(from string, in *peerpb.Quarantine) {
	m.post(from, func(now time.Duration) Effects { return m.node.Receive(now, decode(now, in)) })
}

// Digest identifies the rules in force.
func (m *Manager) Digest() uint64 { return m.digest.Load() }

// ReceiveDigest handles the digest in a heartbeat of a peer. If it differs from that of
// this VM, the peer gets all rules: it may have started after they were sent.
func (m *Manager) ReceiveDigest(from string, digest uint64) {
	if digest != m.Digest() {
		m.post(from, func(now time.Duration) Effects { return m.sync(from, now) })
	}
}

// sync answers a peer with all rules, unless it got them within syncInterval.
func (m *Manager) sync(from string, now time.Duration) Effects {
	if last, synced := m.syncedAt[from]; synced && now-last < syncInterval {
		return Effects{}
	}
	m.syncedAt[from] = now
	return Effects{Reply: Message{Rules: m.node.Rules()}}
}

// send sends the messages of an event that came from a peer, or "" for this VM.
func (m *Manager) send(now time.Duration, from string, e Effects) {
	if !e.Send.Empty() {
		updates := envelope(now, e.Send)
		for _, id := range gossipTargets(m.opts.Peers()) {
			if id != from {
				m.sendTo(id, updates)
			}
		}
	}
	if from != "" && !e.Reply.Empty() {
		m.sendTo(from, envelope(now, e.Reply))
	}
}

func (m *Manager) sendTo(id string, e *peerpb.Envelope) {
	if err := m.opts.Transport.Send(id, e); err != nil {
		m.opts.Log.Debug("quarantine_not_sent", zap.String("peer", id), zap.Error(err))
	}
}

package ratelimit

import "github.com/vanillaarch/vanillaarch/serverstate"

// updateListedPeak adopts the number of listed entry VMs.
func (n *Node) updateListedPeak() {
	if n.view.Listed >= n.peakListed || n.now-n.peakAt > listedPeakRetention {
		n.peakListed, n.peakAt = n.view.Listed, n.now
	}
}

// listedPeak returns the largest number of entry VMs that were listed lately.
func (n *Node) listedPeak() int {
	n.updateListedPeak()
	return max(n.peakListed, 1)
}

// markAsked counts the candidates of an ask as cold that this VM does not know to be limited:
// another VM asks for a permit only if it knows that they are cold, or for a limit, whose
// record is in the ask.
func (n *Node) markAsked(from string, a Ask) {
	rate := n.view.ColdRates[a.Request.Service]
	if from == n.vm || rate <= 0 {
		return
	}
	named := map[serverstate.Server]bool{}
	for _, l := range a.Limits {
		named[l.Server] = l.Named
	}
	for _, s := range a.Request.Servers[:min(len(a.Request.Servers), maxCandidates)] {
		if _, limited := n.table.Effective(n.now, s); limited || named[s] {
			continue
		}
		if p, begins := n.table.MarkCold(n.now, s, askedCold, rate, ColdByAsk); begins {
			n.effects.Cold = append(n.effects.Cold, p)
		}
	}
}

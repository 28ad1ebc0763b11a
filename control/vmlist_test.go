package control

import (
	"testing"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a wrong revision of a peer that outlasts the platform's own
// answers, against a newer list of a peer that is dropped because one read of
// the platform overlapped with the change, and against a ceiling that stays
// after the platform has passed it.
func TestPlatformListReplacesPeerListAfterTwoReads(t *testing.T) {
	type step struct {
		fromPeer  bool
		revision  int64
		confirmed bool
		// early marks a read that began at revision 5 and was overtaken.
		early bool
		want  int64
	}
	for name, steps := range map[string][]step{
		"reads that began before the list of a peer": {
			{revision: 5, want: 5},
			{fromPeer: true, revision: 6, want: 6},
			{revision: 5, early: true, want: 6},
			{revision: 5, early: true, want: 6},
			{revision: 6, want: 6},
		},
		"wrong peer": {
			{revision: 5, want: 5},
			{fromPeer: true, revision: 900, want: 900},
			{revision: 5, want: 900},
			{revision: 6, want: 6},
			{fromPeer: true, revision: 900, want: 6},
			{fromPeer: true, revision: 901, want: 6},
			{fromPeer: true, revision: 7, want: 7},
			{revision: 900, want: 900},
			{fromPeer: true, revision: 901, want: 901},
		},
		"overlapping reads": {
			{fromPeer: true, revision: 5, want: 5},
			{revision: 4, want: 5},
			{fromPeer: true, revision: 6, want: 6},
			{revision: 5, want: 6},
			{confirmed: true, revision: 6, want: 6},
			{revision: 5, want: 6},
			{revision: 5, want: 6},
		},
	} {
		s := &State{VMs: &vmlist.List{}, Suspect: map[string]bool{}, log: zap.NewNop()}
		for i, x := range steps {
			if x.confirmed {
				VMListConfirmed{Revision: x.revision}.Apply(s)
			} else {
				known := s.VMs.Revision
				if x.early {
					known = 5
				}
				VMListReceived{List: &vmlist.List{Revision: x.revision}, FromPeer: x.fromPeer, BaseRevision: known}.Apply(s)
			}
			if s.VMs.Revision != x.want {
				t.Errorf("%s, step %d: revision %d in force, want %d", name, i, s.VMs.Revision, x.want)
			}
		}
	}
}

package vmlist

import "testing"

// Guards against lists of a later era that order before lists of an earlier one, and against
// revisions of two stores, with and without eras, that are of different forms.
func TestRevisionsOrderByEraFirst(t *testing.T) {
	ascending := []int64{
		NewRevision(0, 0, 1), NewRevision(0, 7, 0), NewRevision(0, 7, MaxFreshness), NewRevision(0, 8, 0), NewRevision(0, 1<<40, 0),
		NewRevision(1, 0, 0), NewRevision(1, 2, 3), NewRevision(2, 1, 0), NewRevision(maxEra, maxStoreRevision, MaxFreshness),
	}
	for i := 1; i < len(ascending); i++ {
		if ascending[i-1] >= ascending[i] {
			t.Errorf("revision %d is not above the one before: %d, %d", i, ascending[i], ascending[i-1])
		}
	}
	if got := NewRevision(0, 7, MaxFreshness); got != 7<<8|255 {
		t.Errorf("revision without an era is %d", got)
	}
	for _, era := range []int64{0, 1, 77, maxEra} {
		if got := EraOf(NewRevision(era, maxStoreRevision, MaxFreshness)); got != era {
			t.Errorf("era %d, want %d", got, era)
		}
	}
	if NewRevision(maxEra+5, 1<<50, 1<<20) < 0 {
		t.Error("values beyond the widths make a negative revision")
	}
}

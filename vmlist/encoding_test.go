package vmlist

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// nextVersion returns a copy of a list in which some VMs were removed, added or changed.
func nextVersion(r *rand.Rand, l *List) *List {
	next := &List{Revision: l.Revision + 1}
	for i, vm := range l.VMs {
		switch r.IntN(12) {
		case 0:
			continue
		case 1:
			vm.State = StateLeaving
			vm.Models = []string{fmt.Sprintf("m%d", r.IntN(3))}
		case 2:
			joined := vm
			joined.ID = fmt.Sprintf("%s-%d", vm.ID, i)
			next.VMs = append(next.VMs, vm, joined)
			continue
		}
		next.VMs = append(next.VMs, vm)
	}
	return next
}

// Guards against the decoder reusing lines of the previous version that have
// changed: each version must equal what a full parse returns, and the list that
// was encoded.
func TestDecoderFollowsChanges(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 0))
		list := &List{Revision: 1}
		for i := range 40 {
			list.VMs = append(list.VMs, VM{ID: fmt.Sprintf("i-%02d\n", i), Role: RoleEngine, State: StateLive, Models: []string{"m"}})
		}
		var e Encoder
		var d Decoder
		for range 30 {
			content, err := e.Encode(list)
			if err != nil {
				t.Fatal(err)
			}
			got, err := d.Decode(content)
			if err != nil {
				t.Fatal(err)
			}
			full, err := Decode(content)
			if err != nil || !reflect.DeepEqual(got, full) || got.Revision != list.Revision || len(got.VMs) != len(list.VMs) {
				t.Fatalf("seed %d, revision %d: %v\nincremental %+v\nfull parse  %+v", seed, list.Revision, err, got, full)
			}
			list = nextVersion(r, list)
		}
	}
}

// Guards against VMs encoding the same list to different bytes: a delta
// identifies its base by a fingerprint of the bytes.
func TestEqualListsHaveEqualBytes(t *testing.T) {
	list := &List{Revision: 9, VMs: []VM{{ID: "a", Role: RoleEntry}, {ID: "b", Role: RoleEngine}}}
	var fresh, used Encoder
	if _, err := used.Encode(&List{Revision: 8, VMs: []VM{{ID: "a", Role: RoleEntry, Slots: 2}}}); err != nil {
		t.Fatal(err)
	}
	a, _ := fresh.Encode(list)
	b, _ := used.Encode(list)
	if string(a) != string(b) {
		t.Errorf("new encoder: %s\nused encoder: %s", a, b)
	}
}

// FuzzDecoder guards against input from a peer that crashes the process, or that
// the incremental decoder reads differently from a full parse.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("{\"revision\":3,\"vms\":[\n{\"id\":\"a\"},\n{\"id\":\"b\"}\n]}"))
	f.Add([]byte("{\"revision\":3,\"vms\":[\n\n]}"))
	f.Add([]byte(`{"revision":3,"vms":[{"id":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		if _, err := d.Decode([]byte("{\"revision\":2,\"vms\":[\n{\"id\":\"a\"},\n{\"id\":\"c\"}\n]}")); err != nil {
			t.Fatal(err)
		}
		got, err := d.Decode(data)
		want, wantErr := Decode(data)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("incremental decoder: %v, full parse: %v", err, wantErr)
		}
		if err != nil {
			return
		}
		a, _ := json.Marshal(got)
		b, _ := json.Marshal(want)
		if string(a) != string(b) && len(got.VMs)+len(want.VMs) > 0 {
			t.Fatalf("incremental decoder: %s\nfull parse: %s", a, b)
		}
	})
}

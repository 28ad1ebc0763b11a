package vmlist

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// nextVersion returns the next version of a list: some VMs leave, join or change.
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

// Guards against lists that a VM takes over from the version before although
// they have changed: each version must be what a plain parser makes of it, and
// what was written.
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
			plain, err := Decode(content)
			if err != nil || !reflect.DeepEqual(got, plain) || got.Revision != list.Revision || len(got.VMs) != len(list.VMs) {
				t.Fatalf("seed %d, revision %d: %v\ngot   %+v\nplain %+v", seed, list.Revision, err, got, plain)
			}
			list = nextVersion(r, list)
		}
	}
}

// Guards against bytes that differ between VMs with the same list, since a delta
// names its base by its bytes.
func TestEqualListsHaveEqualBytes(t *testing.T) {
	list := &List{Revision: 9, VMs: []VM{{ID: "a", Role: RoleEntry}, {ID: "b", Role: RoleEngine}}}
	var fresh, used Encoder
	if _, err := used.Encode(&List{Revision: 8, VMs: []VM{{ID: "a", Role: RoleEntry, Slots: 2}}}); err != nil {
		t.Fatal(err)
	}
	a, _ := fresh.Encode(list)
	b, _ := used.Encode(list)
	if string(a) != string(b) {
		t.Errorf("%s\n%s", a, b)
	}
}

// FuzzDecoder guards against content of a peer that ends a VM, or that is read
// in another way than by a plain parser.
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
			t.Fatalf("%v, a plain parser: %v", err, wantErr)
		}
		if err != nil {
			return
		}
		a, _ := json.Marshal(got)
		b, _ := json.Marshal(want)
		if string(a) != string(b) && len(got.VMs)+len(want.VMs) > 0 {
			t.Fatalf("%s\n%s", a, b)
		}
	})
}

package softwareversion

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a stream that goes on at a version that did not begin it, or at any version
// because its own is not known.
func TestBinding(t *testing.T) {
	a, b, none := vmlist.VM{ID: "a", SoftwareVersion: "9"}, vmlist.VM{ID: "b", SoftwareVersion: "10"}, vmlist.VM{ID: "none"}
	for _, row := range []struct {
		name  string
		begin []vmlist.SoftwareVersion
		ok    []vmlist.VM
		not   []vmlist.VM
	}{
		{name: "not begun", ok: []vmlist.VM{a, b, none}},
		{name: "begun", begin: []vmlist.SoftwareVersion{"9"}, ok: []vmlist.VM{a}, not: []vmlist.VM{b, none}},
		{name: "begun once only", begin: []vmlist.SoftwareVersion{"10", "9"}, ok: []vmlist.VM{b}, not: []vmlist.VM{a, none}},
		{name: "begun at an unknown version", begin: []vmlist.SoftwareVersion{"", "9"}, not: []vmlist.VM{a, b, none}},
	} {
		var binding Binding
		for _, v := range row.begin {
			binding.Begin(v)
		}
		for _, vm := range row.ok {
			if err := binding.Check(vm); err != nil {
				t.Errorf("%s, %s: %v", row.name, vm.ID, err)
			}
		}
		for _, vm := range row.not {
			if binding.Check(vm) == nil {
				t.Errorf("%s: %s may go on", row.name, vm.ID)
			}
		}
	}
	if _, unknown := errors.Into[*UnknownError](CheckCopy(none, none)); !unknown || CheckCopy(a, a) != nil || CheckCopy(a, b) == nil {
		t.Error("copies of a run are placed at servers of other versions")
	}
}

package vmlist

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
)

// Decode parses a list and rejects entries without an id.
func Decode(data []byte) (*List, error) {
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	for i, vm := range l.VMs {
		if vm.ID == "" {
			return nil, &UnavailableError{Cause: &MissingIDError{Index: i}}
		}
	}
	return &l, nil
}

// MissingIDError reports a list entry without an id.
type MissingIDError struct{ Index int }

func (e *MissingIDError) Error() string {
	return "vm list entry " + strconv.Itoa(e.Index) + " has no id"
}

// Parts of the encoded form around the VMs, each of which has a line of its own.
const (
	revisionPrefix = `{"revision":`
	vmsPrefix      = `,"vms":[` + "\n"
	vmsSuffix      = "\n]}"
	lineSeparator  = ",\n"
)

// Encoder writes versions of a list as JSON with one VM a line, so that a Decoder
// sees which lines have changed. It writes anew only VMs that have changed since
// the last version. Equal lists have equal bytes. It is not safe for concurrent use.
type Encoder struct {
	vms   []VM
	lines [][]byte
}

// Encode returns the next version.
func (e *Encoder) Encode(l *List) ([]byte, error) {
	lines := make([][]byte, len(l.VMs))
	size, old := 0, 0
	for i := range l.VMs {
		vm := &l.VMs[i]
		for old < len(e.vms) && less(&e.vms[old], vm) {
			old++
		}
		if old < len(e.vms) && equal(&e.vms[old], vm) {
			lines[i] = e.lines[old]
		} else {
			line, err := json.Marshal(vm)
			if err != nil {
				return nil, errors.Wrap(err, "encode VM list")
			}
			lines[i] = line
		}
		size += len(lines[i]) + len(lineSeparator)
	}
	e.vms, e.lines = l.VMs, lines
	const revisionDigits = 20
	out := make([]byte, 0, size+len(revisionPrefix)+revisionDigits+len(vmsPrefix)+len(vmsSuffix))
	out = append(out, revisionPrefix...)
	out = strconv.AppendInt(out, l.Revision, 10)
	out = append(out, vmsPrefix...)
	for i, line := range lines {
		if i > 0 {
			out = append(out, lineSeparator...)
		}
		out = append(out, line...)
	}
	return append(out, vmsSuffix...), nil
}

// less is the order of lists: by role, then by id.
func less(a, b *VM) bool { return a.Role < b.Role || a.Role == b.Role && a.ID < b.ID }

func equal(a, b *VM) bool {
	return a.ID == b.ID && a.Role == b.Role && a.State == b.State && a.Zone == b.Zone && a.Region == b.Region &&
		a.Address == b.Address && a.PeerAddress == b.PeerAddress && a.AdminAddress == b.AdminAddress &&
		a.Slots == b.Slots && a.CPU == b.CPU && a.Incarnation == b.Incarnation &&
		a.ChecksFencing == b.ChecksFencing && a.ChecksIssuer == b.ChecksIssuer &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}

// Decoder reads versions of a list. Of one that an Encoder has written it parses
// only the lines that have changed: parsing all of 3,000 VMs for each change of
// one took most of a VM's processor time. It is not safe for concurrent use.
type Decoder struct {
	lines [][]byte
	vms   []VM
}

// Decode returns the next version, as the function Decode does.
func (d *Decoder) Decode(data []byte) (*List, error) {
	if l, lines, ok := d.decodeLines(data); ok {
		d.lines, d.vms = lines, l.VMs
		return l, nil
	}
	d.lines, d.vms = nil, nil
	return Decode(data)
}

// decodeLines returns false if data has not the form of an Encoder.
func (d *Decoder) decodeLines(data []byte) (*List, [][]byte, bool) {
	head, body, ok := bytes.Cut(data, []byte(vmsPrefix))
	if !ok || !bytes.HasSuffix(body, []byte(vmsSuffix)) {
		return nil, nil, false
	}
	digits, ok := bytes.CutPrefix(head, []byte(revisionPrefix))
	revision, err := strconv.ParseInt(string(digits), 10, 64)
	if !ok || err != nil || strconv.FormatInt(revision, 10) != string(digits) {
		return nil, nil, false
	}
	l := &List{Revision: revision}
	body = bytes.TrimSuffix(body, []byte(vmsSuffix))
	if len(body) == 0 {
		return l, nil, true
	}
	lines := bytes.Split(body, []byte(lineSeparator))
	l.VMs = make([]VM, len(lines))
	old := 0
	for i, line := range lines {
		at := d.findLine(line, old)
		if at >= 0 {
			l.VMs[i], old = d.vms[at], at+1
			continue
		}
		if json.Unmarshal(line, &l.VMs[i]) != nil || l.VMs[i].ID == "" {
			return nil, nil, false
		}
		for old < len(d.vms) && !less(&l.VMs[i], &d.vms[old]) {
			old++
		}
	}
	return l, lines, true
}

// findLine returns the position of a line of the last version, or -1. Lines are
// ordered, so one that stays is at the position reached, or follows VMs that
// were removed.
func (d *Decoder) findLine(line []byte, from int) int {
	const removedTogether = 8
	for at := from; at < min(from+removedTogether, len(d.lines)); at++ {
		if bytes.Equal(d.lines[at], line) {
			return at
		}
	}
	return -1
}

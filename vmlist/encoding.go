package vmlist

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
)

// Decode parses a JSON list and rejects entries without an id.
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

// MissingIDError reports that the list entry at Index has no id.
type MissingIDError struct{ Index int }

func (e *MissingIDError) Error() string {
	return "vm list entry " + strconv.Itoa(e.Index) + " has no id"
}

// Fixed parts of the encoding. Each VM is on a separate line between vmsPrefix
// and vmsSuffix.
const (
	revisionPrefix = `{"revision":`
	vmsPrefix      = `,"vms":[` + "\n"
	vmsSuffix      = "\n]}"
	lineSeparator  = ",\n"
)

// Encoder encodes successive versions of a list as JSON with one VM per line,
// which lets a Decoder detect the changed lines. Only VMs that differ from the
// previous version are marshaled again. The encoding is deterministic: equal
// lists have equal bytes. An Encoder is not safe for concurrent use.
type Encoder struct {
	vms   []VM
	lines [][]byte
}

// Encode returns the encoding of the next version.
func (e *Encoder) Encode(l *List) ([]byte, error) {
	lines := make([][]byte, len(l.VMs))
	size, prev := 0, 0
	for i := range l.VMs {
		vm := &l.VMs[i]
		for prev < len(e.vms) && less(&e.vms[prev], vm) {
			prev++
		}
		if prev < len(e.vms) && equal(&e.vms[prev], vm) {
			lines[i] = e.lines[prev]
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

// less orders the VMs of a list by role, then by id.
func less(a, b *VM) bool { return a.Role < b.Role || a.Role == b.Role && a.ID < b.ID }

func equal(a, b *VM) bool {
	return a.ID == b.ID && a.Role == b.Role && a.State == b.State && a.Zone == b.Zone && a.Region == b.Region &&
		a.Address == b.Address && a.PeerAddress == b.PeerAddress && a.AdminAddress == b.AdminAddress &&
		a.Slots == b.Slots && a.CPU == b.CPU && a.Incarnation == b.Incarnation && a.Era == b.Era &&
		equalCold(a.Cold, b.Cold) && a.ChecksFencing == b.ChecksFencing && a.ChecksIssuer == b.ChecksIssuer &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}

func equalCold(a, b *Cold) bool { return a == b || a != nil && b != nil && *a == *b }

// Decoder decodes successive versions of a list. For the output of an Encoder it
// parses only the changed lines: parsing all 3,000 VMs after each single change
// took most of a VM's CPU time. A Decoder is not safe for concurrent use.
type Decoder struct {
	lines [][]byte
	vms   []VM
}

// Decode decodes the next version. The result equals that of the function Decode.
func (d *Decoder) Decode(data []byte) (*List, error) {
	if l, lines, ok := d.decodeLines(data); ok {
		d.lines, d.vms = lines, l.VMs
		return l, nil
	}
	d.lines, d.vms = nil, nil
	return Decode(data)
}

// decodeLines returns false if data is not in the form that Encoder writes.
func (d *Decoder) decodeLines(data []byte) (*List, [][]byte, bool) {
	header, body, ok := bytes.Cut(data, []byte(vmsPrefix))
	if !ok || !bytes.HasSuffix(body, []byte(vmsSuffix)) {
		return nil, nil, false
	}
	digits, ok := bytes.CutPrefix(header, []byte(revisionPrefix))
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
	prev := 0
	for i, line := range lines {
		pos := d.findLine(line, prev)
		if pos >= 0 {
			l.VMs[i], prev = d.vms[pos], pos+1
			continue
		}
		if json.Unmarshal(line, &l.VMs[i]) != nil || l.VMs[i].ID == "" {
			return nil, nil, false
		}
		for prev < len(d.vms) && !less(&l.VMs[i], &d.vms[prev]) {
			prev++
		}
	}
	return l, lines, true
}

// findLine returns the index of a line in the previous version at or after from,
// or -1. Lines are sorted, so an unchanged line is at from or a few lines later,
// after lines of removed VMs.
func (d *Decoder) findLine(line []byte, from int) int {
	const searchWindow = 8
	for pos := from; pos < min(from+searchWindow, len(d.lines)); pos++ {
		if bytes.Equal(d.lines[pos], line) {
			return pos
		}
	}
	return -1
}

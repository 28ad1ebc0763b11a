package bundle

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// shareTolerance allows for rounding errors in the sum of shares.
const shareTolerance = 1e-9

// maxNameBytes bounds the length of names, since they are used in log values and
// keys.
const maxNameBytes = 64

// Validate returns all validation errors of the document, or nil.
func (d *Document) Validate() []Violation {
	var found violations
	if d.Version <= 0 {
		found.add("version", "must be a positive number, is %d", d.Version)
	}
	d.validateTenants(&found)
	d.validateModels(&found)
	d.validateRoutes(&found)
	return found
}

func (d *Document) validateTenants(found *violations) {
	if len(d.Tenants) == 0 {
		found.add("tenants", "must not be empty")
	}
	names, organisations, keys := nameSet{}, nameSet{}, nameSet{}
	total := 0.0
	for i, t := range d.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		names.check(found, path+".name", t.Name)
		if !(t.Share > 0 && t.Share <= 1) {
			found.add(path+".share", "must be above 0 and at most 1 (fraction of the budget), is %g", t.Share)
		}
		total += t.Share
		t.Weights.validate(found, path+".weights")
		if len(t.Organisations) == 0 {
			found.add(path+".organisations", "must not be empty")
		}
		for j, o := range t.Organisations {
			o.validate(found, fmt.Sprintf("%s.organisations[%d]", path, j), organisations, keys)
		}
	}
	if total > 1+shareTolerance {
		found.add("tenants", "shares sum to %g, at most 1 is allowed", total)
	}
}

func (w Weights) validate(found *violations, path string) {
	check := func(name string, v float64) {
		if !(v >= 0) || v > 1e6 {
			found.add(path+"."+name, "must be between 0 and 1,000,000, is %g", v)
		}
	}
	check("stall_time", w.StallTime)
	check("preemptions", w.Preemptions)
	check("inter_token_latency", w.InterTokenLatency)
}

func (o Organisation) validate(found *violations, path string, names, keys nameSet) {
	names.check(found, path+".name", o.Name)
	if !(o.Weight >= 0) || o.Weight > 1e6 {
		found.add(path+".weight", "must be between 0 and 1,000,000, is %g", o.Weight)
	}
	for k, digest := range o.APIKeySHA256 {
		p := fmt.Sprintf("%s.api_key_sha256[%d]", path, k)
		if b, err := hex.DecodeString(digest); err != nil || len(b) != 32 || strings.ToLower(digest) != digest {
			found.add(p, "must be 64 lower-case hex digits")
			continue
		}
		keys.unique(found, p, digest)
	}
}

func (d *Document) validateModels(found *violations) {
	names := nameSet{}
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		names.check(found, path+".name", m.Name)
		if m.Version == "" {
			found.add(path+".version", "must not be empty")
		}
	}
}

func (d *Document) validateRoutes(found *violations) {
	names := nameSet{}
	for i, r := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		names.check(found, path+".name", r.Name)
		if r.Service == "" {
			found.add(path+".service", "must not be empty")
		}
		if !strings.HasPrefix(r.Path, "/") {
			found.add(path+".path", "must start with a slash, is %q", r.Path)
		}
		if r.TimeoutMS < 0 {
			found.add(path+".timeout_ms", "must not be negative (milliseconds), is %d", r.TimeoutMS)
		}
	}
}

// nameSet maps each value to the path where it first occurred.
type nameSet map[string]string

// check adds a violation unless name is unique and safe in keys, logs and URLs.
func (s nameSet) check(found *violations, path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.Trim(name, nameAlphabet) != "" {
		found.add(path, "must have 1 to %d characters out of a-z, 0-9, '.', '_' and '-', is %q", maxNameBytes, name)
		return
	}
	s.unique(found, path, name)
}

const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789._-"

func (s nameSet) unique(found *violations, path, value string) {
	if first, ok := s[value]; ok {
		found.add(path, "repeats %s", first)
		return
	}
	s[value] = path
}

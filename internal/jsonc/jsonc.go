// Package jsonc strictly decodes JSON with comments and reports every violation
// with its path in the document.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// rootPath is the path of violations that apply to the whole document.
const rootPath = "$"

// Fault is a violation of the document's schema or syntax.
type Fault struct {
	Path    string
	Message string
}

func (f Fault) String() string { return f.Path + ": " + f.Message }

// Describe formats faults as one error message.
func Describe(subject string, faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return "invalid " + subject + ": " + strings.Join(lines, "; ")
}

// Standardize removes comments and trailing commas.
func Standardize(data []byte) ([]byte, []Fault) {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, []Fault{{Path: rootPath, Message: err.Error()}}
	}
	return std, nil
}

// Decode decodes plain JSON into v, a pointer to a struct, and returns every
// violation. filled reports whether the known fields were decoded into v, so that
// the caller can validate their values as well.
func Decode(data []byte, v any) (faults []Fault, filled bool) {
	strict := json.NewDecoder(bytes.NewReader(data))
	strict.DisallowUnknownFields()
	if err := strict.Decode(v); err == nil {
		return trailingData(strict), true
	}
	faults = unknownFields(data, reflect.TypeOf(v).Elem())
	reflect.ValueOf(v).Elem().SetZero() // Discard what the strict decoder has set.
	lenient := json.NewDecoder(bytes.NewReader(data))
	if err := lenient.Decode(v); err != nil {
		return append(faults, decodeFault(err)), false
	}
	return append(faults, trailingData(lenient)...), true
}

func trailingData(dec *json.Decoder) []Fault {
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return []Fault{{Path: rootPath, Message: "data after the document"}}
	}
	return nil
}

func decodeFault(err error) Fault {
	if te, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
		return Fault{Path: te.Field, Message: fmt.Sprintf("must be a %s, is a %s", te.Type, te.Value)}
	}
	return Fault{Path: rootPath, Message: err.Error()}
}

// unknownFields returns a violation for each field of the document that t does
// not declare, sorted by path.
func unknownFields(data []byte, t reflect.Type) []Fault {
	var doc any
	if json.Unmarshal(data, &doc) != nil {
		return nil
	}
	var faults []Fault
	collectUnknown(doc, t, "", &faults)
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// collectUnknown appends the unknown fields of a JSON value and its descendants.
func collectUnknown(doc any, t reflect.Type, path string, faults *[]Fault) {
	switch value := doc.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			for i, item := range value {
				collectUnknown(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), faults)
			}
		}
	case map[string]any:
		if t.Kind() == reflect.Struct {
			collectUnknownInObject(value, t, path, faults)
		}
	}
}

func collectUnknownInObject(object map[string]any, t reflect.Type, path string, faults *[]Fault) {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	for name, value := range object {
		p := strings.TrimPrefix(path+"."+name, ".")
		field, ok := known[name]
		if !ok {
			*faults = append(*faults, Fault{Path: p, Message: "unknown field"})
			continue
		}
		collectUnknown(value, field, p, faults)
	}
}

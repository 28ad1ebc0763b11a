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

// Violation is a breach of the document's schema or syntax.
type Violation struct {
	Path    string
	Message string
}

func (v Violation) String() string { return v.Path + ": " + v.Message }

// Describe formats violations as one error message.
func Describe(subject string, violations []Violation) string {
	lines := make([]string, len(violations))
	for i, v := range violations {
		lines[i] = v.String()
	}
	return "invalid " + subject + ": " + strings.Join(lines, "; ")
}

// Standardize removes comments and trailing commas.
func Standardize(data []byte) ([]byte, []Violation) {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, []Violation{{Path: rootPath, Message: err.Error()}}
	}
	return std, nil
}

// Decode decodes plain JSON into v, a pointer to a struct, and returns every
// violation. filled reports whether the known fields were decoded into v, so that
// the caller can validate their values as well.
func Decode(data []byte, v any) (violations []Violation, filled bool) {
	strict := json.NewDecoder(bytes.NewReader(data))
	strict.DisallowUnknownFields()
	if err := strict.Decode(v); err == nil {
		return trailingData(strict), true
	}
	violations = unknownFields(data, reflect.TypeOf(v).Elem())
	reflect.ValueOf(v).Elem().SetZero() // Discard what the strict decoder has set.
	lenient := json.NewDecoder(bytes.NewReader(data))
	if err := lenient.Decode(v); err != nil {
		return append(violations, decodeViolation(err)), false
	}
	return append(violations, trailingData(lenient)...), true
}

func trailingData(dec *json.Decoder) []Violation {
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return []Violation{{Path: rootPath, Message: "data after the document"}}
	}
	return nil
}

func decodeViolation(err error) Violation {
	if te, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
		return Violation{Path: te.Field, Message: fmt.Sprintf("must be a %s, is a %s", te.Type, te.Value)}
	}
	return Violation{Path: rootPath, Message: err.Error()}
}

// unknownFields returns a violation for each field of the document that t does
// not declare, sorted by path.
func unknownFields(data []byte, t reflect.Type) []Violation {
	var doc any
	if json.Unmarshal(data, &doc) != nil {
		return nil
	}
	var violations []Violation
	collectUnknown(doc, t, "", &violations)
	sort.Slice(violations, func(i, j int) bool { return violations[i].Path < violations[j].Path })
	return violations
}

// collectUnknown appends the unknown fields of a JSON value and its descendants.
func collectUnknown(doc any, t reflect.Type, path string, violations *[]Violation) {
	switch value := doc.(type) {
	case []any:
		if t.Kind() == reflect.Slice {
			for i, item := range value {
				collectUnknown(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), violations)
			}
		}
	case map[string]any:
		if t.Kind() == reflect.Struct {
			collectUnknownInObject(value, t, path, violations)
		}
	}
}

func collectUnknownInObject(object map[string]any, t reflect.Type, path string, violations *[]Violation) {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	for name, value := range object {
		p := strings.TrimPrefix(path+"."+name, ".")
		field, ok := known[name]
		if !ok {
			*violations = append(*violations, Violation{Path: p, Message: "unknown field"})
			continue
		}
		collectUnknown(value, field, p, violations)
	}
}

package streamorigin

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/vanillaarch/vanillaarch/internal/hash"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Prefix is that of all keys of records. It sorts after the other keys of the store, since a VM
// that starts reads the first page of all keys.
const Prefix = "zstreams/"

// hashBytes is the length of the hash of a request id in a key.
const hashBytes = 16

// maxRequestBytes bounds the part of a request id that is stored.
const maxRequestBytes = 128

// requestPrefix returns the prefix of the keys of a request.
func requestPrefix(request string) string {
	sum := sha256.Sum256([]byte(request))
	return Prefix + hex.EncodeToString(sum[:hashBytes]) + "/"
}

// shortened returns the part of a request id that is stored.
func shortened(request string) string {
	// A clone, since a part of the string would keep the whole id in memory.
	return strings.ToValidUTF8(strings.Clone(request[:min(len(request), maxRequestBytes)]), "?")
}

// document is the value of a record.
type document struct {
	Request string `json:"request"`
	// Writer identifies the Record that has written the value, among those of all VMs.
	Writer string `json:"writer"`
	// Attempt numbers the origins of a Record from 1.
	Attempt     int                    `json:"attempt"`
	Version     vmlist.SoftwareVersion `json:"version"`
	Server      string                 `json:"server,omitempty"`
	Incarnation int64                  `json:"incarnation,omitempty"`
	// Era is that of the store which the writer knew.
	Era kv.Era `json:"era,omitempty"`
	// Passed is set if the first event of the stream came from this origin.
	Passed bool `json:"passed,omitempty"`
}

// put returns the write of a document. The key depends on the writer, the attempt and the era: a
// write of an earlier era that is executed late must not replace a later one.
func (d document) put(prefix string) (kv.Put, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return kv.Put{}, err
	}
	return kv.Put{Key: prefix + fmt.Sprintf("%016x", hash.Pair(d.Writer, fmt.Sprintf("%d/%d", d.Attempt, d.Era))), Value: value}, nil
}

func (d document) origin() Origin {
	return Origin{Version: d.Version, Server: d.Server, Incarnation: d.Incarnation}
}

// supersedes reports whether a document counts in place of another one of the same writer.
func (d document) supersedes(other document) bool {
	if d.Passed != other.Passed {
		return d.Passed
	}
	return cmp.Or(cmp.Compare(d.Attempt, other.Attempt), cmp.Compare(d.Era, other.Era)) > 0
}

// decodeDocument returns the document of an entry. The error is an *AmbiguousError.
func decodeDocument(request string, e kv.Entry) (document, error) {
	var d document
	if err := json.Unmarshal(e.Value, &d); err != nil {
		return document{}, &AmbiguousError{Request: request, Reason: "a record can't be read: " + err.Error()}
	}
	if d.Request != shortened(request) || d.Writer == "" || d.Attempt < 1 {
		return document{}, &AmbiguousError{Request: request, Reason: "a record is that of another request or incomplete"}
	}
	return d, nil
}

// originFromRecords returns the origin of a stream from the listing of its records. The error is an
// *UnknownError, an *AmbiguousError or an *UnavailableError.
func originFromRecords(request string, l kv.Listing) (Origin, error) {
	if l.Partial {
		return Origin{}, &AmbiguousError{Request: request, Reason: "too many records"}
	}
	latest := map[string]document{}
	for _, e := range l.Entries {
		d, err := decodeDocument(request, e)
		if err != nil {
			return Origin{}, err
		}
		if d.Era > l.Era {
			return Origin{}, &UnavailableError{Request: request, Cause: &kv.EraError{Want: d.Era, Got: l.Era}}
		}
		before, known := latest[d.Writer]
		if known && before.Passed && d.Passed && before.Version != d.Version {
			return Origin{}, &AmbiguousError{Request: request, Reason: "events of two versions were passed on"}
		}
		if !known || d.supersedes(before) {
			latest[d.Writer] = d
		}
	}
	var out Origin
	unknown := len(latest) == 0
	for _, d := range latest {
		switch {
		case !isKnown(d.Version) || !d.Passed && d.Era < l.Era:
			unknown = true
		case out.Version == "":
			out = d.origin()
		case out.Version != d.Version:
			return Origin{}, &AmbiguousError{Request: request, Reason: "records of two versions"}
		}
	}
	if unknown {
		return Origin{}, &UnknownError{Request: request, Recorded: len(latest) > 0}
	}
	return out, nil
}

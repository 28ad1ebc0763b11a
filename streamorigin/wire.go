package streamorigin

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// hashOf returns the hash of a request id in the prefix of its keys, and prefixOf the reverse.
func hashOf(prefix string) []byte {
	sum, _ := hex.DecodeString(strings.TrimSuffix(strings.TrimPrefix(prefix, Prefix), "/")) // Made by requestPrefix.
	return sum
}

func prefixOf(sum []byte) string { return Prefix + hex.EncodeToString(sum) + "/" }

func encodeCopy(prefix string, o Origin, remaining time.Duration) *peerpb.StreamOrigin {
	return &peerpb.StreamOrigin{
		Request: hashOf(prefix), Version: string(o.Version), Server: o.Server, Incarnation: o.Incarnation,
		RemainingMs: uint32(min(remaining, maxLifetime).Milliseconds()),
	}
}

// decodeCopy returns ok false for a copy that can't be one.
func decodeCopy(in *peerpb.StreamOrigin) (prefix string, o Origin, remaining time.Duration, ok bool) {
	o = Origin{Version: vmlist.SoftwareVersion(in.GetVersion()), Server: in.GetServer(), Incarnation: in.GetIncarnation()}
	ok = len(in.GetRequest()) == hashBytes && o.Version != "" && len(o.Version)+len(o.Server) <= maxOriginBytes
	return prefixOf(in.GetRequest()), o, time.Duration(in.GetRemainingMs()) * time.Millisecond, ok
}

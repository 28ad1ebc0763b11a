package config

import (
	"encoding/json"
	"fmt"
	"testing"
)

const fuzzConfig = `{"vm_id":"a","zone":"z","region":"r","listen":{"http":"127.0.0.1:1","peer":"127.0.0.1:2"},` +
	`"platform":{"kv":"http://127.0.0.1:3","vm_list":"http://127.0.0.1:4"%s}%s}`

func base(platform, rest string) string { return fmt.Sprintf(fuzzConfig, platform, rest) }

// FuzzParse guards against a file that ends the daemon without a list of
// faults, values that pass the checks together by an overflow, and an accepted
// configuration that is not accepted again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "null", "[]", "// c\n{}", `{"vm_id":1}`, base("", ""),
		base(`,"vm_list_interval":"2562047h","vm_list_call_limit":"1000000h"`, ""),
		base("", `,"peers":{"heartbeat_interval":"2000000h","suspect_after":"1s"}`),
		base(`,"vm_list_call_limit":null`, ""), base("", "") + "{}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		if c.Peers.HeartbeatInterval > c.Peers.SuspectAfter {
			t.Errorf("heartbeats come every %s, suspicions after %s", c.Peers.HeartbeatInterval.Std(), c.Peers.SuspectAfter.Std())
		}
		if max(c.Platform.VMListInterval, c.Platform.VMListCallLimit) > MaxVMListDelay {
			t.Errorf("the list is read every %s within %s", c.Platform.VMListInterval.Std(), c.Platform.VMListCallLimit.Std())
		}
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(again); err != nil {
			t.Errorf("an accepted configuration is refused: %v", err)
		}
	})
}

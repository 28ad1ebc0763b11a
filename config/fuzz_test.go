package config

import (
	"encoding/json"
	"fmt"
	"testing"
)

const configTemplate = `{"vm_id":"a","zone":"z","region":"r","listen":{"http":"127.0.0.1:1","peer":"127.0.0.1:2"},` +
	`"platform":{"kv":"http://127.0.0.1:3","vm_list":"http://127.0.0.1:4"%s}%s}`

func minimalConfig(platform, rest string) string { return fmt.Sprintf(configTemplate, platform, rest) }

// FuzzParse guards against a file that crashes the daemon instead of producing a
// list of errors, against values that pass cross-field validation because of an
// overflow, and against an accepted configuration that is rejected after it was
// encoded again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "null", "[]", "// c\n{}", `{"vm_id":1}`, minimalConfig("", ""),
		minimalConfig(`,"vm_list_interval":"2562047h","vm_list_call_limit":"1000000h"`, ""),
		minimalConfig("", `,"peers":{"heartbeat_interval":"2000000h","suspect_after":"1s"}`),
		minimalConfig(`,"vm_list_call_limit":null`, ""), minimalConfig("", "") + "{}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		if c.Peers.HeartbeatInterval > c.Peers.SuspectAfter {
			t.Errorf("heartbeat interval %s exceeds suspicion timeout %s", c.Peers.HeartbeatInterval.Std(), c.Peers.SuspectAfter.Std())
		}
		if max(c.Platform.VMListInterval, c.Platform.VMListCallLimit) > MaxVMListDelay {
			t.Errorf("VM list interval %s or call limit %s exceeds the maximum delay", c.Platform.VMListInterval.Std(), c.Platform.VMListCallLimit.Std())
		}
		encoded, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(encoded); err != nil {
			t.Errorf("accepted configuration is rejected after encoding: %v", err)
		}
	})
}

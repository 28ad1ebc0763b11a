package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

const shortTrace = `{"header":{"name":"short","model":"m","engines":1,"duration_ms":1000,"one_way_us":500,"seed":1,"shares":[]}}
{"arrival":{"at_us":0,"tenant":"t","org":"a","model":"m","prompt_tokens":50,"tokens":5}}
`

// Guards against a replay that exits with code 0 although a stated outcome is not met,
// and against output that differs between runs.
func TestReplayChecksStatedOutcomes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	trace := write("short.jsonl", shortTrace)
	run := func(outcomes string, more ...string) (string, error) {
		var out bytes.Buffer
		cmd := NewCommand()
		cmd.SetOut(&out)
		cmd.SetArgs(append([]string{"replay", "--trace", trace, "--outcomes", write("outcomes.json", outcomes), "--json"}, more...))
		err := cmd.Execute()
		return out.String(), err
	}
	met := `[{"metric":"completed","scope":"total","against":"value","min":1},
		{"metric":"stall_p99_ms","scope":"organisations","against":"trace","trace":"short.jsonl","max":1}]`
	first, err := run(met)
	if err != nil || strings.Count(first, `"met":true`) != 2 {
		t.Errorf("met outcomes: %v\n%s", err, first)
	}
	if second, _ := run(met); second != first {
		t.Errorf("second run:\n%s\nfirst run:\n%s", second, first)
	}
	var weights *WeightsError
	if _, err := run(met, "--weights", "1,2"); !errors.As(err, &weights) {
		t.Errorf("two weights: %v", err)
	}
	var missed *OutcomesMissedError
	if _, err := run(`[{"metric":"completed","scope":"total","against":"value","min":2}]`); !errors.As(err, &missed) {
		t.Errorf("missed outcome: %v", err)
	}
}

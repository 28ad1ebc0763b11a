package localcluster_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
)

// Guards against an organisation that reads another organisation's tokens by
// generation ID. The IDs are not secret, since they appear in logs and traces.
func TestGenerationBelongsToItsOrganisation(t *testing.T) {
	const key = "second-key"
	c := start(t, localcluster.Options{VMs: 2, Engines: 1})
	doc := localcluster.Document(1)
	doc.Tenants[0].Organisations = append(doc.Tenants[0].Organisations,
		bundle.Organisation{Name: "second", APIKeySHA256: []string{bundle.APIKeyDigest(key)}})
	if err := c.RollOut(context.Background(), doc); err != nil {
		t.Fatal(err)
	}
	send := func(vm *localcluster.VM, method, path, apiKey, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, vm.URL()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+apiKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(data)
	}
	_, stream := send(c.VMs[0], http.MethodPost, "/v1/completions", localcluster.APIKey,
		`{"model":"quotes","prompt":"secret [tokens=5]","stream":true}`)
	generation := ""
	for lines := bufio.NewScanner(strings.NewReader(stream)); lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id:"); ok {
			generation, _, _ = strings.Cut(strings.TrimSpace(id), ":")
			break
		}
	}
	if generation == "" {
		t.Fatalf("no generation ID in %s", stream)
	}
	path := "/v1/generations/" + generation
	if status, body := send(c.VMs[1], http.MethodGet, path, localcluster.APIKey, ""); status != http.StatusOK || !strings.Contains(body, generation) {
		t.Errorf("the owning organisation got %d: %s", status, body)
	}
	if status, body := send(c.VMs[1], http.MethodGet, path, key, ""); status != http.StatusGone || strings.Contains(body, "choices") {
		t.Errorf("another organisation got %d: %s", status, body)
	}
}

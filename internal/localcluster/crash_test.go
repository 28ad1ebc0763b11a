package localcluster_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// Guards against a prompt that crashes every engine that begins to answer it, and that
// VMs send to one engine after the other, for each request of its callers anew; and
// against refusing prompts that only begin alike.
func TestPromptsThatCrashEnginesAreRefused(t *testing.T) {
	const (
		requests = 60
		// Later than contactBound after the fifth crash, maxLateCrashes are allowed.
		noticedCrashes = 5
		maxLateCrashes = 3
	)
	c, ctx := startCluster(t, localcluster.Options{VMs: 3, Engines: 6, TokenInterval: 5 * time.Millisecond})
	for _, e := range c.Engines {
		e.Engine.SetFaults(standin.Faults{CrashOn: "deadly"})
	}
	system := strings.Repeat("You answer questions about fuse boards. ", 5)
	caller := c.Client(localcluster.APIKey)
	ask := func(prompt string) error {
		return caller.Stream(ctx, api.CompletionRequest{Model: localcluster.Model, Prompt: prompt, MaxTokens: 4}, func(client.Token) error { return nil })
	}
	for i := range requests {
		if ask(system+strings.Repeat("deadly ", 40)+fmt.Sprint(i)) == nil {
			t.Fatal("a prompt that crashes engines is answered")
		}
		if err := ask(system + strings.Repeat("harmless ", 40) + fmt.Sprint(i)); err != nil {
			t.Errorf("request %d with the same beginning: %v", i, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	var crashes []time.Time
	for _, e := range c.Engines {
		crashes = append(crashes, e.Engine.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	t.Logf("%d crashes", len(crashes))
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[min(len(crashes), noticedCrashes)-1]) > contactBound {
			late++
		}
	}
	if len(crashes) == 0 || late > maxLateCrashes {
		t.Errorf("%d crashes, %d of them later than %v after the fifth one", len(crashes), late, contactBound)
	}
}

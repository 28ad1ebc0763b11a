package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/client"
)

// generateKeyArg is the value of --key that makes the call command generate an idempotency key.
const generateKeyArg = "new"

// callerFlags are the VM addresses, the caller's credentials and the time limit.
type callerFlags struct {
	addresses []string
	apiKey    string
	timeout   time.Duration
}

func (f *callerFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringSliceVar(&f.addresses, "address", []string{"http://127.0.0.1:8080"}, "base URLs of VMs or of the load balancer")
	flags.StringVar(&f.apiKey, "api-key", "", "API key of the organisation")
	flags.DurationVar(&f.timeout, "timeout", 20*time.Minute, "time limit of the call")
}

func (f *callerFlags) client() *client.Client {
	return client.New(client.Options{Addresses: f.addresses, APIKey: f.apiKey})
}

func newCompleteCommand() *cobra.Command {
	var f callerFlags
	var r api.CompletionRequest
	var quiet bool
	cmd := &cobra.Command{
		Use: "complete", Short: "Stream a completion and resume it after a lost connection", Args: cobra.NoArgs,
		Example: "  vanillaarch complete --api-key KEY --model quotes --prompt 'fuse board upgrade'",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
			defer cancel()
			tokens, generation := 0, ""
			err := f.client().Stream(ctx, r, func(t client.Token) error {
				tokens, generation = t.ID.Offset, t.ID.Generation
				if !quiet {
					fmt.Fprint(cmd.OutOrStdout(), t.Text)
				}
				return nil
			})
			fmt.Fprintf(cmd.OutOrStdout(), "\ntokens=%d generation=%s\n", tokens, generation)
			return err
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&r.Model, "model", "", "model")
	cmd.Flags().StringVar(&r.Prompt, "prompt", "", "prompt")
	cmd.Flags().IntVar(&r.MaxTokens, "max-tokens", 0, "maximum number of tokens in the answer, 0 for no limit")
	cmd.Flags().BoolVar(&quiet, "quiet", false, "print the summary only")
	return cmd
}

func newCallCommand() *cobra.Command {
	var f callerFlags
	var key, body string
	cmd := &cobra.Command{
		Use: "call ROUTE", Short: "Call a plain service", Args: cobra.ExactArgs(1),
		Example: "  vanillaarch call --api-key KEY --key new --body '{}' deposit-booking",
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
			defer cancel()
			if key == generateKeyArg {
				var err error
				if key, err = client.NewIdempotencyKey(); err != nil {
					return err
				}
			}
			result, err := f.client().Call(ctx, args[0], key, []byte(body))
			if err != nil {
				return errors.Wrapf(err, "key %s", key)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "status=%d replayed=%t key=%s\n%s\n", result.Status, result.Replayed, key, result.Body)
			return nil
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&key, "key", "", `idempotency key, "new" to generate one`)
	cmd.Flags().StringVar(&body, "body", "", "request body")
	return cmd
}

package cli

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/bundle"
)

func newBundleCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{Use: "bundle", Short: "Check, sign and roll out bundles"}
	p.register(cmd)
	cmd.AddCommand(newBundleKeygen(), newBundleCheck(), newBundleSign(&p), newBundleRollout(&p))
	return cmd
}

func newBundleKeygen() *cobra.Command {
	return &cobra.Command{
		Use: "keygen FILE", Short: "Create a signing key and print its public key", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			public, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return errors.Wrap(err, "create key")
			}
			if err := os.WriteFile(args[0], []byte(hex.EncodeToString(private.Seed())+"\n"), 0o600); err != nil {
				return errors.Wrap(err, "write key")
			}
			fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(public))
			return nil
		},
	}
}

func newBundleCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a bundle and list all errors", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readBundle(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "bundle version %d is valid\n", doc.Version)
			return nil
		},
	}
}

func newBundleSign(p *platformFlags) *cobra.Command {
	var keyFile string
	cmd := &cobra.Command{
		Use: "sign FILE", Short: "Sign a bundle and store it under its version", Args: cobra.ExactArgs(1),
		Example: "  vanillaarch bundle sign --key signing.key bundle.jsonc",
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readBundle(args[0])
			if err != nil {
				return err
			}
			key, err := readKey(keyFile)
			if err != nil {
				return err
			}
			signed, err := bundle.Sign(doc, key)
			if err != nil {
				return err
			}
			client := p.kvClient()
			defer client.Close()
			if err := bundle.NewStore(client).Put(cmd.Context(), signed); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "signed version=%d digest=%s\n", signed.Version, signed.Digest)
			return nil
		},
	}
	cmd.Flags().StringVar(&keyFile, "key", "", "signing key; without one the bundle is stored unsigned")
	return cmd
}

func newBundleRollout(p *platformFlags) *cobra.Command {
	var operator string
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "rollout VERSION", Short: "Put a signed version in force", Args: cobra.ExactArgs(1),
		Long: "Put a signed version in force. The version must be higher than the one in force. With --wait, " +
			"list the version in force on each VM and fail if a VM does not apply it in time.",
		Example: "  vanillaarch bundle rollout 42 --operator ana --wait 20s",
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return errors.Wrap(err, "version")
			}
			client := p.kvClient()
			defer client.Close()
			head, err := bundle.NewStore(client).Rollout(cmd.Context(), version, operator)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "rolled out version=%d operation=%s\n", head.Version, head.Operation)
			if wait <= 0 {
				return nil
			}
			return waitInForce(cmd, p, version, wait)
		},
	}
	cmd.Flags().StringVar(&operator, "operator", os.Getenv("USER"), "name recorded with the rollout")
	cmd.Flags().DurationVar(&wait, "wait", 0, "time to wait for all VMs, such as 20s")
	return cmd
}

// NotInForceError lists the VMs on which a rolled-out version did not take effect in time.
type NotInForceError struct {
	Version int64
	VMs     []string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force on %s", e.Version, strings.Join(e.VMs, ", "))
}

// statusPollInterval is the interval between status requests during a rollout.
const statusPollInterval = 100 * time.Millisecond

func waitInForce(cmd *cobra.Command, p *platformFlags, version int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), limit)
	defer cancel()
	for {
		rows, err := fetchStatuses(ctx, p)
		if err != nil {
			return err
		}
		var behind []string
		for _, row := range rows {
			if row.Status.BundleVersion < version {
				behind = append(behind, row.VM.ID)
			}
		}
		if len(behind) == 0 {
			printStatuses(cmd.OutOrStdout(), rows)
			return nil
		}
		select {
		case <-ctx.Done():
			printStatuses(cmd.OutOrStdout(), rows)
			return &NotInForceError{Version: version, VMs: behind}
		case <-time.After(statusPollInterval):
		}
	}
}

func readBundle(file string) (*bundle.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read bundle")
	}
	return bundle.Parse(data)
}

func readKey(file string) (ed25519.PrivateKey, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read key")
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &KeyFormatError{File: file}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// KeyFormatError reports a file that does not contain a hex-encoded signing key.
type KeyFormatError struct{ File string }

func (e *KeyFormatError) Error() string {
	return fmt.Sprintf("%s: not a signing key (%d bytes in hex)", e.File, ed25519.SeedSize)
}

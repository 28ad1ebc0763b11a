package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/order"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// orderFlags are the flags shared by the order subcommands.
type orderFlags struct {
	platform platformFlags
	operator string
	id       string
	timeout  time.Duration
	options  order.Options
}

func newOrderCommand() *cobra.Command {
	var f orderFlags
	cmd := &cobra.Command{
		Use: "order", Short: "Send an order to a backend server",
		Long: "Send an order to a backend server under a lease with a fencing token. A backend server that ignores " +
			"fencing tokens receives no order until orders of the previous operator can no longer arrive. If the result " +
			"of an order is unknown, repeat it with the --id from the error message; each id is applied once. Loading " +
			"weights occupies one of --load-slots slots and must finish within the --lease time.",
	}
	f.platform.register(cmd)
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.operator, "operator", os.Getenv("USER"), "name recorded with the lease")
	flags.StringVar(&f.id, "id", "", "id of the order, to repeat an earlier one; a new id by default")
	flags.DurationVar(&f.timeout, "limit", time.Minute, "time limit of the command, including waits")
	flags.DurationVar(&f.options.TTL, "lease", order.DefaultTTL, "lease duration, such as 10s")
	flags.DurationVar(&f.options.MaxInFlightTime, "in-flight", order.DefaultMaxInFlightTime, "longest time that the network may delay an order")
	flags.IntVar(&f.options.LoadSlots, "load-slots", order.DefaultLoadSlots, "concurrent loads allowed in the whole fleet; must be the same for all operators")
	flags.BoolVar(&f.options.WaitForSlot, "wait", false, "wait for a slot if all are in use")
	cmd.AddCommand(
		newOrderSubcommand(&f, "load-model BACKEND MODEL", "Load a model", "engine-7 quotes",
			func(args []string) order.Order { return order.Order{Kind: order.KindLoadModel, Model: args[1]} }),
		newOrderSubcommand(&f, "load-adapter BACKEND MODEL ADAPTER", "Load an adapter of a model", "engine-7 quotes norwegian",
			func(args []string) order.Order {
				return order.Order{Kind: order.KindLoadAdapter, Model: args[1], Adapter: args[2]}
			}),
		newOrderSubcommand(&f, "load-version BACKEND MODEL VERSION", "Load a version of a model", "engine-7 quotes 2026-05",
			func(args []string) order.Order {
				return order.Order{Kind: order.KindLoadVersion, Model: args[1], Version: args[2]}
			}),
		newOrderSubcommand(&f, "change-role BACKEND ROLE", "Change the role of a backend server", "engine-7 prefill",
			func(args []string) order.Order { return order.Order{Kind: order.KindChangeRole, Role: args[1]} }),
	)
	return cmd
}

// newOrderSubcommand returns the subcommand for one kind of order. The example
// has one word for each argument that the subcommand takes.
func newOrderSubcommand(f *orderFlags, use, short, example string, build func(args []string) order.Order) *cobra.Command {
	arguments := len(strings.Fields(example))
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
			defer cancel()
			return f.sendOrder(ctx, cmd, args[0], build(args))
		},
	}
	cmd.Example = "  vanillaarch order " + cmd.Name() + " " + example + " --operator ana"
	return cmd
}

func (f *orderFlags) sendOrder(ctx context.Context, cmd *cobra.Command, backend string, o order.Order) error {
	var err error
	if o.ID = f.id; o.ID == "" {
		if o.ID, err = order.NewID(); err != nil {
			return err
		}
	}
	tracing, err := telemetry.NewTracing("", 1)
	if err != nil {
		return err
	}
	ctx, span := tracing.Tracer().Start(ctx, "order.send")
	defer span.End()
	trace := telemetry.TraceID(ctx)
	vm, err := f.findBackend(ctx, backend)
	if err != nil {
		return err
	}
	store := f.platform.kvClient()
	defer store.Close()
	lease, err := order.New(store, f.options).Acquire(ctx, vm, f.operator)
	if err != nil {
		return err
	}
	defer lease.Release(ctx)
	if wait := lease.RemainingWait(); wait > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "waiting %s for orders of the previous operator\n", wait.Round(time.Millisecond))
	}
	if err := lease.Send(ctx, o); err != nil {
		return errors.Wrapf(err, "order %s in trace %s", o.ID, trace)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "applied order=%s backend=%s token=%d trace=%s\n", o.ID, backend, lease.Token(), trace)
	return nil
}

// findBackend looks up a backend server in the VM list.
func (f *orderFlags) findBackend(ctx context.Context, id string) (vmlist.VM, error) {
	client := f.platform.vmListClient()
	defer client.Close()
	list, err := client.Fetch(ctx, 0)
	if err != nil {
		return vmlist.VM{}, err
	}
	for _, vm := range list.VMs {
		if vm.ID == id && vm.Role != vmlist.RoleEntry {
			return vm, nil
		}
	}
	return vmlist.VM{}, &UnknownBackendError{Backend: id}
}

// UnknownBackendError reports a backend server that is not in the VM list.
type UnknownBackendError struct{ Backend string }

func (e *UnknownBackendError) Error() string {
	return fmt.Sprintf("the VM list has no backend server %q", e.Backend)
}

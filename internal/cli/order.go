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

// orderFlags are the flags of all orders.
type orderFlags struct {
	platform platformFlags
	operator string
	id       string
	limit    time.Duration
	options  order.Options
}

func newOrderCommand() *cobra.Command {
	var f orderFlags
	cmd := &cobra.Command{
		Use: "order", Short: "Give an order to a backend server",
		Long: "Give an order to a backend server under a lease with a fencing token. A backend server that ignores " +
			"fencing tokens gets no order until orders of the previous operator can no longer arrive. If the result " +
			"of an order is unknown, repeat it with the --id that the error names; each id is applied once. Loads of " +
			"weights hold one of --load-slots slots, and must end within the --lease time.",
	}
	f.platform.register(cmd)
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.operator, "operator", os.Getenv("USER"), "name recorded with the lease")
	flags.StringVar(&f.id, "id", "", "id of the order, to repeat one; default a new id")
	flags.DurationVar(&f.limit, "limit", time.Minute, "limit of the command, waits included")
	flags.DurationVar(&f.options.TTL, "lease", order.DefaultTTL, "lease time, such as 10s")
	flags.DurationVar(&f.options.MaxInFlightTime, "in-flight", order.DefaultMaxInFlightTime, "longest time that the network may hold an order back")
	flags.IntVar(&f.options.LoadSlots, "load-slots", order.DefaultLoadSlots, "loads that may run in the whole fleet; the same for all operators")
	flags.BoolVar(&f.options.WaitForSlot, "wait", false, "wait for a slot when all loads that may run do")
	cmd.AddCommand(
		newOrderKind(&f, "load-model BACKEND MODEL", "Load a model", "engine-7 quotes",
			func(args []string) order.Order { return order.Order{Kind: order.KindLoadModel, Model: args[1]} }),
		newOrderKind(&f, "load-adapter BACKEND MODEL ADAPTER", "Load an adapter of a model", "engine-7 quotes norwegian",
			func(args []string) order.Order {
				return order.Order{Kind: order.KindLoadAdapter, Model: args[1], Adapter: args[2]}
			}),
		newOrderKind(&f, "load-version BACKEND MODEL VERSION", "Load a version of a model", "engine-7 quotes 2026-05",
			func(args []string) order.Order {
				return order.Order{Kind: order.KindLoadVersion, Model: args[1], Version: args[2]}
			}),
		newOrderKind(&f, "change-role BACKEND ROLE", "Change the role of a backend server", "engine-7 prefill",
			func(args []string) order.Order { return order.Order{Kind: order.KindChangeRole, Role: args[1]} }),
	)
	return cmd
}

// newOrderKind returns the command of one kind of order. The example holds one
// argument for each that the command takes.
func newOrderKind(f *orderFlags, use, short, example string, build func(args []string) order.Order) *cobra.Command {
	arguments := len(strings.Fields(example))
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), f.limit)
			defer cancel()
			return f.give(ctx, cmd, args[0], build(args))
		},
	}
	cmd.Example = "  vanillaarch order " + cmd.Name() + " " + example + " --operator ana"
	return cmd
}

func (f *orderFlags) give(ctx context.Context, cmd *cobra.Command, backend string, o order.Order) error {
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
	vm, err := f.backend(ctx, backend)
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

// backend finds a backend server in the VM list.
func (f *orderFlags) backend(ctx context.Context, id string) (vmlist.VM, error) {
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

// UnknownBackendError reports a backend server that the VM list does not name.
type UnknownBackendError struct{ Backend string }

func (e *UnknownBackendError) Error() string {
	return fmt.Sprintf("the VM list has no backend server %q", e.Backend)
}

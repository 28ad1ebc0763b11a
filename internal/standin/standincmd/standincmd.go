// Package standincmd implements the standin command, which runs a test double
// of the platform or of a backend server.
package standincmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Main runs the command and exits.
func Main() {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Test doubles of the platform and of backend servers",
		Long:         "Each test double accepts PUT /faults with a JSON document of the faults to inject.",
		SilenceUsage: true,
	}
	var listen string
	root.PersistentFlags().StringVar(&listen, "listen", "127.0.0.1:0", "address as IP:port")
	root.AddCommand(kvCommand(&listen), vmListCommand(&listen), engineCommand(&listen), serviceCommand(&listen),
		weightsCommand(&listen), platformCommand(&listen))
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func kvCommand(listen *string) *cobra.Command {
	return &cobra.Command{
		Use: "kv", Short: "Key-value service", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(*listen, standin.NewKV()) },
	}
}

// platformCommand runs the store of the users' platform and backend servers that
// register in it. It prints the address of the store.
func platformCommand(listen *string) *cobra.Command {
	var engines, desks int
	cmd := &cobra.Command{
		Use: "platform", Short: "Store of the users' platform with backend servers", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			store := userplatform.NewStore()
			defer store.Close()
			fleet := userplatform.NewFleet(store)
			if err := fleet.StartAll(engines, desks); err != nil {
				return err
			}
			return serve(*listen, store)
		},
	}
	cmd.Flags().IntVar(&engines, "engines", 3, "number of engines")
	cmd.Flags().IntVar(&desks, "desks", 2, "number of plain servers")
	return cmd
}

func weightsCommand(listen *string) *cobra.Command {
	var o standin.WeightStoreOptions
	cmd := &cobra.Command{
		Use: "weights", Short: "Weight store", Args: cobra.NoArgs,
		Long: "Weight store. GET /weights/{model} sends a model of zeroes; downloads above --concurrency get status 429.",
		RunE: func(*cobra.Command, []string) error {
			if o.BytesPerSecond <= 0 || o.Concurrency <= 0 || o.ModelBytes <= 0 {
				return &weightsOptionsError{options: o}
			}
			return serve(*listen, standin.NewWeightStore(o))
		},
	}
	cmd.Flags().Int64Var(&o.BytesPerSecond, "rate", 100<<20, "bytes per second that all downloads share")
	cmd.Flags().IntVar(&o.Concurrency, "concurrency", 4, "maximum number of concurrent downloads")
	cmd.Flags().Int64Var(&o.ModelBytes, "size", 10<<20, "size of each model in bytes")
	return cmd
}

// weightsOptionsError reports that an option of the weight store is not positive.
type weightsOptionsError struct{ options standin.WeightStoreOptions }

func (e *weightsOptionsError) Error() string {
	return fmt.Sprintf("--rate %d, --concurrency %d and --size %d must be positive",
		e.options.BytesPerSecond, e.options.Concurrency, e.options.ModelBytes)
}

// addLoaderFlag adds the flag --weights and returns the function that applies it
// to a backend server.
func addLoaderFlag(cmd *cobra.Command) func(interface{ SetLoader(standin.Loader) }) {
	base := cmd.Flags().String("weights", "", "base URL of the weight store from which load orders download; empty for none")
	return func(s interface{ SetLoader(standin.Loader) }) {
		if *base != "" {
			s.SetLoader(standin.NewHTTPLoader(*base, http.DefaultClient))
		}
	}
}

func serviceCommand(listen *string) *cobra.Command {
	var checksFencing bool
	var setLoader func(interface{ SetLoader(standin.Loader) })
	cmd := &cobra.Command{
		Use: "service", Short: "Plain service", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			service := standin.NewService()
			service.SetChecksFencing(checksFencing)
			setLoader(service)
			return serve(*listen, service)
		},
	}
	setLoader = addLoaderFlag(cmd)
	cmd.Flags().BoolVar(&checksFencing, "checks-fencing", false, "reject orders with an outdated fencing token")
	return cmd
}

func engineCommand(listen *string) *cobra.Command {
	var o standin.EngineOptions
	var model, checksFencing bool
	settings := enginemodel.DefaultSettings()
	var setLoader func(interface{ SetLoader(standin.Loader) })
	cmd := &cobra.Command{
		Use: "engine", Short: "Inference engine", Args: cobra.NoArgs,
		Long: "Inference engine. With --model it batches, fills its memory, caches prefixes and preempts; " +
			"without it, each stream gets tokens at a fixed interval.",
		RunE: func(*cobra.Command, []string) error {
			if model {
				if err := settings.Validate(); err != nil {
					return err
				}
				o.Model = &settings
			}
			engine := standin.NewEngine(o)
			engine.SetChecksFencing(checksFencing)
			setLoader(engine)
			return serve(*listen, engine)
		},
	}
	setLoader = addLoaderFlag(cmd)
	cmd.Flags().BoolVar(&checksFencing, "checks-fencing", false, "reject orders with an outdated fencing token")
	cmd.Flags().StringVar(&o.ID, "id", "engine", "id of the engine")
	cmd.Flags().DurationVar(&o.TokenInterval, "token-interval", 10*time.Millisecond, "time between two tokens of a stream")
	cmd.Flags().BoolVar(&model, "model", false, "simulate an engine with batching")
	cmd.Flags().IntVar(&settings.Blocks, "blocks", settings.Blocks, "blocks of key-value memory, with --model")
	cmd.Flags().IntVar(&settings.CacheBlocks, "cache-blocks", settings.CacheBlocks, "blocks of the prefix cache, with --model")
	cmd.Flags().DurationVar(&settings.StepBase, "step", settings.StepBase, "duration of an empty step, with --model")
	cmd.Flags().DurationVar(&settings.LoadLag, "load-lag", settings.LoadLag, "age of load reports, with --model")
	cmd.Flags().DurationVar(&settings.CacheEventLag, "cache-event-lag", settings.CacheEventLag, "delay of cache events, with --model")
	return cmd
}

func vmListCommand(listen *string) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "vmlist", Short: "List of live and leaving VMs", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			vms, err := readVMs(file)
			if err != nil {
				return err
			}
			return serve(*listen, standin.NewVMList(vms...))
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "JSON list of VMs")
	return cmd
}

func readVMs(file string) ([]vmlist.VM, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read VMs")
	}
	var vms []vmlist.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, errors.Wrap(err, "decode VMs")
	}
	return vms, nil
}

func serve(listen string, h http.Handler) error {
	s, err := standin.Listen(listen, h)
	if err != nil {
		return err
	}
	fmt.Println("listening", s.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.Close()
	return nil
}

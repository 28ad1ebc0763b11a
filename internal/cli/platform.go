package cli

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// platformFlags are the URLs of the platform's services and the timeout of calls to them.
type platformFlags struct {
	kv      string
	vmList  string
	timeout time.Duration
}

func (p *platformFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&p.kv, "kv", "http://127.0.0.1:7000", "base URL of the key-value service")
	flags.StringVar(&p.vmList, "vm-list", "http://127.0.0.1:7001", "base URL of the VM list")
	flags.DurationVar(&p.timeout, "timeout", 5*time.Second, "timeout of one call to the platform")
}

func (p *platformFlags) kvClient() *kv.Client { return kv.NewClient(p.kv, p.timeout) }

func (p *platformFlags) vmListClient() *vmlist.Client { return vmlist.NewClient(p.vmList, p.timeout) }

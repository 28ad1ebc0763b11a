// Command soak injects faults into running entry VMs and checks that their
// guarantees hold.
package main

import "github.com/vanillaarch/vanillaarch/internal/soak/soakcmd"

func main() { soakcmd.Main() }

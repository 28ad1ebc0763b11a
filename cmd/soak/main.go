// Command soak injects faults into running entry VMs, checks invariants, and
// prints violations.
package main

import "github.com/vanillaarch/vanillaarch/internal/soak/soakcmd"

func main() { soakcmd.Main() }

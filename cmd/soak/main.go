// Command soak disturbs entry VMs from outside and checks the promises.
package main

import "github.com/vanillaarch/vanillaarch/internal/soak/soakcmd"

func main() { soakcmd.Main() }

// Command vanillaarchd runs an entry VM.
package main

import "github.com/vanillaarch/vanillaarch/internal/daemon"

func main() { daemon.Main() }

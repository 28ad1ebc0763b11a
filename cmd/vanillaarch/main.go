// Command vanillaarch is the operators' command line.
package main

import "github.com/vanillaarch/vanillaarch/internal/cli"

func main() { cli.Main() }

// Command vanillaarch is the command-line tool for operators.
package main

import "github.com/vanillaarch/vanillaarch/internal/cli"

func main() { cli.Main() }
